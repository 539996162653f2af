#ifndef SAPPHIREHOOK_GATEWAY_REQUEST_ENGINE_HPP
#define SAPPHIREHOOK_GATEWAY_REQUEST_ENGINE_HPP

#include "sapphirehook/core/event_log.hpp"
#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/gateway/caller_connection.hpp"
#include "sapphirehook/gateway/engine_metrics.hpp"
#include "sapphirehook/gateway/upstream_connection.hpp"
#include "sapphirehook/keys/hot_key_counter.hpp"
#include "sapphirehook/keys/range_map.hpp"
#include "sapphirehook/placement/endpoint_choice.hpp"
#include "sapphirehook/placement/retry_policy.hpp"
#include "sapphirehook/placement/service_retry_budget.hpp"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirehook {

/** Settings of the request path. */
struct EngineSettings
{
  std::string m_zone;
  BudgetConfig m_budget;
  /** Seed of random choices; daemons should differ in it. */
  std::uint32_t m_seed = 1;
};

/** An endpoint's use by this daemon, for its peers. */
struct EndpointUse
{
  /** Hash of the endpoint's name. */
  std::uint32_t m_endpoint = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_overdue = 0;
  std::uint32_t m_waiting = 0;
  /** Answers since the last telling, and their mean time in milliseconds. */
  std::uint32_t m_answers = 0;
  std::uint32_t m_serviceMs = 0;

  MSGPACK_DEFINE_ARRAY(m_endpoint,
                       m_running,
                       m_overdue,
                       m_waiting,
                       m_answers,
                       m_serviceMs)
};

/** An endpoint's use by all daemons of a large fleet, as the leader tells. */
struct FleetUse
{
  /** Hash of the endpoint's name. */
  std::uint32_t m_endpoint = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_overdue = 0;
  std::uint32_t m_waiting = 0;
  /** Mean time of an answer in milliseconds; 0 while unknown. */
  std::uint32_t m_serviceMs = 0;

  MSGPACK_DEFINE_ARRAY(m_endpoint, m_running, m_overdue, m_waiting, m_serviceMs)
};

/** Brings requests to endpoints: admits, routes, queues, sends, repeats and
    refuses them. */
class RequestEngine : public CallerEvents
{
public:
  RequestEngine(EventLoop& aLoop,
                const GatewayProtocol& aProtocol,
                EventLog& aLog,
                EngineSettings aSettings);
  ~RequestEngine() override;

  /** Puts a configuration in force for all requests from now on. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);

  /** Takes in which endpoints there are and may get work. */
  void SetEndpoints(TimePoint aNow, const EndpointDirectory& aDirectory);

  /** Takes in where a service's keys are. */
  void SetRange(const std::string& aService, const RangeRoute& aRoute);

  /** Returns where a service's keys are, as far as this daemon knows. */
  [[nodiscard]] const RangeMap& Ranges(const std::string& aService)
  {
    return ServiceOf(aService).m_ranges;
  }

  /** Sends what waits and can be sent by now. */
  void Pump();

  void OnPeerUse(TimePoint aNow,
                 const std::string& aPeer,
                 const std::vector<EndpointUse>& aUses);

  /** Takes in the use of endpoints by all daemons, this one included. */
  void OnFleetUse(TimePoint aNow, const std::vector<FleetUse>& aTotals);

  /** Returns the use of endpoints by this daemon and its peers: of the busy
      ones, and in turn of some others, whose speed the fleet should know. */
  [[nodiscard]] std::vector<FleetUse> Totals(TimePoint aNow);

  void SetDaemons(std::size_t aDaemons);

  /** Sets other limits for repeats. */
  void SetBudget(BudgetConfig aBudget);

  /** Returns this daemon's use of endpoints, with the answers since the last
      call. */
  [[nodiscard]] std::vector<EndpointUse> TakeUses(TimePoint aNow);

  /** Returns how many requests a second an endpoint can work off, by what this
      daemon has measured. */
  [[nodiscard]] double CapacityOf(const std::string& aEndpoint) const;

  /** Returns the counts of a service's keys since the last call. */
  [[nodiscard]] std::vector<KeyCount> TakeKeyCounts(
    const std::string& aService);

  void AcceptCaller(int aSocket);

  /** From now on connections end after their answers. */
  void BeginStop();

  /** Closes connections without a request. */
  void CloseIdleCallers();

  /** Number of requests that have no answer yet. */
  [[nodiscard]] std::size_t Unanswered() const;

  [[nodiscard]] const EngineMetrics& Metrics() const noexcept
  {
    return m_metrics;
  }

  [[nodiscard]] const RouteTable* Routes() const noexcept
  {
    return m_routes.get();
  }

  /** Returns whether routes may have been added that this daemon does not know
      of, so that it cannot tell that there is none for a request. */
  std::function<bool()> m_mayLackRoutes;

  /** Called when an endpoint refused a key that the map says it holds. */
  std::function<void(const std::string& aService, Key aKey)> m_onMisdirected;

  // CallerEvents
  TransactionPtr OnRequest(AnswerSink& aSink, RequestHead&& aHead) override;
  void OnRequestBody(const TransactionPtr& aTransaction,
                     std::string_view aPiece) override;
  void OnCallerGone(const TransactionPtr& aTransaction) override;
  void OnClosed(CallerConnection& aConnection) override;
  [[nodiscard]] const CallerLimits& Limits() const override;
  [[nodiscard]] bool IsStopping() const override { return m_stopping; }

private:
  struct Endpoint
  {
    explicit Endpoint(const EndpointRecord& aRecord)
      : m_record(aRecord)
      , m_hash(
          static_cast<std::uint32_t>(StableHash(aRecord.m_incarnation.m_name)))
      , m_load(aRecord.m_slots)
    {
    }

    EndpointRecord m_record;
    std::uint32_t m_hash = 0;
    EndpointLoad m_load;
    bool m_usable = true;
    TimePoint m_warmAt{};
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
    std::list<TransactionPtr> m_waiting;
    /** Its endpoints in this daemon's zone, and in others. */
    std::vector<Endpoint*> m_near;
    std::vector<Endpoint*> m_far;
    std::chrono::nanoseconds m_typical = std::chrono::milliseconds(100);
  };

  /** Keys counted exactly between two reports. */
  static constexpr std::size_t kKeyCounters = 128;

  Service& ServiceOf(const std::string& aName);
  bool Admit(const TransactionPtr& aTransaction);
  void Place(const TransactionPtr& aTransaction);
  [[nodiscard]] Endpoint* Choose(TimePoint aNow,
                                 const Transaction& aTransaction);
  [[nodiscard]] Endpoint* ChooseHolder(TimePoint aNow,
                                       const Transaction& aTransaction);
  [[nodiscard]] Endpoint* ChooseAny(TimePoint aNow,
                                    const Transaction& aTransaction,
                                    const Service& aService);
  void IndexEndpoints();
  /** Returns how long a request that found no room would wait. */
  [[nodiscard]] std::chrono::nanoseconds ExpectedWait(
    TimePoint aNow,
    const Transaction& aTransaction);
  [[nodiscard]] Endpoint* HolderOf(const Transaction& aTransaction);
  void Enqueue(const TransactionPtr& aTransaction);
  void Dequeue(const TransactionPtr& aTransaction);
  std::shared_ptr<UpstreamConnection> ConnectionFor(
    TimePoint aNow,
    const Transaction& aTransaction,
    Endpoint& aEndpoint);
  void SendTo(TimePoint aNow,
              const TransactionPtr& aTransaction,
              Endpoint& aEndpoint);
  std::string SerializeRequest(TimePoint aNow,
                               const Transaction& aTransaction,
                               const Endpoint& aEndpoint) const;
  void OnAnswer(const TransactionPtr& aTransaction,
                const ResponseHead& aHead,
                std::string_view aBody);
  void OnFault(const TransactionPtr& aTransaction, UpstreamFault aFault);
  void EndAttempt(TimePoint aNow,
                  const TransactionPtr& aTransaction,
                  AttemptEnd aEnd);
  void TakeNextStep(const TransactionPtr& aTransaction,
                    AttemptEnd aEnd,
                    const ResponseHead* aHead,
                    std::string_view aBody);
  void OnTimer(const TransactionPtr& aTransaction);
  void ArmTimer(const TransactionPtr& aTransaction);
  [[nodiscard]] TimePoint WaitsUntil(const Transaction& aTransaction);
  void Refuse(const TransactionPtr& aTransaction,
              std::string_view aReason,
              std::chrono::nanoseconds aComeBackAfter);
  void Fail(const TransactionPtr& aTransaction,
            int aStatus,
            std::string_view aReason);
  void Finish(const TransactionPtr& aTransaction,
              const ResponseHead& aHead,
              std::string_view aBody,
              std::string_view aOutcome);
  void Complete(const TransactionPtr& aTransaction);
  void ReturnConnection(const TransactionPtr& aTransaction);
  void PumpService(Service& aService);
  void AddRoom(LogLine& aLine, const Transaction& aTransaction);
  /** Logs and measures the end of a request. */
  void RecordEnd(const Transaction& aTransaction,
                 std::string_view aOutcome,
                 int aStatus,
                 LogPriority aRank);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EventLog& m_log;
  EngineSettings m_settings;
  std::shared_ptr<const RouteTable> m_routes;
  CallerLimits m_defaultLimits;
  std::map<std::string, WeightedRoundRobin> m_turns;
  std::map<std::string, Service> m_services;
  std::map<std::string, std::unique_ptr<Endpoint>> m_endpoints;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_callers;
  EngineMetrics m_metrics;
  EndpointChooser m_chooser;
  /** Hash up to which the fleet has been told of idle endpoints. */
  std::uint32_t m_toldUpTo = 0;
  std::size_t m_daemons = 1;
  bool m_stopping = false;
  bool m_pumping = false;
};

} // namespace sapphirehook

#endif
