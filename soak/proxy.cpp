#include "soak/proxy.hpp"

#include "support/loopback.hpp"

#include <algorithm>

namespace sapphirehook::soak {

namespace {

constexpr Millis kConnectTimeout{ 2000 };
/** Peers that acknowledge nothing for this long are gone. */
constexpr Millis kAcknowledgeWithin{ 30'000 };

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
      link->m_near->Reset();
      link->m_far->Reset();
      Drop(link);
    } else if (aFault == LinkFault::OldSilent) {
      link->m_silent = true;
    }
  }
}

void
LoopbackProxy::Accept(int aSocket)
{
  auto link = std::make_shared<Link>();
  const std::weak_ptr<Link> weak = link;
  const auto events = [this, weak](bool aNear) {
    return StreamEvents{ nullptr,
                         [this, weak, aNear](std::string_view aBytes) {
                           if (const auto one = weak.lock()) {
                             Pass(one, aNear, aBytes);
                           }
                         },
                         nullptr,
                         [this, weak, aNear](StreamEnd aEnd) {
                           if (const auto one = weak.lock()) {
                             EndLink(one, aEnd, aNear);
                           }
                         } };
  };
  link->m_near = std::make_unique<TcpStream>(m_loop, events(true));
  link->m_far = std::make_unique<TcpStream>(m_loop, events(false));
  m_links.emplace(link.get(), link);
  link->m_near->Adopt(aSocket, kAcknowledgeWithin);
  link->m_far->Connect(m_target, kConnectTimeout, kAcknowledgeWithin);
}

void
LoopbackProxy::Pass(const LinkPtr& aLink, bool aForth, std::string_view aBytes)
{
  const bool lost = aLink->m_silent || m_fault == LinkFault::Cut ||
                    (m_fault == LinkFault::CutForth && aForth) ||
                    (m_fault == LinkFault::CutBack && !aForth);
  if (lost) {
    aLink->m_silent = true; // what follows would not fit what was lost
    return;
  }
  auto& to = aForth ? *aLink->m_far : *aLink->m_near;
  if (m_fault != LinkFault::Delayed) {
    to.Write(aBytes);
    return;
  }
  m_delayed.After(m_delay, [aLink, aForth, bytes = std::string(aBytes)] {
    if (!aLink->m_ended && !aLink->m_silent) {
      (aForth ? *aLink->m_far : *aLink->m_near).Write(bytes);
    }
  });
}

/** The end of one side ends the other in the same way, if it gets through. */
void
LoopbackProxy::EndLink(const LinkPtr& aLink, StreamEnd aEnd, bool aNear)
{
  const bool through = !aLink->m_silent && m_fault != LinkFault::Cut;
  auto& other = aNear ? *aLink->m_far : *aLink->m_near;
  if (through && aEnd == StreamEnd::Closed) {
    other.CloseAfterWrite();
    if (!other.IsOpen()) {
      Drop(aLink);
    }
    return;
  }
  other.Reset();
  Drop(aLink);
}

void
LoopbackProxy::Drop(const LinkPtr& aLink)
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
  const std::size_t index = m_sides.size();
  Side side;
  side.m_daemon = aDaemon;
  side.m_socket = std::make_unique<DatagramSocket>(
    m_loop, [this, index](const sockaddr_in& aFrom, std::string_view aBytes) {
      OnDatagram(index, aFrom, aBytes);
    });
  static_cast<void>(side.m_socket->Bind(support::Loopback(0)));
  side.m_known = side.m_socket->LocalAddress();
  m_sides.push_back(std::move(side));
  return m_sides.back().m_known;
}

void
DatagramProxy::SetLoss(const sockaddr_in& aDaemon, double aShare)
{
  for (auto& side : m_sides) {
    if (SameAddress(side.m_daemon, aDaemon)) {
      side.m_loss = aShare;
    }
  }
}

void
DatagramProxy::OnDatagram(std::size_t aTo,
                          const sockaddr_in& aFrom,
                          std::string_view aBytes)
{
  const auto from =
    std::find_if(m_sides.begin(), m_sides.end(), [&](const Side& aSide) {
      return SameAddress(aSide.m_daemon, aFrom);
    });
  if (from == m_sides.end()) {
    return;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  if (draw(m_random) < from->m_loss || draw(m_random) < m_sides[aTo].m_loss) {
    return;
  }
  const auto sender = static_cast<std::size_t>(from - m_sides.begin());
  PairSocket(sender, aTo).Send(m_sides[aTo].m_daemon, aBytes);
}

/** Returns the socket from which a daemon hears another. What it sends back
    there goes to that other. */
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
