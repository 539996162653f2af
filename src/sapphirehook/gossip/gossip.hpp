#ifndef SAPPHIREHOOK_GOSSIP_GOSSIP_HPP
#define SAPPHIREHOOK_GOSSIP_GOSSIP_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/gossip/message.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace sapphirehook {

/** Another daemon. */
struct Peer
{
  sockaddr_in m_address{};
  std::uint64_t m_incarnation = 0;
  TimePoint m_heardAt{};
  TimePoint m_sentAt{};
};

/** Sends and receives messages between daemons. A daemon is known from the
    registry, or from its first message. */
class Gossip
{
public:
  using Handler =
    std::function<void(const HostId& aFrom, const GossipMessage& aMessage)>;

  Gossip(EventLoop& aLoop, HostId aSelf, Handler aOnMessage);

  /** Returns whether the address could be bound. */
  [[nodiscard]] bool Bind(const sockaddr_in& aAddress)
  {
    return m_socket.Bind(aAddress);
  }

  /** Adds a daemon that the registry names. */
  void AddPeer(const std::string& aHost, const sockaddr_in& aAddress);

  /** Sends to all daemons; to those that have been silent for long only now
      and then. */
  void SendAll(TimePoint aNow, const GossipMessage& aMessage);

  /** Sends to all daemons that were ever known. */
  void SendToEach(TimePoint aNow, const GossipMessage& aMessage);

  void SendTo(const std::string& aHost, const GossipMessage& aMessage)
  {
    SendSerialized(aHost, Serialize(aMessage));
  }

  /** Returns the datagram of a message, which may be sent to several. */
  [[nodiscard]] std::string Serialize(const GossipMessage& aMessage) const;

  void SendSerialized(const std::string& aHost, std::string_view aDatagram);

  /** Sends to the next daemon in turn, so that all are reached over time. */
  void SendNext(const GossipMessage& aMessage);

  [[nodiscard]] const std::map<std::string, Peer>& Peers() const noexcept
  {
    return m_peers;
  }

  /** Daemons heard of within the last moments, this one included. */
  [[nodiscard]] std::size_t AliveDaemons(TimePoint aNow) const;

  [[nodiscard]] static bool IsAlive(TimePoint aNow, const Peer& aPeer) noexcept;

  [[nodiscard]] const HostId& Self() const noexcept { return m_self; }

private:
  void OnDatagram(const sockaddr_in& aFrom, std::string_view aBytes);

  HostId m_self;
  Handler m_onMessage;
  DatagramSocket m_socket;
  std::map<std::string, Peer> m_peers;
  std::string m_lastTurn;
};

} // namespace sapphirehook

#endif
