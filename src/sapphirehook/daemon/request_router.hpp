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

/** An effect that the router requests from its caller. */
using RouterAction = std::variant<SendRequest, ForwardRequest>;

/** The state machine of the requests: admits each request, forwards it to the
    key's dispatcher or queues it at the key's endpoint, and retries or rejects
    it. Performs no I/O and reads no clock. */
class RequestRouter
{
public:
  RequestRouter(Coordinator& aCoordinator,
                Metrics& aMetrics,
                std::size_t aMaxRequests);

  /** Admits a request from a caller or from another daemon. */
  void Admit(TimePoint aNow, const ExchangePtr& aExchange);

  /** Handles the end of a request at an endpoint. */
  void OnSendEnded(TimePoint aNow, const RequestEnded& aEnded);

  /** Handles the end of a forwarded request. */
  void OnForwardEnded(TimePoint aNow, const ForwardEnded& aEnded);

  /** Refreshes the authority of every endpoint, then reroutes queued requests,
      retries deferred ones and fails expired ones. */
  void OnTick(TimePoint aNow);

  /** Marks the router as stopping. */
  void BeginStop() noexcept { m_stopping = true; }

  /** Removes and returns the actions decided since the last call. */
  [[nodiscard]] std::vector<RouterAction> TakeActions();

  /** Returns the number of unfinished requests. */
  [[nodiscard]] std::size_t Active() const noexcept { return m_active.size(); }

  /** Returns the number of waiting requests by endpoint. */
  [[nodiscard]] std::map<std::string, std::size_t> Waiting() const;

private:
  enum class Stage : unsigned char
  {
    /** The request cannot be routed at present and is routed again after a
        delay. */
    Deferred,
    /** The request is in the queue of a local endpoint. */
    Queued,
    /** The request is in flight at a local endpoint. */
    Sent,
    /** The request is in flight at another daemon. */
    Forwarded,
  };

  struct Pending
  {
    ExchangePtr m_exchange;
    Stage m_stage = Stage::Deferred;
    TimePoint m_arrived{};
    /** When the request was deferred or queued. */
    TimePoint m_waitingSince{};
    TimePoint m_retryAt{};
    std::string m_endpoint;
    PartitionId m_partition;
  };

  /** The queue of one endpoint and what is needed to send to it. */
  struct Destination
  {
    EndpointQueue m_queue;
    std::shared_ptr<AuthorityCell> m_authority;
    std::string m_address;
    bool m_usable = false;
  };

  [[nodiscard]] std::optional<ErrorKind> Plan(TimePoint aNow,
                                              Exchange& aExchange) const;
  void Dispatch(TimePoint aNow, Pending& aPending);
  void DispatchLocal(TimePoint aNow,
                     Pending& aPending,
                     const RouteDecision& aDecision);
  void Defer(TimePoint aNow, Pending& aPending);
  [[nodiscard]] bool AdmitRepeat(TimePoint aNow,
                                 Exchange& aExchange,
                                 const GroupId& aGroup);
  Destination& DestinationFor(TimePoint aNow, const std::string& aEndpoint);
  void RefreshDestination(TimePoint aNow,
                          const std::string& aEndpoint,
                          Destination& aDestination);
  void SendQueued(TimePoint aNow,
                  const std::string& aEndpoint,
                  Destination& aDestination);
  void Send(TimePoint aNow, Pending& aPending, Destination& aDestination);
  void RefreshDestinations(TimePoint aNow);
  void RerouteQueued(TimePoint aNow);
  void RetryDeferred(TimePoint aNow);
  void ExpireForwarded(TimePoint aNow);
  void EndAttempt(TimePoint aNow, Pending& aPending, ErrorKind aError);
  void Finish(TimePoint aNow, std::uint64_t aId);
  void Fail(TimePoint aNow, std::uint64_t aId, ErrorKind aKind);

  Coordinator& m_coordinator;
  Metrics& m_metrics;
  std::size_t m_maxRequests;
  bool m_stopping = false;
  std::unordered_map<std::uint64_t, Pending> m_active;
  std::map<std::string, Destination> m_destinations;
  std::vector<std::uint64_t> m_deferred;
  RetryBudget m_budget;
  RepeatWindow m_repeats;
  Offset m_routedOffset = 0;
  std::vector<RouterAction> m_actions;
};

/** Returns the key of a request by the service's key source, or an empty string
    if the request has no key. */
[[nodiscard]] std::string
KeyOf(const ServiceConfig& aService, const RequestHead& aHead);

} // namespace sapphirehook

#endif
