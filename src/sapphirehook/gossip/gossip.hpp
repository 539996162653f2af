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

/** Address and liveness of another daemon. */
struct Peer
{
  sockaddr_in m_address{};
  std::uint64_t m_incarnation = 0;
  /** The incarnation that sent before. */
  std::uint64_t m_earlierIncarnation = 0;
  TimePoint m_lastReceivedAt{};
  TimePoint m_sentAt{};
};

/** Sends and receives messages between daemons. The peers are the daemons that
    are registered or that have sent a message. */
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

  /** Adds a registered daemon. */
  void AddPeer(const std::string& aHost, const sockaddr_in& aAddress);

  /** Sends to all peers. Lost peers receive the message at a reduced rate. */
  void SendAll(TimePoint aNow, const GossipMessage& aMessage);

  /** Sends to all peers, lost ones included. */
  void SendToEach(TimePoint aNow, const GossipMessage& aMessage);

  void SendTo(const std::string& aHost, const GossipMessage& aMessage)
  {
    SendSerialized(aHost, Serialize(aMessage));
  }

  /** Returns the datagram of a message, which can be sent to several peers. */
  [[nodiscard]] std::string Serialize(const GossipMessage& aMessage) const;

  void SendSerialized(const std::string& aHost, std::string_view aDatagram);

  /** Sends to the next peer in round-robin order. */
  void SendNext(const GossipMessage& aMessage);

  [[nodiscard]] const std::map<std::string, Peer>& Peers() const noexcept
  {
    return m_peers;
  }

  /** Returns the number of daemons that are alive, this one included. */
  [[nodiscard]] std::size_t AliveDaemons(TimePoint aNow) const;

  [[nodiscard]] static bool IsAlive(TimePoint aNow, const Peer& aPeer) noexcept;

  [[nodiscard]] const HostId& Self() const noexcept { return m_self; }

private:
  void OnDatagram(const sockaddr_in& aFrom, std::string_view aBytes);

  HostId m_self;
  Handler m_onMessage;
  DatagramSocket m_socket;
  std::map<std::string, Peer> m_peers;
  std::string m_lastSentTo;
};

} // namespace sapphirehook

#endif
