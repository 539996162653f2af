#ifndef SAPPHIREHOOK_DAEMON_DECISION_LOOP_HPP
#define SAPPHIREHOOK_DAEMON_DECISION_LOOP_HPP

#include "sapphirehook/daemon/request_router.hpp"
#include "sapphirehook/daemon/status.hpp"
#include "sapphirehook/log/log_service.hpp"
#include "sapphirehook/operator/timeline.hpp"

#include <future>

namespace sapphirehook {

/** A question of the operators' port to the decision thread. */
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

/** Where the decision thread sends its work. */
struct DecisionOutputs
{
  Ring<EndpointCommand>& m_endpoints;
  Ring<PeerCommand>& m_peers;
  Ring<std::string>& m_appends;
};

/** The thread that makes all decisions: it takes events from the rings of the
    other threads, asks the coordinator and the router, and hands their
    actions on. It never waits for another thread. */
class DecisionLoop
{
public:
  DecisionLoop(NodeConfig aConfig,
               std::size_t aMaxRequests,
               Metrics& aMetrics,
               Timeline& aTimeline);

  /** Starts the thread. aFigures is called on it for each status. */
  void Start(DecisionOutputs aOutputs,
             std::function<void(StatusFigures&)> aFigures);
  void Stop();

  /** Asks the decision thread; returns an empty text when it does not answer
      within a second. Callable from any thread. */
  [[nodiscard]] std::string Ask(const QueryPtr& aQuery);

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

  /** Returns whether this daemon serves callers: its state is fresh. */
  [[nodiscard]] bool IsHealthy() const noexcept { return m_healthy.load(); }

  /** Returns whether a planned stop has handed every role over. */
  [[nodiscard]] bool IsDrained() const noexcept { return m_drained.load(); }

  /** Starts to hand every role over. Callable from any thread. */
  void BeginStop() noexcept { m_stopAsked = true; }

  /** Returns the requests that are not finished. */
  [[nodiscard]] std::size_t Active() const noexcept { return m_activeNow; }

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
  void Do(TimePoint aNow, const AppendAction& aAction);
  void Do(TimePoint aNow, const HeartbeatAction& aAction);
  void Do(TimePoint aNow, const FetchAction& aAction);
  void Do(TimePoint aNow, const LeaseCallAction& aAction);
  void Do(TimePoint aNow, const EventAction& aAction);
  void Note(const std::string& aKind, const std::string& aDetail);

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
  std::function<void(StatusFigures&)> m_figures;
  std::deque<std::string> m_unappended;
  bool m_stopping = false;
  TimePoint m_nextTick{};
  std::atomic<bool> m_healthy{ false };
  std::atomic<bool> m_drained{ false };
  std::atomic<bool> m_stopAsked{ false };
  std::atomic<std::size_t> m_activeNow{ 0 };
  Worker m_worker;
};

} // namespace sapphirehook

#endif
