#ifndef SAPPHIREHOOK_DAEMON_REQUEST_ROUTER_HPP
#define SAPPHIREHOOK_DAEMON_REQUEST_ROUTER_HPP

#include "sapphirehook/dispatch/endpoint_queue.hpp"
#include "sapphirehook/dispatch/exchange.hpp"
#include "sapphirehook/dispatch/repeat_window.hpp"
#include "sapphirehook/dispatch/retry_budget.hpp"
#include "sapphirehook/endpoint/client.hpp"
#include "sapphirehook/operator/metrics.hpp"
#include "sapphirehook/ownership/coordinator.hpp"
#include "sapphirehook/peer/mesh.hpp"

#include <unordered_map>
#include <variant>
#include <vector>

namespace sapphirehook {

/** Something that the router wants done with a request. */
using RouterAction = std::variant<SendRequest, ForwardRequest>;

/** Decides what happens to each request: admission, the way to the key's
    dispatcher, the endpoint's queue, another try, or an honest refusal. It
    reads no clock and does no input or output of its own. */
class RequestRouter
{
public:
  RequestRouter(Coordinator& aCoordinator,
                Metrics& aMetrics,
                std::size_t aMaxRequests);

  /** Takes a request of a caller or of another daemon. */
  void Admit(TimePoint aNow, const ExchangePtr& aExchange);

  /** Takes the end of a request at an endpoint. */
  void OnSendEnded(TimePoint aNow, const RequestEnded& aEnded);

  /** Takes the end of a request that was passed on. */
  void OnForwardEnded(TimePoint aNow, const ForwardEnded& aEnded);

  /** Does what is due, and refreshes the authority of every endpoint. */
  void OnTick(TimePoint aNow);

  /** Refuses requests of callers from now on. */
  void BeginStop() noexcept { m_stopping = true; }

  /** Removes and returns the actions decided since the last call. */
  [[nodiscard]] std::vector<RouterAction> TakeActions();

  /** Returns the number of requests that are not finished. */
  [[nodiscard]] std::size_t Active() const noexcept { return m_active.size(); }

  /** Returns the number of requests waiting at each endpoint's queue. */
  [[nodiscard]] std::map<std::string, std::size_t> Waiting() const;

private:
  enum class Stage : unsigned char
  {
    Held,
    Queued,
    Sent,
    Forwarded,
  };

  struct Pending
  {
    ExchangePtr m_exchange;
    Stage m_stage = Stage::Held;
    TimePoint m_arrived{};
    /** Since when it has been held or queued. */
    TimePoint m_since{};
    TimePoint m_retryAt{};
    std::string m_endpoint;
    PartitionId m_partition;
  };

  struct Lane
  {
    EndpointQueue m_queue;
    std::shared_ptr<AuthorityCell> m_authority;
    std::string m_address;
    bool m_usable = false;
  };

  [[nodiscard]] std::optional<ErrorKind> Plan(TimePoint aNow,
                                              Exchange& aExchange) const;
  void Place(TimePoint aNow, Pending& aPending);
  void PlaceLocal(TimePoint aNow,
                  Pending& aPending,
                  const RouteDecision& aDecision);
  void Hold(TimePoint aNow, Pending& aPending);
  [[nodiscard]] bool AdmitRepeat(TimePoint aNow,
                                 Exchange& aExchange,
                                 const GroupId& aGroup);
  Lane& LaneFor(TimePoint aNow, const std::string& aEndpoint);
  void RefreshLane(TimePoint aNow, const std::string& aEndpoint, Lane& aLane);
  void Pump(TimePoint aNow, const std::string& aEndpoint, Lane& aLane);
  void Send(TimePoint aNow, Pending& aPending, Lane& aLane);
  void RefreshLanes(TimePoint aNow);
  void ReplaceQueued(TimePoint aNow);
  void RetryHeld(TimePoint aNow);
  void ExpireForwarded(TimePoint aNow);
  void EndAttempt(TimePoint aNow, Pending& aPending, ErrorKind aError);
  void Finish(TimePoint aNow, std::uint64_t aId);
  void Fail(TimePoint aNow, std::uint64_t aId, ErrorKind aKind);

  Coordinator& m_coordinator;
  Metrics& m_metrics;
  std::size_t m_maxRequests;
  bool m_stopping = false;
  std::unordered_map<std::uint64_t, Pending> m_active;
  std::map<std::string, Lane> m_lanes;
  std::vector<std::uint64_t> m_held;
  RetryBudget m_budget;
  RepeatWindow m_repeats;
  Offset m_placedAt = 0;
  std::vector<RouterAction> m_actions;
};

/** Returns the key of a request by a service's rule; empty when it has none. */
[[nodiscard]] std::string
KeyOf(const ServiceConfig& aService, const RequestHead& aHead);

} // namespace sapphirehook

#endif
