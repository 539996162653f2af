#include "sapphirehook/gateway/endpoint_commands.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** An endpoint answers a grant at once. Without an answer in this time the
    grant is sent again. */
constexpr Millis kGrantTimeout{ 350 };
/** Size limit of the answer to a command, in bytes. A valid answer has almost
    no body. */
constexpr std::size_t kMaxCommandResponseBytes = 16'384;
/** An endpoint answers a release when the affected requests have ended. After
    this timeout the release is sent again, which is safe. */
constexpr Millis kReleaseTimeout{ 1200 };
/** An endpoint that answers no commands for this long gets no more keys. */
constexpr Millis kUnresponsiveAfter{ 1100 };
/** Time after the last unanswered command for which the endpoint counts as
    unresponsive. After it, commands are tried again. */
constexpr Millis kUnresponsiveRetryAfter{ 3000 };
/** Number of connections for grants to an endpoint. */
constexpr std::size_t kGrantClients = 2;
/** A grant waits at most this long for a second connection, and checks this
    often whether it is established. */
constexpr Millis kSpareWait{ 40 };
constexpr Millis kSparePoll{ 2 };
/** Queued grants wait at most this long until a connection is identified. A new
    leader may have to identify hundreds of endpoints at once, and repeats the
    grants that are dropped. */
constexpr Millis kIdentityWait{ 1000 };
/** A health check waits for a slot of the endpoint. */
constexpr Millis kIdentifyTimeout{ 1000 };
/** Shortest time between the starts of two health checks of an endpoint. */
constexpr Millis kIdentifyInterval{ 500 };

} // namespace

EndpointCommands::EndpointCommands(EventLoop& aLoop,
                                   const GatewayProtocol& aProtocol,
                                   const EndpointRecord& aRecord,
                                   CommandEvents aEvents)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_incarnation(aRecord.m_incarnation)
  , m_address(aRecord.m_address)
  , m_events(std::move(aEvents))
  , m_fenceRenewalTimer(aLoop, [this] { m_renewingFences = false; })
  , m_spareTimer(aLoop, [this] { SendNext(); })
  , m_identityClient(aLoop, aRecord.m_address, kMaxCommandResponseBytes)
  , m_identityTimer(aLoop, [this] { SendNext(); })
  , m_answeredAt(BootClock::now())
{
  for (std::size_t i = 0; i < kGrantClients; ++i) {
    m_grantClients.push_back({ std::make_unique<HttpClient>(
                                 m_loop, m_address, kMaxCommandResponseBytes),
                               std::nullopt });
    m_grantClients.back().m_client->m_maySend = m_events.m_leadsToEndpoint;
  }
}

bool
EndpointCommands::HasTrusted() const
{
  return std::any_of(m_grantClients.begin(),
                     m_grantClients.end(),
                     [](const auto& aOne) { return aOne.IsTrusted(); });
}

/** Returns the idle connection that was established first, or else an idle
    client without a connection. */
EndpointCommands::GrantClient*
EndpointCommands::FreeClient(bool aTrusted)
{
  GrantClient* first = nullptr;
  for (auto& one : m_grantClients) {
    if (one.m_client->IsBusy() || one.IsTrusted() != aTrusted) {
      continue;
    }
    const auto since = one.m_client->ConnectedAt();
    if (first == nullptr ||
        (since &&
         since < first->m_client->ConnectedAt().value_or(TimePoint::max()))) {
      first = &one;
    }
  }
  return first;
}

/** Whether a grant on this connection should wait for a second connection. Its
    answer makes a second connection trusted that was established before it was
    sent. An endpoint that closes its connections after each answer, as draining
    ones do, would otherwise need new fences and a confirmation of the store for
    each grant, and end before all its keys have moved. */
bool
EndpointCommands::AwaitsSpare(GrantClient& aClient)
{
  // The first grant also waits once for the other grants of the same tick.
  const bool isFirst = !aClient.IsTrusted();
  const bool needsSpare =
    m_closesConnections ||
    (isFirst && (m_queue.size() > 1 || !m_spareAwaitedSince));
  const TimePoint now = BootClock::now();
  if (!needsSpare || m_unanswered > 0) {
    m_spareAwaitedSince.reset();
    return false;
  }
  GrantClient* spare = nullptr;
  for (auto& one : m_grantClients) {
    if (&one != &aClient && !one.m_client->IsBusy()) {
      spare = &one;
    }
  }
  const auto since = aClient.m_client->ConnectedAt();
  const bool isReady =
    since && spare != nullptr && spare->m_client->ConnectedAt() >= since;
  if (!m_spareAwaitedSince) {
    m_spareAwaitedSince = now;
  }
  if (isReady || spare == nullptr || now >= *m_spareAwaitedSince + kSpareWait) {
    m_spareAwaitedSince.reset();
    return false;
  }
  // The second connection leads to the same incarnation only if it is
  // established after the first.
  if (!since) {
    aClient.m_client->Connect();
  } else if (m_closesConnections || m_queue.size() > 1) {
    spare->m_client->Connect();
  }
  m_spareTimer.Start(kSparePoll);
  return true;
}

bool
EndpointCommands::IsIdentified(const HttpClient& aClient) const
{
  const auto since = aClient.ConnectedAt();
  return since && m_events.m_leadsToEndpoint(*since);
}

bool
EndpointCommands::AwaitsIdentity(const HttpClient& aClient)
{
  if (!aClient.IsConnected()) {
    return false; // it is checked when it is established
  }
  if (IsIdentified(aClient)) {
    m_identityAwaitedSince.reset();
    return false;
  }
  Identify();
  const TimePoint now = BootClock::now();
  if (!m_identityAwaitedSince) {
    m_identityAwaitedSince = now;
  }
  const TimePoint until = *m_identityAwaitedSince + kIdentityWait;
  if (now >= until) {
    m_identityAwaitedSince.reset();
    DropQueue();
  } else {
    m_identityTimer.Start(until - now);
  }
  return true;
}

void
EndpointCommands::Identify()
{
  const TimePoint now = BootClock::now();
  const auto path = m_events.m_healthPath();
  if (path.empty() || m_identityClient.IsBusy() ||
      now < m_identityAskedAt + kIdentifyInterval) {
    return;
  }
  m_identityAskedAt = now;
  m_identityClient.Call(
    m_protocol.m_identify(path, m_incarnation.m_name),
    kIdentifyTimeout,
    [this, now](const CallResult& aResult) { OnIdentity(now, aResult); });
}

void
EndpointCommands::OnIdentity(TimePoint aAskedAt, const CallResult& aResult)
{
  m_identityClient.Close();
  switch (m_protocol.m_parseIdentity(aResult, m_incarnation.m_name)) {
    case EndpointIdentity::Expected:
      m_events.m_onAlive(aAskedAt);
      SendNext();
      break;
    case EndpointIdentity::Other:
      m_events.m_onOtherEndpoint();
      for (auto& client : m_grantClients) {
        if (!client.IsTrusted()) {
          client.m_client->Close();
        }
      }
      for (const auto& client : m_releaseClients) {
        client->Close();
      }
      RecordFailure();
      DropQueue();
      break;
    case EndpointIdentity::Unknown:
      break;
  }
}

void
EndpointCommands::Grant(const EndpointGrant& aGrant)
{
  m_queue.push_back(aGrant);
  if (m_renewingFences) {
    DropQueue();
  } else {
    SendNext();
  }
}

/** Ends all queued grants as not sent, since their fences must not be used any
    more. */
void
EndpointCommands::DropQueue()
{
  const auto queue = std::exchange(m_queue, {});
  for (const auto& grant : queue) {
    m_events.m_onGrantEnd(grant.m_id, { CommandOutcome::NotSent, "" });
  }
}

void
EndpointCommands::AbandonCall()
{
  DropQueue();
  m_spareTimer.Stop();
  m_identityTimer.Stop();
  m_identityClient.Abort();
  for (const auto& client : m_grantClients) {
    client.m_client->AbandonCall();
  }
  for (const auto& client : m_releaseClients) {
    client->AbandonCall();
  }
}

void
EndpointCommands::SendNext()
{
  // The owner has checked this when it queued the grants, which may have waited
  // since.
  if (!m_queue.empty() && !m_events.m_mayCommand()) {
    DropQueue();
  }
  while (!m_queue.empty()) {
    if (auto* trusted = FreeClient(true)) {
      if (AwaitsSpare(*trusted)) {
        return;
      }
      Send(*trusted);
    } else if (HasTrusted() || m_firstInFlight) {
      // A second connection can carry grants once its incarnation is known.
      if (auto* spare = FreeClient(false)) {
        spare->m_client->Connect();
      }
      return;
    } else if (m_sentWithCurrentFences) {
      RequestNewFences();
      return;
    } else if (auto* first = FreeClient(false)) {
      if (AwaitsSpare(*first) || AwaitsIdentity(*first->m_client)) {
        return;
      }
      m_sentWithCurrentFences = true;
      m_firstInFlight = true;
      Send(*first);
    } else {
      return;
    }
  }
}

/** The next answer may come from a later incarnation of the endpoint, so the
    fences sent so far must not be used again. */
void
EndpointCommands::RequestNewFences()
{
  m_sentWithCurrentFences = false;
  m_events.m_onNewConnection();
  // The owner may pass further grants of the same tick, with old fences. They
  // are dropped until the event loop runs the timer.
  m_renewingFences = true;
  m_fenceRenewalTimer.Start(std::chrono::nanoseconds(0));
  DropQueue();
}

void
EndpointCommands::Send(GrantClient& aClient)
{
  const auto grant = m_queue.front();
  m_queue.pop_front();
  aClient.m_client->Call(
    m_protocol.m_grant(grant.m_command),
    kGrantTimeout,
    [this,
     &aClient,
     connectedAt = aClient.m_client->ConnectedAt(),
     sentAt = BootClock::now(),
     grant](const CallResult& aResult) {
      OnGrantResult(aClient, { connectedAt, sentAt }, grant, aResult);
    });
}

void
EndpointCommands::OnGrantResult(GrantClient& aClient,
                                const SentGrant& aSent,
                                const EndpointGrant& aGrant,
                                const CallResult& aResult)
{
  const bool first = std::exchange(m_firstInFlight, false);
  if (first && aResult.m_end == CallEnd::NotSent &&
      aClient.m_client->IsConnected()) {
    // The connection has yet to be identified. No fence has been sent on it.
    m_sentWithCurrentFences = false;
    m_queue.push_front(aGrant);
    SendNext();
    return;
  }
  if (aResult.m_end == CallEnd::Answered) {
    m_events.m_onAlive(aSent.m_sentAt);
    if (first) {
      aClient.m_trustedAt = aClient.m_client->ConnectedAt();
    }
    // The incarnation that answered was running from the establishment of its
    // connection until after the call was sent, so connections established
    // meanwhile lead to it.
    for (auto& client : m_grantClients) {
      const auto since = client.m_client->ConnectedAt();
      if (since && aSent.m_connectedAt && *since >= *aSent.m_connectedAt &&
          *since <= aSent.m_sentAt) {
        client.m_trustedAt = since;
      }
    }
    m_closesConnections = !aClient.m_client->IsConnected();
  }
  RecordResult(aResult);
  m_events.m_onGrantEnd(aGrant.m_id, m_protocol.m_parseCommandResult(aResult));
  SendNext();
}

void
EndpointCommands::Release(const EndpointRelease& aRelease)
{
  HttpClient* client = nullptr;
  for (const auto& one : m_releaseClients) {
    if (!one->IsBusy()) {
      client = one.get();
    }
  }
  if (client == nullptr) {
    m_releaseClients.push_back(std::make_unique<HttpClient>(
      m_loop, m_address, kMaxCommandResponseBytes));
    client = m_releaseClients.back().get();
    client->m_maySend = m_events.m_leadsToEndpoint;
  }
  if (client->IsConnected() && !IsIdentified(*client)) {
    EndRelease(*client, aRelease.m_id, {});
    return;
  }
  client->Call(m_protocol.m_release(aRelease.m_command),
               kReleaseTimeout,
               [this, client, id = aRelease.m_id](const CallResult& aResult) {
                 EndRelease(*client, id, aResult);
               });
}

void
EndpointCommands::EndRelease(HttpClient& aClient,
                             std::uint64_t aId,
                             const CallResult& aResult)
{
  if (aResult.m_end == CallEnd::NotSent && aClient.IsConnected()) {
    // The owner sends the release again, on this connection once it has been
    // identified.
    Identify();
  } else {
    if (aResult.m_end != CallEnd::NoAnswer) {
      RecordResult(aResult);
    }
    // If the endpoint sends the answer twice, the second copy must not count as
    // the answer to the next release.
    aClient.Close();
  }
  m_events.m_onReleaseEnd(aId, m_protocol.m_parseCommandResult(aResult));
}

void
EndpointCommands::RecordResult(const CallResult& aResult)
{
  if (aResult.m_end == CallEnd::Answered) {
    m_answeredAt = BootClock::now();
    m_unanswered = 0;
    return;
  }
  RecordFailure();
}

void
EndpointCommands::RecordFailure()
{
  ++m_unanswered;
  m_lastUnansweredAt = BootClock::now();
}

bool
EndpointCommands::IsUnresponsive(TimePoint aNow) const noexcept
{
  return m_unanswered > 1 && aNow >= m_answeredAt + kUnresponsiveAfter &&
         aNow < m_lastUnansweredAt + kUnresponsiveRetryAfter;
}

} // namespace sapphirehook
