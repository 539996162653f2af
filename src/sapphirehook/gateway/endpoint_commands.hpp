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

/** Callbacks of EndpointCommands. */
struct CommandEvents
{
  std::function<void(std::uint64_t aId, const CommandResult&)> m_onGrantEnd;
  std::function<void(std::uint64_t aId, const CommandResult&)> m_onReleaseEnd;
  /** Called when no connection to the known incarnation of the endpoint is
      left, so the endpoint may have restarted. */
  std::function<void()> m_onNewConnection;
  /** Returns whether a connection that was established at a time leads to the
      endpoint, and not to a later one at the same address. */
  std::function<bool(TimePoint aConnectedAt)> m_leadsToEndpoint;
  /** The endpoint ran at a time. */
  std::function<void(TimePoint aAt)> m_onAlive;
  /** Another endpoint answers at the address. */
  std::function<void()> m_onOtherEndpoint;
  /** Returns whether this daemon may still command endpoints. */
  std::function<bool()> m_mayCommand;
  /** Returns the path of the endpoint's health check; empty if it has none. */
  std::function<std::string()> m_healthPath;
};

/** Sends the leader's commands to an endpoint over a few persistent
    connections. Grants and releases use separate connections, since an endpoint
    answers a release only when the affected requests have ended.

    After a restart of the endpoint, a new connection leads to a later
    incarnation than older connections, and a later incarnation must not receive
    the fences of an earlier one. A connection therefore carries grants only
    once it is trusted, i.e. it certainly leads to the same incarnation as the
    trusted connections before it: one of those has answered a call that was
    sent after the new connection was established. When no trusted connection is
    left, the owner issues new fences.

    After the end of the endpoint, its address may belong to another endpoint.
    The first connection, and each one for a release, therefore carries a
   command only once it has been identified (see EndpointLiveness). While it is
   not, the endpoint is asked for its name on a connection of its own, since a
   health check may have to wait for a slot. */
class EndpointCommands
{
public:
  EndpointCommands(EventLoop& aLoop,
                   const GatewayProtocol& aProtocol,
                   const EndpointRecord& aRecord,
                   CommandEvents aEvents);

  void Grant(const EndpointGrant& aGrant);
  void Release(const EndpointRelease& aRelease);

  /** Abandons all commands: queued grants end as not sent, and calls in flight
      end without an answer. For use when the endpoint has a new incarnation or
      this daemon stops leading. */
  void AbandonCall();

  /** Whether several commands in a row had no answer and the last answer is too
      old. */
  [[nodiscard]] bool IsUnresponsive(TimePoint aNow) const noexcept;

  [[nodiscard]] const EndpointIncarnation& Incarnation() const noexcept
  {
    return m_incarnation;
  }

private:
  void SendNext();
  void DropQueue();
  void RecordResult(const CallResult& aResult);
  /** Counts a command without an answer. */
  void RecordFailure();
  /** Whether a connection leads to the endpoint. */
  [[nodiscard]] bool IsIdentified(const HttpClient& aClient) const;
  /** Whether the queued grants have to wait until a connection is identified.
      Drops them after a while. */
  [[nodiscard]] bool AwaitsIdentity(const HttpClient& aClient);
  /** Asks the endpoint for its name. */
  void Identify();
  void OnIdentity(TimePoint aAskedAt, const CallResult& aResult);
  void EndRelease(HttpClient& aClient,
                  std::uint64_t aId,
                  const CallResult& aResult);
  /** Connection that sends grants. */
  struct GrantClient
  {
    std::unique_ptr<HttpClient> m_client;
    /** Time when the connection to the known incarnation was established. */
    std::optional<TimePoint> m_trustedAt;

    [[nodiscard]] bool IsTrusted() const
    {
      return m_trustedAt && m_client->ConnectedAt() == m_trustedAt;
    }
  };

  /** When a grant was sent, and when its connection had been established;
      nothing if there was no connection yet. */
  struct SentGrant
  {
    std::optional<TimePoint> m_connectedAt;
    TimePoint m_sentAt{};
  };

  void Send(GrantClient& aClient);
  [[nodiscard]] bool AwaitsSpare(GrantClient& aClient);
  void OnGrantResult(GrantClient& aClient,
                     const SentGrant& aSent,
                     const EndpointGrant& aGrant,
                     const CallResult& aResult);
  void RequestNewFences();
  [[nodiscard]] GrantClient* FreeClient(bool aTrusted);
  [[nodiscard]] bool HasTrusted() const;

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EndpointIncarnation m_incarnation;
  sockaddr_in m_address;
  CommandEvents m_events;
  std::vector<GrantClient> m_grantClients;
  std::vector<std::unique_ptr<HttpClient>> m_releaseClients;
  std::deque<EndpointGrant> m_queue;
  Timer m_fenceRenewalTimer;
  /** Checks whether the second connection is established. */
  Timer m_spareTimer;
  std::optional<TimePoint> m_spareAwaitedSince;
  HttpClient m_identityClient;
  /** Checks whether the connection has been identified. */
  Timer m_identityTimer;
  std::optional<TimePoint> m_identityAwaitedSince;
  TimePoint m_identityAskedAt{};
  /** Whether the endpoint closed the connection after its last answer. */
  bool m_closesConnections = false;
  TimePoint m_answeredAt;
  TimePoint m_lastUnansweredAt{};
  unsigned m_unanswered = 0;
  /** Whether a grant has been sent since the owner last issued new fences. */
  bool m_sentWithCurrentFences = false;
  /** Whether the first grant since then is still in flight. */
  bool m_firstInFlight = false;
  bool m_renewingFences = false;
};

} // namespace sapphirehook

#endif
