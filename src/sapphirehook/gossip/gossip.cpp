#include "sapphirehook/gossip/gossip.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** A daemon whose last datagram is older than this counts as lost. A running
    daemon sends several datagrams in this time. */
constexpr Millis kAliveTimeout{ 1000 };
/** Interval between messages to a lost daemon, which detect its return. */
constexpr Millis kLostPeerInterval{ 2000 };

struct Envelope
{
  HostId m_from;
  unsigned m_kind = 0;
  std::string m_content;

  MSGPACK_DEFINE_ARRAY(m_from, m_kind, m_content)
};

} // namespace

Gossip::Gossip(EventLoop& aLoop, HostId aSelf, Handler aOnMessage)
  : m_self(std::move(aSelf))
  , m_onMessage(std::move(aOnMessage))
  , m_socket(aLoop, [this](const sockaddr_in& aFrom, std::string_view aBytes) {
    OnDatagram(aFrom, aBytes);
  })
{
}

void
Gossip::AddPeer(const std::string& aHost, const sockaddr_in& aAddress)
{
  if (aHost != m_self.m_host) {
    m_peers[aHost].m_address = aAddress;
  }
}

std::string
Gossip::Serialize(const GossipMessage& aMessage) const
{
  return Pack(Envelope{ m_self,
                        static_cast<unsigned>(aMessage.index()),
                        PackAlternative(aMessage) });
}

bool
Gossip::IsAlive(TimePoint aNow, const Peer& aPeer) noexcept
{
  return aPeer.m_lastReceivedAt != TimePoint{} &&
         aNow < aPeer.m_lastReceivedAt + kAliveTimeout;
}

std::size_t
Gossip::AliveDaemons(TimePoint aNow) const
{
  std::size_t alive = 1;
  for (const auto& [host, peer] : m_peers) {
    alive += IsAlive(aNow, peer) ? 1 : 0;
  }
  return alive;
}

void
Gossip::SendAll(TimePoint aNow, const GossipMessage& aMessage)
{
  const std::string bytes = Serialize(aMessage);
  for (auto& [host, peer] : m_peers) {
    if (IsAlive(aNow, peer) || aNow >= peer.m_sentAt + kLostPeerInterval) {
      peer.m_sentAt = aNow;
      m_socket.Send(peer.m_address, bytes);
    }
  }
}

void
Gossip::SendToEach(TimePoint aNow, const GossipMessage& aMessage)
{
  const std::string bytes = Serialize(aMessage);
  for (auto& [host, peer] : m_peers) {
    peer.m_sentAt = aNow;
    m_socket.Send(peer.m_address, bytes);
  }
}

void
Gossip::SendSerialized(const std::string& aHost, std::string_view aDatagram)
{
  const auto peer = m_peers.find(aHost);
  if (peer != m_peers.end()) {
    m_socket.Send(peer->second.m_address, aDatagram);
  }
}

void
Gossip::SendNext(const GossipMessage& aMessage)
{
  if (m_peers.empty()) {
    return;
  }
  auto next = m_peers.upper_bound(m_lastSentTo);
  if (next == m_peers.end()) {
    next = m_peers.begin();
  }
  m_lastSentTo = next->first;
  m_socket.Send(next->second.m_address, Serialize(aMessage));
}

void
Gossip::OnDatagram(const sockaddr_in& aFrom, std::string_view aBytes)
{
  const auto envelope = Unpack<Envelope>(aBytes);
  if (!envelope.ok() || envelope->m_from.m_host == m_self.m_host) {
    return; // not sent by another daemon
  }
  const auto message =
    UnpackAlternative<GossipMessage>(envelope->m_kind, envelope->m_content);
  if (!message.ok()) {
    return; // a message type of another version
  }
  auto& peer = m_peers[envelope->m_from.m_host];
  const TimePoint now = BootClock::now();
  const auto incarnation = envelope->m_from.m_incarnation;
  if (incarnation != peer.m_incarnation) {
    if (incarnation == peer.m_earlierIncarnation && IsAlive(now, peer)) {
      return; // a late message of an ended incarnation
    }
    peer.m_earlierIncarnation = std::exchange(peer.m_incarnation, incarnation);
  }
  peer.m_address = aFrom;
  peer.m_lastReceivedAt = now;
  m_onMessage(envelope->m_from, *message);
}

} // namespace sapphirehook
