#ifndef SAPPHIREHOOK_GATEWAY_ENDPOINT_COMMANDS_HPP
#define SAPPHIREHOOK_GATEWAY_ENDPOINT_COMMANDS_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/keys/range_manager.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** What the orders to an endpoint tell their owner. */
struct CommandEvents
{
  std::function<void(std::uint64_t aId, const CommandResult&)> m_onGrantEnd;
  std::function<void(std::uint64_t aId, const CommandResult&)> m_onReleaseEnd;
  /** No connection is left that leads to the known run of the endpoint, so it
      may have started anew. */
  std::function<void()> m_onNewConnection;
};

/** Brings the leader's orders to one endpoint over a few kept connections:
    grants on connections of their own, since the answer to a release waits for
    work to end.

    A connection may lead to a later run of the endpoint than another one does,
    and a later run must not be given the fences of an earlier one. So a
    connection carries grants only when it certainly leads to the same run as
    those before it: another one that does has answered a call which was sent
    after this one was established. When none is left, the owner gives out new
    fences. */
class EndpointCommands
{
public:
  EndpointCommands(EventLoop& aLoop,
                   const GatewayProtocol& aProtocol,
                   const EndpointRecord& aRecord,
                   CommandEvents aEvents);

  void Grant(const EndpointGrant& aGrant);
  void Release(const EndpointRelease& aRelease);

  /** Ends all orders as unanswered, since the endpoint has another life. */
  void AbandonCall();

  /** Whether no order has been answered for too long though some wait. */
  [[nodiscard]] bool IsUnresponsive(TimePoint aNow) const noexcept;

  /** Since when nothing has listened at the address: refused again and again
      with no connection left, though the endpoint had not announced that it
      closes. One that leaves stops to listen while it still works. */
  [[nodiscard]] std::optional<TimePoint> RefusedSince() const noexcept
  {
    return m_announcedClose ? std::nullopt : m_refusedSince;
  }

  [[nodiscard]] const EndpointIncarnation& Incarnation() const noexcept
  {
    return m_incarnation;
  }

private:
  void SendNext();
  void DropQueue();
  void RecordResult(const CallResult& aResult, const HttpClient& aClient);
  /** A client for grants. */
  struct GrantClient
  {
    std::unique_ptr<HttpClient> m_client;
    /** When the connection was established that leads to the known run. */
    std::optional<TimePoint> m_trustedAt;

    [[nodiscard]] bool IsTrusted() const
    {
      return m_trustedAt && m_client->ConnectedAt() == m_trustedAt;
    }
  };

  void Send(GrantClient& aClient);
  void OnGrantResult(GrantClient& aClient,
                     TimePoint aSentAt,
                     std::uint64_t aId,
                     const CallResult& aResult);
  void RequestNewFences();
  [[nodiscard]] GrantClient* FreeClient(bool aTrusted);
  [[nodiscard]] bool HasTrusted() const;
  [[nodiscard]] bool HasConnection() const;

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EndpointIncarnation m_incarnation;
  sockaddr_in m_address;
  CommandEvents m_events;
  std::vector<GrantClient> m_grantClients;
  std::vector<std::unique_ptr<HttpClient>> m_releaseClients;
  std::deque<EndpointGrant> m_queue;
  Timer m_fenceRenewalTimer;
  TimePoint m_answeredAt;
  TimePoint m_lastUnansweredAt{};
  unsigned m_unanswered = 0;
  TimePoint m_firstRefusalAt{};
  /** A grant has been sent since the last new fences. */
  bool m_sentWithCurrentFences = false;
  /** The first grant since then has not ended. */
  bool m_firstInFlight = false;
  bool m_renewingFences = false;
  std::optional<TimePoint> m_refusedSince;
  /** Its last answer said that the connection ends. */
  bool m_announcedClose = false;
};

} // namespace sapphirehook

#endif
