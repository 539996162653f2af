#ifndef SAPPHIREHOOK_DAEMON_DECISION_LOOP_HPP
#define SAPPHIREHOOK_DAEMON_DECISION_LOOP_HPP

#include "sapphirehook/daemon/request_router.hpp"
#include "sapphirehook/daemon/status.hpp"
#include "sapphirehook/log/log_service.hpp"
#include "sapphirehook/operator/timeline.hpp"

#include <future>

namespace sapphirehook {

/** A query from the operators' port to the decision thread. */
struct Query
{
  enum class Kind : unsigned char
  {
    Status,
    Route,
    Tickets,
  };

  Kind m_kind = Kind::Status;
  std::string m_service;
  std::string m_key;
  std::promise<std::string> m_answer;
};

using QueryPtr = std::shared_ptr<Query>;

/** The ring buffers to which the decision thread writes its commands. */
struct DecisionOutputs
{
  Ring<EndpointCommand>& m_endpoints;
  Ring<PeerCommand>& m_peers;
  Ring<std::string>& m_appends;
};

/** The decision thread. It reads events from the ring buffers of the other
    threads, passes them to the coordinator and the router, and executes the
    resulting actions. It never blocks on another thread. */
class DecisionLoop
{
public:
  DecisionLoop(NodeConfig aConfig,
               std::size_t aMaxRequests,
               Metrics& aMetrics,
               Timeline& aTimeline);

  /** Starts the thread. The thread calls aStats for each status query, to fill
      in the counters of the other threads. */
  void Start(DecisionOutputs aOutputs,
             std::function<void(DaemonStats&)> aStats);
  void Stop();

  /** Runs a query on the decision thread and waits for the answer. Returns an
      empty string if the ring is full or if no answer comes within a second.
      Thread-safe. */
  [[nodiscard]] std::string RunQuery(const QueryPtr& aQuery);

  [[nodiscard]] Ring<ExchangePtr>& Callers() noexcept { return m_callers; }
  [[nodiscard]] Ring<EndpointEvent>& Endpoints() noexcept
  {
    return m_endpoints;
  }
  [[nodiscard]] Ring<PeerEvent>& Peers() noexcept { return m_peers; }
  [[nodiscard]] Ring<LogEvent>& StateLog() noexcept { return m_stateLog; }
  [[nodiscard]] Ring<LogEvent>& TicketLog() noexcept { return m_ticketLog; }
  [[nodiscard]] Ring<std::vector<ListedHost>>& Hosts() noexcept
  {
    return m_hosts;
  }

  /** Returns whether this daemon serves callers: its state is not stale and no
      planned stop has begun. */
  [[nodiscard]] bool IsHealthy() const noexcept { return m_healthy.load(); }

  /** Returns whether the planned stop has handed over every role. */
  [[nodiscard]] bool IsDrained() const noexcept { return m_drained.load(); }

  /** Begins the handover of every role. Thread-safe. */
  void BeginStop() noexcept { m_stopRequested = true; }

  /** Returns the number of unfinished requests. */
  [[nodiscard]] std::size_t Active() const noexcept { return m_activeCount; }

private:
  void Run();
  void TakeLog(TimePoint aNow);
  void TakePeers(TimePoint aNow);
  void OnPeerMessage(TimePoint aNow, const MessageReceived& aMessage);
  void OnPeerAnswer(TimePoint aNow, const AnswerReceived& aAnswer);
  void TakeEndpoints(TimePoint aNow);
  void TakeCallers(TimePoint aNow);
  void TakeQueries(TimePoint aNow);
  [[nodiscard]] std::string AnswerQuery(TimePoint aNow, const Query& aQuery);
  void Execute(TimePoint aNow);
  void ExecuteRouter(TimePoint aNow);
  void Perform(TimePoint aNow, const AppendAction& aAction);
  void Perform(TimePoint aNow, const HeartbeatAction& aAction);
  void Perform(TimePoint aNow, const FetchAction& aAction);
  void Perform(TimePoint aNow, const LeaseCallAction& aAction);
  void Perform(TimePoint aNow, const EventAction& aAction);
  void RecordEvent(const std::string& aKind, const std::string& aDetail);

  static constexpr std::size_t kRingCapacity = 16384;

  HostId m_self;
  Metrics& m_metrics;
  Timeline& m_timeline;
  Coordinator m_coordinator;
  RequestRouter m_router;
  Waker m_waker;
  Ring<ExchangePtr> m_callers;
  Ring<EndpointEvent> m_endpoints;
  Ring<PeerEvent> m_peers;
  Ring<LogEvent> m_stateLog;
  Ring<LogEvent> m_ticketLog;
  Ring<std::vector<ListedHost>> m_hosts;
  Ring<QueryPtr> m_queries;
  std::mutex m_queryMutex;
  std::optional<DecisionOutputs> m_outputs;
  std::function<void(DaemonStats&)> m_fillStats;
  std::deque<std::string> m_pendingAppends;
  bool m_stopping = false;
  TimePoint m_nextTick{};
  std::atomic<bool> m_healthy{ false };
  std::atomic<bool> m_drained{ false };
  std::atomic<bool> m_stopRequested{ false };
  std::atomic<std::size_t> m_activeCount{ 0 };
  Worker m_worker;
};

} // namespace sapphirehook

#endif
