#ifndef SAPPHIREHOOK_SOAK_PROXY_HPP
#define SAPPHIREHOOK_SOAK_PROXY_HPP

#include "sapphirehook/net/tcp_stream.hpp"
#include "soak/delayed_calls.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace sapphirehook::soak {

/** What a proxy does with the connections that pass through it. */
enum class LinkFault : unsigned char
{
  None,
  /** Bytes take longer. */
  Delayed,
  /** Connections are reset once, when the fault begins. */
  Reset,
  /** What the one who connected sends never arrives. */
  CutForth,
  /** What is sent back never arrives. */
  CutBack,
  /** Open connections go silent for good, while new ones work. */
  OldSilent,
  /** Nothing passes, and new connections hang. */
  Cut,
};

/** Carries TCP connections from a loopback address to another, with faults. */
class LoopbackProxy
{
public:
  LoopbackProxy(EventLoop& aLoop, sockaddr_in aListen, sockaddr_in aTarget);

  [[nodiscard]] bool Listen() { return m_listener.Listen(m_listen); }

  [[nodiscard]] const sockaddr_in& Address() const noexcept { return m_listen; }

  /** Sets what happens from now on. */
  void SetFault(LinkFault aFault, Millis aDelay);

private:
  struct Link
  {
    std::unique_ptr<TcpStream> m_near;
    std::unique_ptr<TcpStream> m_far;
    bool m_silent = false;
    bool m_ended = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept(int aSocket);
  void Pass(const LinkPtr& aLink, bool aForth, std::string_view aBytes);
  void EndLink(const LinkPtr& aLink, StreamEnd aEnd, bool aNear);
  void Drop(const LinkPtr& aLink);

  EventLoop& m_loop;
  sockaddr_in m_listen;
  sockaddr_in m_target;
  TcpListener m_listener;
  DelayedCalls m_delayed;
  LinkFault m_fault = LinkFault::None;
  Millis m_delay{};
  std::map<Link*, LinkPtr> m_links;
};

/** Carries datagrams between daemons. Each daemon is known to the others by an
    address of the proxy, and each pair has a socket of its own, so that answers
    find their way. */
class DatagramProxy
{
public:
  DatagramProxy(EventLoop& aLoop, unsigned aSeed);

  /** Adds a daemon. Returns the address by which others know it. */
  [[nodiscard]] sockaddr_in Add(const sockaddr_in& aDaemon);

  /** Sets the part of a daemon's datagrams that are lost, both ways. */
  void SetLoss(const sockaddr_in& aDaemon, double aShare);

private:
  struct Side
  {
    sockaddr_in m_daemon{};
    sockaddr_in m_known{};
    double m_loss = 0.0;
    std::unique_ptr<DatagramSocket> m_socket;
  };

  void OnDatagram(std::size_t aTo,
                  const sockaddr_in& aFrom,
                  std::string_view aBytes);
  DatagramSocket& PairSocket(std::size_t aFrom, std::size_t aTo);

  EventLoop& m_loop;
  std::mt19937 m_random;
  std::vector<Side> m_sides;
  /** Sockets from which a daemon hears another. */
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<DatagramSocket>>
    m_pairs;
};

} // namespace sapphirehook::soak

#endif
