#include "soak/proxy.hpp"

#include "support/loopback.hpp"

#include <algorithm>

namespace sapphirehook::soak {

namespace {

constexpr Millis kConnectTimeout{ 2000 };
/** Closes connections on which a peer acknowledges nothing for this long. */
constexpr Millis kAcknowledgeTimeout{ 30'000 };

bool
SameAddress(const sockaddr_in& aLeft, const sockaddr_in& aRight)
{
  return aLeft.sin_port == aRight.sin_port &&
         aLeft.sin_addr.s_addr == aRight.sin_addr.s_addr;
}

} // namespace

LoopbackProxy::LoopbackProxy(EventLoop& aLoop,
                             sockaddr_in aListen,
                             sockaddr_in aTarget)
  : m_loop(aLoop)
  , m_listen(aListen)
  , m_target(aTarget)
  , m_listener(aLoop, [this](int aSocket) { Accept(aSocket); })
  , m_delayed(aLoop)
{
}

void
LoopbackProxy::SetFault(LinkFault aFault, Millis aDelay)
{
  m_fault = aFault;
  m_delay = aDelay;
  const auto links = m_links;
  for (const auto& [raw, link] : links) {
    if (aFault == LinkFault::Reset) {
      link->m_clientSide->Reset();
      link->m_targetSide->Reset();
      RemoveLink(link);
    } else if (aFault == LinkFault::StallOpen) {
      link->m_stalled = true;
    }
  }
}

void
LoopbackProxy::Accept(int aSocket)
{
  auto link = std::make_shared<Link>();
  const std::weak_ptr<Link> weak = link;
  const auto events = [this, weak](bool aIsClientSide) {
    return StreamEvents{ nullptr,
                         [this, weak, aIsClientSide](std::string_view aBytes) {
                           if (const auto one = weak.lock()) {
                             Forward(one, aIsClientSide, aBytes);
                           }
                         },
                         nullptr,
                         [this, weak, aIsClientSide](StreamEnd aEnd) {
                           if (const auto one = weak.lock()) {
                             EndLink(one, aEnd, aIsClientSide);
                           }
                         } };
  };
  link->m_clientSide = std::make_unique<TcpStream>(m_loop, events(true));
  link->m_targetSide = std::make_unique<TcpStream>(m_loop, events(false));
  m_links.emplace(link.get(), link);
  link->m_clientSide->Adopt(aSocket, kAcknowledgeTimeout);
  link->m_targetSide->Connect(m_target, kConnectTimeout, kAcknowledgeTimeout);
}

void
LoopbackProxy::Forward(const LinkPtr& aLink,
                       bool aToTarget,
                       std::string_view aBytes)
{
  const bool lost = aLink->m_stalled || m_fault == LinkFault::Cut ||
                    (m_fault == LinkFault::DropToTarget && aToTarget) ||
                    (m_fault == LinkFault::DropToClient && !aToTarget);
  if (lost) {
    aLink->m_stalled = true; // bytes after a gap would corrupt the stream
    return;
  }
  auto& to = aToTarget ? *aLink->m_targetSide : *aLink->m_clientSide;
  if (m_fault != LinkFault::Delayed) {
    to.Write(aBytes);
    return;
  }
  m_delayed.After(m_delay, [aLink, aToTarget, bytes = std::string(aBytes)] {
    if (!aLink->m_ended && !aLink->m_stalled) {
      (aToTarget ? *aLink->m_targetSide : *aLink->m_clientSide).Write(bytes);
    }
  });
}

/** Ends the other side of a connection: closes it if the first side closed and
    the proxy forwards bytes, resets it otherwise. */
void
LoopbackProxy::EndLink(const LinkPtr& aLink, StreamEnd aEnd, bool aIsClientSide)
{
  const bool forwards = !aLink->m_stalled && m_fault != LinkFault::Cut;
  auto& other = aIsClientSide ? *aLink->m_targetSide : *aLink->m_clientSide;
  if (forwards && aEnd == StreamEnd::Closed) {
    other.CloseAfterWrite();
    if (!other.IsOpen()) {
      RemoveLink(aLink);
    }
    return;
  }
  other.Reset();
  RemoveLink(aLink);
}

void
LoopbackProxy::RemoveLink(const LinkPtr& aLink)
{
  aLink->m_ended = true;
  m_loop.Retire(aLink);
  m_links.erase(aLink.get());
}

DatagramProxy::DatagramProxy(EventLoop& aLoop, unsigned aSeed)
  : m_loop(aLoop)
  , m_random(aSeed)
{
}

sockaddr_in
DatagramProxy::Add(const sockaddr_in& aDaemon)
{
  const std::size_t index = m_participants.size();
  Participant participant;
  participant.m_daemon = aDaemon;
  participant.m_socket = std::make_unique<DatagramSocket>(
    m_loop, [this, index](const sockaddr_in& aFrom, std::string_view aBytes) {
      OnDatagram(index, aFrom, aBytes);
    });
  static_cast<void>(participant.m_socket->Bind(support::Loopback(0)));
  participant.m_advertised = participant.m_socket->LocalAddress();
  m_participants.push_back(std::move(participant));
  return m_participants.back().m_advertised;
}

void
DatagramProxy::SetLoss(const sockaddr_in& aDaemon, double aShare)
{
  for (auto& participant : m_participants) {
    if (SameAddress(participant.m_daemon, aDaemon)) {
      participant.m_loss = aShare;
    }
  }
}

void
DatagramProxy::OnDatagram(std::size_t aTo,
                          const sockaddr_in& aFrom,
                          std::string_view aBytes)
{
  const auto from =
    std::find_if(m_participants.begin(),
                 m_participants.end(),
                 [&](const Participant& aParticipant) {
                   return SameAddress(aParticipant.m_daemon, aFrom);
                 });
  if (from == m_participants.end()) {
    return;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  if (draw(m_random) < from->m_loss ||
      draw(m_random) < m_participants[aTo].m_loss) {
    return;
  }
  const auto sender = static_cast<std::size_t>(from - m_participants.begin());
  PairSocket(sender, aTo).Send(m_participants[aTo].m_daemon, aBytes);
}

/** Returns the socket from which the receiver gets the sender's datagrams.
    Datagrams that the receiver sends to this socket are forwarded to the
    sender. */
DatagramSocket&
DatagramProxy::PairSocket(std::size_t aFrom, std::size_t aTo)
{
  auto& socket = m_pairs[{ aFrom, aTo }];
  if (!socket) {
    socket = std::make_unique<DatagramSocket>(
      m_loop,
      [this, aFrom](const sockaddr_in& aSender, std::string_view aBytes) {
        OnDatagram(aFrom, aSender, aBytes);
      });
    static_cast<void>(socket->Bind(support::Loopback(0)));
  }
  return *socket;
}

} // namespace sapphirehook::soak
