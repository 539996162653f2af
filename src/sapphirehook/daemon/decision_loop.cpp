#include "sapphirehook/daemon/decision_loop.hpp"

#include <poll.h>

namespace sapphirehook {

namespace {

constexpr Millis kTickInterval{ 20 };
constexpr Millis kQueryTimeout{ 1000 };

} // namespace

DecisionLoop::DecisionLoop(NodeConfig aConfig,
                           std::size_t aMaxRequests,
                           Metrics& aMetrics,
                           Timeline& aTimeline)
  : m_self(aConfig.m_self)
  , m_metrics(aMetrics)
  , m_timeline(aTimeline)
  , m_coordinator(std::move(aConfig))
  , m_router(m_coordinator, aMetrics, aMaxRequests)
  , m_callers(kRingCapacity, [this] { m_waker.Wake(); })
  , m_endpoints(kRingCapacity, [this] { m_waker.Wake(); })
  , m_peers(kRingCapacity, [this] { m_waker.Wake(); })
  , m_stateLog(kRingCapacity, [this] { m_waker.Wake(); })
  , m_ticketLog(kRingCapacity, [this] { m_waker.Wake(); })
  , m_hosts(16, [this] { m_waker.Wake(); })
  , m_queries(256, [this] { m_waker.Wake(); })
{
}

void
DecisionLoop::Start(DecisionOutputs aOutputs,
                    std::function<void(DaemonStats&)> aStats)
{
  m_outputs.emplace(aOutputs);
  m_fillStats = std::move(aStats);
  m_worker.Start("decisions", [this] { Run(); });
}

void
DecisionLoop::Stop()
{
  m_waker.Wake();
  m_worker.Stop();
}

std::string
DecisionLoop::RunQuery(const QueryPtr& aQuery)
{
  auto answer = aQuery->m_answer.get_future();
  {
    const std::lock_guard lock(m_queryMutex);
    if (!m_queries.Push(aQuery)) {
      return {};
    }
  }
  if (answer.wait_for(kQueryTimeout) != std::future_status::ready) {
    return {};
  }
  return answer.get();
}

void
DecisionLoop::RecordEvent(const std::string& aKind, const std::string& aDetail)
{
  TimelineEvent event;
  event.m_kind = aKind;
  event.m_detail = aDetail;
  event.m_offset = m_coordinator.State().m_nextOffset;
  m_timeline.Add(std::move(event));
}

void
DecisionLoop::TakeLog(TimePoint aNow)
{
  while (const auto event = m_stateLog.Pop()) {
    switch (event->m_kind) {
      case LogEvent::Kind::Record:
        m_coordinator.OnRecord(aNow, event->m_offset, event->m_bytes);
        break;
      case LogEvent::Kind::CaughtUp:
        m_coordinator.OnLogStatus(aNow, true);
        break;
      case LogEvent::Kind::Unreadable:
        m_coordinator.OnLogStatus(aNow, false);
        break;
      case LogEvent::Kind::Trimmed:
        if (m_coordinator.OnTrimmed(event->m_offset)) {
          RecordEvent("log-trimmed", std::to_string(event->m_offset));
        }
        break;
    }
  }
  while (const auto event = m_ticketLog.Pop()) {
    if (event->m_kind == LogEvent::Kind::Record) {
      m_coordinator.OnTicket(aNow, event->m_offset, event->m_bytes);
    }
  }
  while (const auto hosts = m_hosts.Pop()) {
    m_coordinator.OnHostList(*hosts);
  }
}

void
DecisionLoop::OnPeerMessage(TimePoint aNow, const MessageReceived& aMessage)
{
  const auto message = DecodeMessage(aMessage.m_bytes);
  if (!message.ok()) {
    m_metrics.Add("sapphirehook_bad_messages_total");
    return;
  }
  std::optional<PeerMessage> answer;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
    const auto reply = m_coordinator.OnHeartbeat(aNow, *heartbeat);
    if (reply) {
      answer = *reply;
    }
  } else if (const auto* fetch = std::get_if<FetchRequest>(&*message)) {
    answer = m_coordinator.OnFetch(*fetch);
  }
  if (!answer) {
    return;
  }
  const bool sent = m_outputs->m_peers.Push(
    AnswerMessage{ aMessage.m_handle, EncodeMessage(*answer) });
  if (!sent) {
    m_metrics.Add("sapphirehook_ring_refusals_total");
  }
}

void
DecisionLoop::OnPeerAnswer(TimePoint aNow, const AnswerReceived& aAnswer)
{
  const auto message = DecodeMessage(aAnswer.m_bytes);
  if (!message.ok()) {
    m_metrics.Add("sapphirehook_bad_messages_total");
    return;
  }
  if (const auto* heartbeat = std::get_if<HeartbeatAnswer>(&*message)) {
    m_coordinator.OnHeartbeatAnswer(aNow, aAnswer.m_address, *heartbeat);
  } else if (const auto* fetched = std::get_if<FetchAnswer>(&*message)) {
    m_coordinator.OnFetchAnswer(aNow, *fetched);
  }
}

void
DecisionLoop::TakePeers(TimePoint aNow)
{
  while (const auto event = m_peers.Pop()) {
    if (const auto* message = std::get_if<MessageReceived>(&*event)) {
      OnPeerMessage(aNow, *message);
    } else if (const auto* answer = std::get_if<AnswerReceived>(&*event)) {
      OnPeerAnswer(aNow, *answer);
    } else if (const auto* request = std::get_if<ForwardReceived>(&*event)) {
      m_router.Admit(aNow, request->m_exchange);
    } else if (const auto* ended = std::get_if<ForwardEnded>(&*event)) {
      m_router.OnForwardEnded(aNow, *ended);
    }
  }
}

void
DecisionLoop::TakeEndpoints(TimePoint aNow)
{
  while (const auto event = m_endpoints.Pop()) {
    if (const auto* ended = std::get_if<RequestEnded>(&*event)) {
      m_router.OnSendEnded(aNow, *ended);
    } else if (const auto* lease = std::get_if<LeaseResult>(&*event)) {
      if (lease->m_answer) {
        m_coordinator.OnLeaseAnswer(
          aNow, lease->m_endpoint, lease->m_call, *lease->m_answer);
      } else {
        m_coordinator.OnLeaseFailure(aNow, lease->m_endpoint, lease->m_call);
      }
    }
  }
}

void
DecisionLoop::TakeCallers(TimePoint aNow)
{
  while (const auto exchange = m_callers.Pop()) {
    m_router.Admit(aNow, *exchange);
  }
}

std::string
DecisionLoop::AnswerQuery(TimePoint aNow, const Query& aQuery)
{
  switch (aQuery.m_kind) {
    case Query::Kind::Status: {
      DaemonStats stats;
      stats.m_self = m_self;
      stats.m_stopping = m_stopping;
      m_fillStats(stats);
      return RenderStatus(aNow, m_coordinator, m_router, stats);
    }
    case Query::Kind::Route:
      return RenderRoute(aNow, m_coordinator, aQuery.m_service, aQuery.m_key);
    case Query::Kind::Tickets:
      return RenderTickets(m_coordinator);
  }
  return "{}";
}

void
DecisionLoop::TakeQueries(TimePoint aNow)
{
  while (const auto query = m_queries.Pop()) {
    (*query)->m_answer.set_value(AnswerQuery(aNow, **query));
  }
}

void
DecisionLoop::Perform(TimePoint /*aNow*/, const AppendAction& aAction)
{
  m_pendingAppends.push_back(aAction.m_bytes);
}

void
DecisionLoop::Perform(TimePoint /*aNow*/, const HeartbeatAction& aAction)
{
  const bool sent = m_outputs->m_peers.Push(
    SendMessage{ aAction.m_address, EncodeMessage(aAction.m_message) });
  if (!sent) {
    m_metrics.Add("sapphirehook_ring_refusals_total");
  }
}

void
DecisionLoop::Perform(TimePoint /*aNow*/, const FetchAction& aAction)
{
  const bool sent = m_outputs->m_peers.Push(
    SendMessage{ aAction.m_address, EncodeMessage(aAction.m_message) });
  if (!sent) {
    m_metrics.Add("sapphirehook_ring_refusals_total");
  }
}

void
DecisionLoop::Perform(TimePoint aNow, const LeaseCallAction& aAction)
{
  if (!m_outputs->m_endpoints.Push(aAction)) {
    m_metrics.Add("sapphirehook_ring_refusals_total");
    m_coordinator.OnLeaseFailure(aNow, aAction.m_endpoint, aAction.m_call);
  }
}

void
DecisionLoop::Perform(TimePoint /*aNow*/, const EventAction& aAction)
{
  TimelineEvent event;
  event.m_kind = aAction.m_kind;
  event.m_group = aAction.m_group;
  event.m_endpoint = aAction.m_endpoint;
  event.m_detail = aAction.m_detail;
  event.m_offset = m_coordinator.State().m_nextOffset;
  m_timeline.Add(std::move(event));
  m_metrics.Add("sapphirehook_events_total");
}

void
DecisionLoop::ExecuteRouter(TimePoint aNow)
{
  for (auto& action : m_router.TakeActions()) {
    if (auto* send = std::get_if<SendRequest>(&action)) {
      if (!m_outputs->m_endpoints.Push(*send)) {
        m_metrics.Add("sapphirehook_ring_refusals_total");
        m_router.OnSendEnded(
          aNow,
          { send->m_exchange, send->m_endpoint, ErrorKind::Overloaded, {} });
      }
    } else if (auto* forward = std::get_if<ForwardRequest>(&action)) {
      if (!m_outputs->m_peers.Push(*forward)) {
        m_metrics.Add("sapphirehook_ring_refusals_total");
        m_router.OnForwardEnded(aNow,
                                { forward->m_exchange, ErrorKind::Overloaded });
      }
    }
  }
}

void
DecisionLoop::Execute(TimePoint aNow)
{
  for (const auto& action : m_coordinator.TakeActions()) {
    std::visit([&](const auto& aAction) { Perform(aNow, aAction); }, action);
  }
  while (!m_pendingAppends.empty() &&
         m_outputs->m_appends.Push(m_pendingAppends.front())) {
    m_pendingAppends.pop_front();
  }
  ExecuteRouter(aNow);
}

void
DecisionLoop::Run()
{
  while (!m_worker.IsStopping()) {
    m_waker.Clear();
    const auto now = BootClock::now();
    if (m_stopRequested.load() && !m_stopping) {
      m_stopping = true;
      m_coordinator.BeginStop();
      RecordEvent("drain", "planned stop");
    }
    TakeLog(now);
    TakePeers(now);
    TakeEndpoints(now);
    TakeCallers(now);
    TakeQueries(now);
    if (now >= m_nextTick) {
      m_nextTick = now + kTickInterval;
      m_coordinator.OnTick(now);
      // Refreshes the authority cells before the thread sends any action.
      m_router.OnTick(now);
    }
    Execute(now);
    m_healthy = !m_coordinator.IsStale(now) && !m_stopping;
    m_drained = m_coordinator.IsDrained();
    m_activeCount = m_router.Active();
    pollfd descriptor{ m_waker.Descriptor(), POLLIN, 0 };
    poll(&descriptor, 1, static_cast<int>(kTickInterval.count()));
  }
}

} // namespace sapphirehook
