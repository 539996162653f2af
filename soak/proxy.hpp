#ifndef SAPPHIREHOOK_SOAK_PROXY_HPP
#define SAPPHIREHOOK_SOAK_PROXY_HPP

#include "sapphirehook/net/tcp_stream.hpp"
#include "soak/delayed_calls.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace sapphirehook::soak {

/** Fault that a proxy applies to its connections. */
enum class LinkFault : unsigned char
{
  None,
  /** Delays all bytes. */
  Delayed,
  /** Resets the open connections once, when the fault begins. */
  Reset,
  /** Drops the bytes from the client to the target. */
  DropToTarget,
  /** Drops the bytes from the target to the client. */
  DropToClient,
  /** Drops all further bytes of connections that are open now; new connections
      work. */
  StallOpen,
  /** Drops all bytes; new connections are accepted and hang. */
  Cut,
};

/** Forwards TCP connections from one loopback address to another and injects
    faults. */
class LoopbackProxy
{
public:
  LoopbackProxy(EventLoop& aLoop, sockaddr_in aListen, sockaddr_in aTarget);

  [[nodiscard]] bool Listen() { return m_listener.Listen(m_listen); }

  [[nodiscard]] const sockaddr_in& Address() const noexcept { return m_listen; }

  /** Sets the fault that applies from now on. */
  void SetFault(LinkFault aFault, Millis aDelay);

private:
  struct Link
  {
    std::unique_ptr<TcpStream> m_clientSide;
    std::unique_ptr<TcpStream> m_targetSide;
    bool m_stalled = false;
    bool m_ended = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept(int aSocket);
  void Forward(const LinkPtr& aLink, bool aToTarget, std::string_view aBytes);
  void EndLink(const LinkPtr& aLink, StreamEnd aEnd, bool aIsClientSide);
  void RemoveLink(const LinkPtr& aLink);

  EventLoop& m_loop;
  sockaddr_in m_listen;
  sockaddr_in m_target;
  TcpListener m_listener;
  DelayedCalls m_delayed;
  LinkFault m_fault = LinkFault::None;
  Millis m_delay{};
  std::map<Link*, LinkPtr> m_links;
};

/** Forwards datagrams between daemons. Each daemon is advertised to the others
    at an address of the proxy. Each pair of daemons has its own socket, so that
    answers are forwarded to the right daemon. */
class DatagramProxy
{
public:
  DatagramProxy(EventLoop& aLoop, unsigned aSeed);

  /** Adds a daemon. Returns the address at which it is advertised to other
      daemons. */
  [[nodiscard]] sockaddr_in Add(const sockaddr_in& aDaemon);

  /** Sets the share of a daemon's datagrams that are dropped, in both
      directions. */
  void SetLoss(const sockaddr_in& aDaemon, double aShare);

private:
  struct Participant
  {
    sockaddr_in m_daemon{};
    sockaddr_in m_advertised{};
    double m_loss = 0.0;
    std::unique_ptr<DatagramSocket> m_socket;
  };

  void OnDatagram(std::size_t aTo,
                  const sockaddr_in& aFrom,
                  std::string_view aBytes);
  DatagramSocket& PairSocket(std::size_t aFrom, std::size_t aTo);

  EventLoop& m_loop;
  std::mt19937 m_random;
  std::vector<Participant> m_participants;
  /** Sockets from which one daemon receives the datagrams of another, by sender
      and receiver. */
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<DatagramSocket>>
    m_pairs;
};

} // namespace sapphirehook::soak

#endif
