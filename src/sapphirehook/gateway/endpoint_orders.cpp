#include "sapphirehook/gateway/endpoint_orders.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A grant is answered at once; without an answer it is sent again. */
constexpr Millis kGrantTimeout{ 350 };
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
  , m_life(aRecord.m_life)
  , m_address(aRecord.m_address)
  , m_events(std::move(aEvents))
  , m_reconnectTimer(aLoop, [this] { m_reconnecting = false; })
  , m_answeredAt(BootClock::now())
{
}

bool
EndpointOrders::HasConnection() const
{
  const auto connected = [](const auto& aClient) {
    return aClient->IsConnected();
  };
  return std::any_of(m_grantClients.begin(), m_grantClients.end(), connected) ||
         std::any_of(
           m_releaseClients.begin(), m_releaseClients.end(), connected);
}

HttpClient*
EndpointOrders::FreeGrantClient()
{
  if (m_grantClients.size() < kGrantClients) {
    m_grantClients.push_back(std::make_unique<HttpClient>(m_loop, m_address));
    return m_grantClients.back().get();
  }
  // In turn, so that all stay connected: while one ends, another shows that the
  // endpoint has not started anew.
  for (std::size_t i = 0; i < m_grantClients.size(); ++i) {
    m_lastClient = (m_lastClient + 1) % m_grantClients.size();
    if (!m_grantClients[m_lastClient]->IsBusy()) {
      return m_grantClients[m_lastClient].get();
    }
  }
  return nullptr;
}

void
EndpointOrders::Grant(const EndpointGrant& aGrant)
{
  m_queue.push_back(aGrant);
  if (m_reconnecting) {
    DropQueue();
  } else {
    SendNext();
  }
}

/** Gives back grants that were written before the endpoint was found to be
    connected to anew. */
void
EndpointOrders::DropQueue()
{
  const auto queue = std::exchange(m_queue, {});
  for (const auto& grant : queue) {
    m_events.m_onGrantEnd(grant.m_id, { OrderEnd::NotSent, "" });
  }
}

void
EndpointOrders::GiveUp()
{
  DropQueue();
  for (const auto* clients : { &m_grantClients, &m_releaseClients }) {
    for (const auto& client : *clients) {
      client->GiveUp();
    }
  }
}

void
EndpointOrders::SendNext()
{
  while (!m_queue.empty()) {
    auto* client = FreeGrantClient();
    if (client == nullptr) {
      return;
    }
    if (m_connectedBefore && !HasConnection()) {
      // Whoever answers next may be another life: the fences written so far
      // must not be used again.
      m_connectedBefore = false;
      m_events.m_onNewConnection();
      // Other orders of the same round are handed over before it ends.
      m_reconnecting = true;
      m_reconnectTimer.Start(std::chrono::nanoseconds(0));
      DropQueue();
      return;
    }
    const auto grant = m_queue.front();
    m_queue.pop_front();
    client->Call(m_protocol.m_grant(grant.m_order),
                 kGrantTimeout,
                 [this, client, id = grant.m_id](const CallResult& aResult) {
                   NoteResult(aResult, *client);
                   m_events.m_onGrantEnd(id, m_protocol.m_parseOrder(aResult));
                   SendNext();
                 });
  }
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
    m_releaseClients.push_back(std::make_unique<HttpClient>(m_loop, m_address));
    client = m_releaseClients.back().get();
  }
  client->Call(m_protocol.m_release(aRelease.m_order),
               kReleaseTimeout,
               [this, client, id = aRelease.m_id](const CallResult& aResult) {
                 if (aResult.m_end != CallEnd::NoAnswer) {
                   NoteResult(aResult, *client);
                 }
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
    m_connectedBefore = true;
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
