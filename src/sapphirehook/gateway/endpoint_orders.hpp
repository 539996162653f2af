#ifndef SAPPHIREHOOK_GATEWAY_ENDPOINT_ORDERS_HPP
#define SAPPHIREHOOK_GATEWAY_ENDPOINT_ORDERS_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/keys/range_keeper.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** What the orders to an endpoint tell their owner. */
struct OrderEvents
{
  std::function<void(std::uint64_t aId, const OrderAnswer&)> m_onGrantEnd;
  std::function<void(std::uint64_t aId, const OrderAnswer&)> m_onReleaseEnd;
  /** All connections had ended, so the endpoint may have started anew. */
  std::function<void()> m_onNewConnection;
};

/** Brings the leader's orders to one endpoint over a few kept connections:
    grants on connections of their own, since the answer to a release waits for
    work to end. */
class EndpointOrders
{
public:
  EndpointOrders(EventLoop& aLoop,
                 const GatewayProtocol& aProtocol,
                 const EndpointRecord& aRecord,
                 OrderEvents aEvents);

  void Grant(const EndpointGrant& aGrant);
  void Release(const EndpointRelease& aRelease);

  /** Ends all orders as unanswered, since the endpoint has another life. */
  void GiveUp();

  /** Whether no order has been answered for too long though some wait. */
  [[nodiscard]] bool IsSilent(TimePoint aNow) const noexcept;

  /** Since when nothing has listened at the address: refused again and again
      with no connection left, though the endpoint had not announced that it
      closes. One that leaves stops to listen while it still works. */
  [[nodiscard]] std::optional<TimePoint> RefusedSince() const noexcept
  {
    return m_announcedClose ? std::nullopt : m_refusedSince;
  }

  [[nodiscard]] const EndpointLife& Life() const noexcept { return m_life; }

private:
  void SendNext();
  void DropQueue();
  void NoteResult(const CallResult& aResult, const HttpClient& aClient);
  [[nodiscard]] HttpClient* FreeGrantClient();
  [[nodiscard]] bool HasConnection() const;

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EndpointLife m_life;
  sockaddr_in m_address;
  OrderEvents m_events;
  std::vector<std::unique_ptr<HttpClient>> m_grantClients;
  std::vector<std::unique_ptr<HttpClient>> m_releaseClients;
  std::deque<EndpointGrant> m_queue;
  Timer m_reconnectTimer;
  TimePoint m_answeredAt;
  TimePoint m_triedAt{};
  unsigned m_unanswered = 0;
  TimePoint m_refusedAt{};
  bool m_connectedBefore = false;
  bool m_reconnecting = false;
  std::optional<TimePoint> m_refusedSince;
  /** Its last answer said that the connection ends. */
  bool m_announcedClose = false;
  std::size_t m_lastClient = 0;
};

} // namespace sapphirehook

#endif
