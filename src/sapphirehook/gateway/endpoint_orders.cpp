#include "sapphirehook/gateway/endpoint_orders.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A grant is answered at once; without an answer it is sent again. */
constexpr Millis kGrantTimeout{ 350 };
/** Largest answer to an order, in bytes; a sound one has hardly any body. */
constexpr std::size_t kMostAnswerToOrder = 16'384;
/** A release is answered when work has ended; it is asked for again after
    this, which loses nothing. */
constexpr Millis kReleaseTimeout{ 1200 };
/** An endpoint that leaves orders unanswered for this long gets no more
    keys. */
constexpr Millis kSilentAfter{ 1100 };
/** Without a new try, silence counts for this long; then it is tried again. */
constexpr Millis kSilenceLasts{ 3000 };
/** Two refusals this far apart mean that the process has ended. */
constexpr Millis kRefusedApart{ 100 };
/** Connections for grants to one endpoint. */
constexpr std::size_t kGrantClients = 2;

} // namespace

EndpointOrders::EndpointOrders(EventLoop& aLoop,
                               const GatewayProtocol& aProtocol,
                               const EndpointRecord& aRecord,
                               OrderEvents aEvents)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_incarnation(aRecord.m_incarnation)
  , m_address(aRecord.m_address)
  , m_events(std::move(aEvents))
  , m_reconnectTimer(aLoop, [this] { m_beginningRun = false; })
  , m_answeredAt(BootClock::now())
{
  for (std::size_t i = 0; i < kGrantClients; ++i) {
    m_grantClients.push_back(
      { std::make_unique<HttpClient>(m_loop, m_address, kMostAnswerToOrder),
        std::nullopt });
  }
}

bool
EndpointOrders::HasConnection() const
{
  return std::any_of(
           m_grantClients.begin(),
           m_grantClients.end(),
           [](const auto& aOne) { return aOne.m_client->IsConnected(); }) ||
         std::any_of(m_releaseClients.begin(),
                     m_releaseClients.end(),
                     [](const auto& aOne) { return aOne->IsConnected(); });
}

bool
EndpointOrders::HasTrusted() const
{
  return std::any_of(m_grantClients.begin(),
                     m_grantClients.end(),
                     [](const auto& aOne) { return aOne.IsTrusted(); });
}

EndpointOrders::GrantClient*
EndpointOrders::FreeClient(bool aTrusted)
{
  const auto found = std::find_if(
    m_grantClients.begin(), m_grantClients.end(), [&](const auto& aOne) {
      return !aOne.m_client->IsBusy() && aOne.IsTrusted() == aTrusted;
    });
  return found == m_grantClients.end() ? nullptr : &*found;
}

void
EndpointOrders::Grant(const EndpointGrant& aGrant)
{
  m_queue.push_back(aGrant);
  if (m_beginningRun) {
    DropQueue();
  } else {
    SendNext();
  }
}

/** Gives back grants whose fences must not be used any more. */
void
EndpointOrders::DropQueue()
{
  const auto queue = std::exchange(m_queue, {});
  for (const auto& grant : queue) {
    m_events.m_onGrantEnd(grant.m_id, { CommandOutcome::NotSent, "" });
  }
}

void
EndpointOrders::GiveUp()
{
  DropQueue();
  for (const auto& client : m_grantClients) {
    client.m_client->GiveUp();
  }
  for (const auto& client : m_releaseClients) {
    client->GiveUp();
  }
}

void
EndpointOrders::SendNext()
{
  while (!m_queue.empty()) {
    if (auto* trusted = FreeClient(true)) {
      Send(*trusted);
    } else if (HasTrusted() || m_firstUnderWay) {
      // Another connection helps once its run is known.
      if (auto* spare = FreeClient(false)) {
        spare->m_client->Connect();
      }
      return;
    } else if (m_sentInRun) {
      BeginRun();
      return;
    } else if (auto* first = FreeClient(false)) {
      m_sentInRun = true;
      m_firstUnderWay = true;
      Send(*first);
    } else {
      return;
    }
  }
}

/** Whoever answers next may be a later run: the fences written so far must not
    be used again. */
void
EndpointOrders::BeginRun()
{
  m_sentInRun = false;
  m_events.m_onNewConnection();
  // Other orders of the same round are handed over before it ends.
  m_beginningRun = true;
  m_reconnectTimer.Start(std::chrono::nanoseconds(0));
  DropQueue();
}

void
EndpointOrders::Send(GrantClient& aClient)
{
  const auto grant = m_queue.front();
  m_queue.pop_front();
  aClient.m_client->Call(
    m_protocol.m_grant(grant.m_command),
    kGrantTimeout,
    [this, &aClient, sentAt = BootClock::now(), id = grant.m_id](
      const CallResult& aResult) {
      OnGrantResult(aClient, sentAt, id, aResult);
    });
}

void
EndpointOrders::OnGrantResult(GrantClient& aClient,
                              TimePoint aSentAt,
                              std::uint64_t aId,
                              const CallResult& aResult)
{
  const bool first = std::exchange(m_firstUnderWay, false);
  if (aResult.m_end == CallEnd::Answered) {
    if (first) {
      aClient.m_trustedAt = aClient.m_client->ConnectedAt();
    }
    // The run that answered was there when those connected.
    for (auto& client : m_grantClients) {
      const auto since = client.m_client->ConnectedAt();
      if (since && *since <= aSentAt) {
        client.m_trustedAt = since;
      }
    }
  }
  NoteResult(aResult, *aClient.m_client);
  m_events.m_onGrantEnd(aId, m_protocol.m_parseOrder(aResult));
  SendNext();
}

void
EndpointOrders::Release(const EndpointRelease& aRelease)
{
  HttpClient* client = nullptr;
  for (const auto& one : m_releaseClients) {
    if (!one->IsBusy()) {
      client = one.get();
    }
  }
  if (client == nullptr) {
    m_releaseClients.push_back(
      std::make_unique<HttpClient>(m_loop, m_address, kMostAnswerToOrder));
    client = m_releaseClients.back().get();
  }
  client->Call(m_protocol.m_release(aRelease.m_command),
               kReleaseTimeout,
               [this, client, id = aRelease.m_id](const CallResult& aResult) {
                 if (aResult.m_end != CallEnd::NoAnswer) {
                   NoteResult(aResult, *client);
                 }
                 // An answer that the endpoint writes once more must not be
                 // taken for that of the next release.
                 client->Close();
                 m_events.m_onReleaseEnd(id, m_protocol.m_parseOrder(aResult));
               });
}

void
EndpointOrders::NoteResult(const CallResult& aResult, const HttpClient& aClient)
{
  const TimePoint now = BootClock::now();
  if (aResult.m_end == CallEnd::Answered) {
    m_answeredAt = now;
    m_unanswered = 0;
    m_refusedAt = {};
    m_refusedSince.reset();
    m_announcedClose = !aClient.IsConnected();
    return;
  }
  ++m_unanswered;
  m_triedAt = now;
  if (aResult.m_end != CallEnd::Refused || HasConnection()) {
    m_refusedAt = {};
  } else if (m_refusedAt == TimePoint{}) {
    m_refusedAt = now;
  } else if (now >= m_refusedAt + kRefusedApart && !m_refusedSince) {
    m_refusedSince = now;
  }
}

bool
EndpointOrders::IsSilent(TimePoint aNow) const noexcept
{
  return m_unanswered > 1 && aNow >= m_answeredAt + kSilentAfter &&
         aNow < m_triedAt + kSilenceLasts;
}

} // namespace sapphirehook
