#ifndef SAPPHIREHOOK_GATEWAY_REQUEST_ENGINE_HPP
#define SAPPHIREHOOK_GATEWAY_REQUEST_ENGINE_HPP

#include "sapphirehook/admission/admission_control.hpp"
#include "sapphirehook/admission/service_queue.hpp"
#include "sapphirehook/admission/wait_policy.hpp"
#include "sapphirehook/core/event_log.hpp"
#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/gateway/caller_connection.hpp"
#include "sapphirehook/gateway/engine_metrics.hpp"
#include "sapphirehook/gateway/upstream_connection.hpp"
#include "sapphirehook/keys/hot_key_counter.hpp"
#include "sapphirehook/keys/key_limits.hpp"
#include "sapphirehook/keys/range_map.hpp"
#include "sapphirehook/placement/cold_start.hpp"
#include "sapphirehook/placement/download_limit.hpp"
#include "sapphirehook/placement/endpoint_choice.hpp"
#include "sapphirehook/placement/kind_work.hpp"
#include "sapphirehook/placement/retry_policy.hpp"
#include "sapphirehook/placement/service_retry_budget.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** Settings of the request path. */
struct EngineSettings
{
  std::string m_zone;
  BudgetConfig m_budget;
  /** Seed of the random choice of endpoints. Each daemon uses a different
      seed. */
  std::uint32_t m_seed = 1;
  /** Limit of the bytes that are buffered for peers that read slowly. The
      default fits a host of 100 MB. */
  std::size_t m_bufferBytes = 40'000'000;
  std::string m_host{};
  /** A cold endpoint gets at most its tolerated rate times the first number,
      plus the second, in one second from all daemons. */
  double m_warmUpOverrun = 1.0;
  double m_warmUpSlack = 0.0;
  /** Time after which the endpoints of an evacuated zone get no requests. */
  Millis m_evacuation{ 5000 };
  /** Bandwidth of the host's link, in megabits per second; 0 if unknown. */
  double m_linkMbps = 0.0;
};

/** Load that this daemon puts on an endpoint. The daemon reports it to its
    peers. */
struct EndpointUse
{
  /** Hash of the endpoint's name. */
  std::uint32_t m_endpoint = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_overdue = 0;
  std::uint32_t m_waiting = 0;
  /** Answers since the last report, and their mean service time in
      milliseconds. */
  std::uint32_t m_answers = 0;
  std::uint32_t m_serviceMs = 0;

  MSGPACK_DEFINE_ARRAY(m_endpoint,
                       m_running,
                       m_overdue,
                       m_waiting,
                       m_answers,
                       m_serviceMs)
};

/** Load that all daemons put on an endpoint. The leader of a large fleet
    reports it. */
struct FleetUse
{
  /** Hash of the endpoint's name. */
  std::uint32_t m_endpoint = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_overdue = 0;
  std::uint32_t m_waiting = 0;
  /** Mean service time in milliseconds; 0 while unknown. */
  std::uint32_t m_serviceMs = 0;

  MSGPACK_DEFINE_ARRAY(m_endpoint, m_running, m_overdue, m_waiting, m_serviceMs)
};

/** Processes the requests of callers: admits, routes, queues, sends, retries
    and refuses them. */
class RequestEngine : public CallerEvents
{
public:
  RequestEngine(EventLoop& aLoop,
                const GatewayProtocol& aProtocol,
                EventLog& aLog,
                EngineSettings aSettings);
  ~RequestEngine() override;

  /** Sets the configuration for all subsequent requests. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);

  /** Updates the endpoints and whether they are usable. */
  void SetEndpoints(TimePoint aNow, const EndpointDirectory& aDirectory);

  /** Updates the owner of a key range of a service. */
  void SetRange(const std::string& aService, const RangeRoute& aRoute);

  /** Sets the limits of a service's hot keys. */
  void SetKeyLimits(const std::string& aService,
                    const std::vector<KeyLimit>& aLimits);

  /** Returns the owners of a service's keys as known to this daemon. */
  [[nodiscard]] const RangeMap& Ranges(const std::string& aService)
  {
    return ServiceOf(aService).m_ranges;
  }

  /** Sends the queued requests for which an endpoint has capacity. */
  void ProcessQueues();

  /** Updates the load that a peer puts on the endpoints. */
  void OnPeerUse(TimePoint aNow,
                 const std::string& aPeer,
                 const std::vector<EndpointUse>& aUses);

  /** Updates the load that all daemons, including this one, put on the
      endpoints. */
  void OnFleetUse(TimePoint aNow, const std::vector<FleetUse>& aTotals);

  /** Returns the load that this daemon and its peers put on endpoints. Each
      call reports all busy endpoints and the next few in hash order, so that
      the fleet knows the service times of idle endpoints too. */
  [[nodiscard]] std::vector<FleetUse> FleetUses(TimePoint aNow);

  /** Sets the number of daemons that send to the same endpoints. */
  void SetDaemons(std::size_t aDaemons);

  /** Adds the names of daemons that may send to the same endpoints, and whether
      all are known. Until then cold endpoints with a limit get no requests. */
  void AddHosts(const std::vector<std::string>& aHosts, bool aComplete);

  /** Returns the number of cold endpoints that may get requests. */
  [[nodiscard]] std::size_t ColdEndpoints(TimePoint aNow) const;

  /** Returns the number of ranges of all services whose route leads to an
      endpoint of a zone. */
  [[nodiscard]] std::size_t RangesInZone(const std::string& aZone) const;

  /** Sets the limits for retries. */
  void SetBudget(BudgetConfig aBudget);

  /** Returns the load that this daemon puts on endpoints, with the answers
      since the last call. */
  [[nodiscard]] std::vector<EndpointUse> TakeUses(TimePoint aNow);

  /** Returns an endpoint's capacity in requests per second, estimated from the
      measured service times. */
  [[nodiscard]] double CapacityOf(const std::string& aEndpoint) const;

  /** Returns the request counts of a service's busiest keys since the last
      call. */
  [[nodiscard]] std::vector<KeyCount> TakeKeyCounts(
    const std::string& aService);

  /** Takes over an accepted socket of a caller. */
  void AcceptCaller(int aSocket);

  /** Closes each caller connection after the requests that are in progress. A
      request that arrives after aLastArrival and whose deadline is after aEnd,
      when the process ends, is refused: its answer might not come in time. A
      request that is still unanswered shortly before aEnd gets a final
      answer. */
  void BeginStop(TimePoint aLastArrival, TimePoint aEnd);

  /** Closes the caller connections that have no request in progress. */
  void CloseIdleCallers();

  /** Returns the number of caller connections with a request that is in
      progress or an answer that its caller has not acknowledged completely, or
      that are closing. */
  [[nodiscard]] std::size_t Unanswered() const;

  /** Returns the bytes of answers that wait behind others. */
  [[nodiscard]] std::size_t HeldAnswerBytes() const noexcept
  {
    return m_heldBytes.Total();
  }

  /** Returns the bytes that are buffered for peers that read slowly. */
  [[nodiscard]] std::size_t BufferedBytes() const noexcept
  {
    return m_budget->Used();
  }

  /** Returns the division of the services' capacity, which also exchanges
      demand with the other daemons. */
  [[nodiscard]] AdmissionControl& Admission() noexcept { return m_admission; }
  [[nodiscard]] const AdmissionControl& Admission() const noexcept
  {
    return m_admission;
  }

  [[nodiscard]] const EngineMetrics& Metrics() const noexcept
  {
    return m_metrics;
  }

  [[nodiscard]] const RouteTable* Routes() const noexcept
  {
    return m_routes.get();
  }

  /** Returns whether this daemon's routes may be out of date. While they are,
      a missing route is answered as temporary. */
  std::function<bool()> m_routesMayBeStale;

  /** Called when an endpoint has answered a request that no other endpoint
      would have run, sent to an address at a time. */
  std::function<void(const std::string& aEndpoint,
                     const sockaddr_in& aAddress,
                     TimePoint aSentAt)>
    m_onEndpointAnswered;

  /** Called when an endpoint refuses a key that the range map assigns to it. */
  std::function<void(const std::string& aService, Key aKey)> m_onMisdirected;

  // CallerEvents
  [[nodiscard]] bool MayRunEarly(const RequestHead& aHead) const override;
  TransactionPtr OnRequest(AnswerSink& aSink,
                           RequestHead&& aHead,
                           const RequestArrival& aArrival) override;
  void OnRequestBody(const TransactionPtr& aTransaction,
                     std::string_view aPiece) override;
  void PauseAnswer(const TransactionPtr& aTransaction, bool aPaused) override;
  void OnCallerDisconnected(const TransactionPtr& aTransaction) override;
  void OnAnswerHeld(std::chrono::nanoseconds aFor) override;
  void OnClosed(CallerConnection& aConnection) override;
  [[nodiscard]] const CallerLimits& Limits() const override;

private:
  struct Endpoint
  {
    explicit Endpoint(const EndpointRecord& aRecord)
      : m_record(aRecord)
      , m_hash(
          static_cast<std::uint32_t>(StableHash(aRecord.m_incarnation.m_name)))
      , m_load(aRecord.m_slots)
      , m_coldStart(aRecord.m_incarnation.m_name)
    {
    }

    EndpointRecord m_record;
    std::uint32_t m_hash = 0;
    EndpointLoad m_load;
    bool m_usable = true;
    TimePoint m_warmAt{};
    ColdStart m_coldStart;
    /** End of the time for which requests go to the endpoint for keys that it
        holds, although it is not usable, since its zone is evacuated. */
    TimePoint m_servesKeysUntil{};
    std::vector<std::shared_ptr<UpstreamConnection>> m_idle;
  };

  struct Service
  {
    explicit Service(BudgetConfig aBudget)
      : m_budget(aBudget)
    {
    }

    RangeMap m_ranges;
    ServiceRetryBudget m_budget;
    HotKeyCounter m_keyCounter{ kKeyCounters };
    KeyAdmission m_keyAdmission;
    ServiceQueue<TransactionPtr> m_queue;
    /** Endpoints in this daemon's zone, and in other zones. */
    std::vector<Endpoint*> m_localZone;
    std::vector<Endpoint*> m_otherZones;
    /** Those of them that this daemon uses while they have capacity. */
    std::vector<Endpoint*> m_localSubset;
    std::vector<Endpoint*> m_otherSubset;
    /** Moving average over the service's answers. */
    std::chrono::nanoseconds m_meanServiceTime = std::chrono::milliseconds(100);
    KindWork m_work;
  };

  /** Number of keys that are counted exactly between two reports. */
  static constexpr std::size_t kKeyCounters = 128;
  /** Limit of the bytes of answers that wait behind others. It is small beside
      the memory of the smallest host. */
  static constexpr std::size_t kMaxHeldBytes = 524'288;

  Service& ServiceOf(const std::string& aName);
  bool Admit(const TransactionPtr& aTransaction,
             const RequestArrival& aArrival);
  /** Returns why a request that arrives now cannot be served before its
      deadline, or nothing. */
  [[nodiscard]] std::optional<std::string_view> ReasonToRefuse(
    TimePoint aNow,
    const Transaction& aTransaction) const;
  /** Counts a request as demand and applies the admitted share of its kind.
      Returns false if the request is refused. */
  bool ApplyShare(TimePoint aNow, const TransactionPtr& aTransaction);
  /** Returns the slots of a service's usable endpoints, less those that overdue
      requests occupy. */
  [[nodiscard]] static AdmissionControl::Capacity CapacityOf(
    TimePoint aNow,
    const Service& aService);
  /** Sends a request, queues it if no endpoint has capacity, or refuses it if
      the expected wait is too long. */
  void SendOrEnqueue(const TransactionPtr& aTransaction);
  /** Returns an endpoint that can accept the request now, or null. */
  [[nodiscard]] Endpoint* Choose(TimePoint aNow,
                                 const Transaction& aTransaction);
  [[nodiscard]] Endpoint* ChooseHolder(TimePoint aNow,
                                       const Transaction& aTransaction);
  [[nodiscard]] Endpoint* ChooseAny(TimePoint aNow,
                                    const Transaction& aTransaction,
                                    const Service& aService);
  void IndexEndpoints();
  /** Updates an endpoint's cold time, and until when an evacuated endpoint
      serves its keys. */
  void UpdateColdStart(TimePoint aNow,
                       const EndpointDirectory& aDirectory,
                       const KnownEndpoint& aKnown,
                       Endpoint& aEndpoint) const;
  [[nodiscard]] ColdLimit ColdLimitOf(const Endpoint& aEndpoint) const;
  /** Returns whether the limit of a cold endpoint admits a request now. */
  [[nodiscard]] bool AdmitsCold(TimePoint aNow,
                                const Transaction& aTransaction,
                                const Endpoint& aEndpoint) const;
  /** Counts a request that has to wait only because the endpoint that holds its
      key is cold. */
  void CountHeldBack(TimePoint aNow, const Transaction& aTransaction);
  /** Chooses the subset of the usable endpoints of each service. */
  void ChooseSubsets();
  /** Returns the expected queueing time of a request that finds no endpoint
      with capacity. */
  [[nodiscard]] std::chrono::nanoseconds ExpectedWait(
    TimePoint aNow,
    const Transaction& aTransaction);
  [[nodiscard]] Endpoint* HolderOf(const Transaction& aTransaction);
  /** Returns whether an endpoint can accept the request now. */
  [[nodiscard]] bool HasCapacity(TimePoint aNow,
                                 const Endpoint& aEndpoint,
                                 const Transaction& aTransaction) const;
  [[nodiscard]] static QueueEntry EntryOf(const Transaction& aTransaction);
  [[nodiscard]] WaitTerms TermsOf(const Transaction& aTransaction);
  void Enqueue(const TransactionPtr& aTransaction);
  void Dequeue(const TransactionPtr& aTransaction);
  std::shared_ptr<UpstreamConnection> ConnectionFor(
    TimePoint aNow,
    const Transaction& aTransaction,
    Endpoint& aEndpoint);
  void KeepBody(const TransactionPtr& aTransaction, std::string_view aPiece);
  void PauseBodyIfBuffered(Transaction& aTransaction) const;
  void SendTo(TimePoint aNow,
              const TransactionPtr& aTransaction,
              Endpoint& aEndpoint);
  std::string SerializeRequest(TimePoint aNow,
                               const Transaction& aTransaction,
                               const Endpoint& aEndpoint) const;
  void OnAnswer(const TransactionPtr& aTransaction,
                const ResponseHead& aHead,
                std::string_view aBody);
  /** Takes the load that the endpoint of a running attempt states. */
  void TakeReportedLoad(TimePoint aNow,
                        const Transaction& aTransaction,
                        const ResponseHead& aHead);
  /** Returns when a request must have its final answer. */
  [[nodiscard]] TimePoint AnswerDeadline(const Transaction& aTransaction) const;
  /** Sets the expected times of an attempt, and when the engine first checks
      whether the endpoint is unresponsive. */
  void BeginWatch(TimePoint aNow,
                  Transaction& aTransaction,
                  Endpoint& aEndpoint);
  /** Sends a request to another endpoint if its endpoint is unresponsive.
      Returns whether it did. */
  bool LeaveIfUnresponsive(TimePoint aNow, const TransactionPtr& aTransaction);
  /** Returns the number of requests at an endpoint that are silent for longer
      than their shortest limit. */
  [[nodiscard]] std::size_t SilentRequests(TimePoint aNow,
                                           const std::string& aEndpoint) const;
  /** Returns whether the host's link can carry one more download. */
  [[nodiscard]] bool HasLinkCapacity(const Transaction& aTransaction) const;
  void OnFault(const TransactionPtr& aTransaction, UpstreamFault aFault);
  void EndAttempt(TimePoint aNow,
                  const TransactionPtr& aTransaction,
                  AttemptEnd aEnd);
  /** Retries a request after an attempt, or answers the caller. */
  void TakeNextStep(const TransactionPtr& aTransaction,
                    AttemptEnd aEnd,
                    const ResponseHead* aHead,
                    std::string_view aBody);
  void OnTimer(const TransactionPtr& aTransaction);
  void ArmTimer(const TransactionPtr& aTransaction);
  /** Refuses a request. aEarliest is the time until capacity becomes free, and
      aSpread the time over which the callers of a divided service come
      back. */
  void Refuse(const TransactionPtr& aTransaction,
              std::string_view aReason,
              std::chrono::nanoseconds aEarliest,
              std::chrono::nanoseconds aSpread = {});
  void Fail(const TransactionPtr& aTransaction,
            int aStatus,
            std::string_view aReason);
  void Finish(const TransactionPtr& aTransaction,
              const ResponseHead& aHead,
              std::string_view aBody,
              std::string_view aOutcome);
  void Complete(const TransactionPtr& aTransaction);
  void ReturnConnection(const TransactionPtr& aTransaction);
  void ProcessQueue(Service& aService);
  void AddLoadFields(LogLine& aLine, const Transaction& aTransaction);
  /** Logs the end of a request and adds its duration to the metrics. */
  void RecordEnd(const Transaction& aTransaction,
                 std::string_view aOutcome,
                 int aStatus,
                 LogPriority aPriority);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EventLog& m_log;
  EngineSettings m_settings;
  std::shared_ptr<const RouteTable> m_routes;
  CallerLimits m_defaultLimits;
  /** Choice among the target services of each route. */
  std::map<std::string, WeightedRoundRobin> m_roundRobins;
  std::map<std::string, Service> m_services;
  std::map<std::string, std::unique_ptr<Endpoint>> m_endpoints;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_callers;
  EngineMetrics m_metrics;
  EndpointChooser m_chooser;
  DownloadLimit m_downloads;
  /** Admitted requests without a final answer. */
  std::set<TransactionPtr> m_open;
  AdmissionControl m_admission;
  /** Estimates of the callers' first attempts, by route. */
  std::map<std::string, FirstAttemptTimes> m_firstAttempts;
  std::uint64_t m_lastQueueId = 0;
  /** Hash of the last endpoint that FleetUses reported in hash order. */
  std::uint32_t m_lastReportedHash = 0;
  std::size_t m_daemons = 1;
  KnownHosts m_hosts;
  HeldBytes m_heldBytes{ kMaxHeldBytes };
  std::shared_ptr<MemoryBudget> m_budget;
  bool m_stopping = false;
  /** Set while stopping. */
  TimePoint m_lastArrival{};
  TimePoint m_stopEnd{};
  /** When a stopping daemon answers all unanswered requests. */
  TimePoint m_finalAnswerAt = TimePoint::max();
  bool m_processingQueues = false;
};

} // namespace sapphirehook

#endif
