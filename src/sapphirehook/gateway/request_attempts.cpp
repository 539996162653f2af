#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/gateway/internal/answers.hpp"

#include <algorithm>
#include <array>
#include <utility>

// What becomes of a request once it has been placed: sends, answers, repeats
// and refusals.

namespace sapphirehook {

using namespace internal;

namespace {

/** Largest body, in bytes, that is kept for another attempt. */
constexpr std::size_t kKeptBody = 524'288;
/** Idle connections that are kept to one endpoint. */
constexpr std::size_t kMaxIdle = 8;
/** After this part of its objective a request that still waits is refused. */
constexpr double kWaitPart = 0.5;
/** Wait before a key is tried again that its holder refused. */
constexpr Millis kMisdirectedPause{ 30 };
/** Bounds of the time after which a refused caller should come back: some slots
    are free again within a service; a longer wait than a second is as good as
    none to callers that wait for two. */
constexpr Millis kLeastRetryAfter{ 120 };
constexpr Millis kMostRetryAfter{ 1000 };

std::string_view
EndName(AttemptEnd aEnd)
{
  constexpr std::array<std::string_view, 7> kNames{ "answered", "failed",
                                                    "not-run",  "misdirected",
                                                    "not-sent", "lost",
                                                    "abandoned" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

/** Returns whether the Connection header names another header. */
bool
IsNamedByConnection(const std::string* aConnection, std::string_view aName)
{
  if (aConnection == nullptr) {
    return false;
  }
  std::string_view rest = *aConnection;
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    auto token = rest.substr(0, comma);
    while (!token.empty() && token.front() == ' ') {
      token.remove_prefix(1);
    }
    while (!token.empty() && token.back() == ' ') {
      token.remove_suffix(1);
    }
    if (EqualNoCase(token, aName)) {
      return true;
    }
    rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                       : comma + 1);
  }
  return false;
}

} // namespace

std::string
RequestEngine::SerializeRequest(TimePoint aNow,
                                const Transaction& aTransaction,
                                const Endpoint& aEndpoint) const
{
  const auto& head = aTransaction.m_head;
  std::string text = head.m_method + " " + head.m_target + " HTTP/1.1\r\n";
  const auto* connection = FindHeader(head.m_headers, "Connection");
  for (const auto& header : head.m_headers) {
    if (!IsHopHeader(header.m_name) &&
        !EqualNoCase(header.m_name, m_protocol.m_deadlineHeader) &&
        !EqualNoCase(header.m_name, m_protocol.m_expectHeader) &&
        !IsNamedByConnection(connection, header.m_name)) {
      AppendHeader(text, header.m_name, header.m_value);
    }
  }
  const auto left =
    std::chrono::duration_cast<Millis>(aTransaction.m_callerDeadline - aNow);
  AppendHeader(text,
               m_protocol.m_deadlineHeader,
               std::to_string(std::max<Millis::rep>(left.count(), 1)));
  AppendHeader(
    text, m_protocol.m_expectHeader, aEndpoint.m_record.m_life.m_name);
  if (head.m_bodySize) {
    AppendHeader(text, "Content-Length", std::to_string(*head.m_bodySize));
  } else if (head.m_hasBody) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  }
  text += "\r\n";
  return text;
}

void
RequestEngine::SendTo(TimePoint aNow,
                      const TransactionPtr& aTransaction,
                      Endpoint& aEndpoint)
{
  auto& transaction = *aTransaction;
  std::shared_ptr<UpstreamConnection> connection;
  while (!connection && !aEndpoint.m_idle.empty()) {
    auto idle = std::move(aEndpoint.m_idle.back());
    aEndpoint.m_idle.pop_back();
    if (idle->IsReusable(aNow)) {
      connection = std::move(idle);
    } else {
      m_loop.Retire(std::move(idle));
    }
  }
  if (!connection) {
    connection = std::make_shared<UpstreamConnection>(
      m_loop, m_protocol, aEndpoint.m_record.m_address);
  }
  transaction.m_turns = aEndpoint.m_load.OnSent(aNow);
  if (++transaction.m_sends == 1) {
    m_metrics.m_waitTimes.Observe(aNow - transaction.m_arrivedAt);
  }
  transaction.m_tried.insert(aEndpoint.m_record.m_life.m_name);
  transaction.m_sentAt = aNow;
  transaction.m_sentTo = aEndpoint.m_record.m_life.m_name;
  transaction.m_upstream = connection;
  UpstreamEvents events;
  events.m_onAnswer = [this, aTransaction](const ResponseHead& aHead,
                                           std::string_view aBody) {
    OnAnswer(aTransaction, aHead, aBody);
  };
  events.m_onBegin = [aTransaction](const ResponseHead& aHead) {
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_answering = true;
      aTransaction->m_sink->BeginAnswer(aHead);
    }
  };
  events.m_onPiece = [aTransaction](std::string_view aPiece) {
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_sink->AnswerPiece(aPiece);
    }
  };
  events.m_onEnd = [this, aTransaction] { OnAnswer(aTransaction, {}, {}); };
  events.m_onFault = [this, aTransaction](UpstreamFault aFault) {
    OnFault(aTransaction, aFault);
  };
  const bool hasBody = transaction.m_head.m_hasBody;
  connection->Send(transaction,
                   SerializeRequest(aNow, transaction, aEndpoint),
                   hasBody,
                   std::move(events));
  if (hasBody) {
    connection->SendBody(transaction.m_body,
                         !transaction.m_head.m_bodySize.has_value(),
                         transaction.m_bodyComplete);
  }
}

void
RequestEngine::OnRequestBody(const TransactionPtr& aTransaction,
                             std::string_view aPiece)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  if (transaction.m_upstream && transaction.m_head.m_hasBody) {
    transaction.m_upstream->SendBody(aPiece,
                                     !transaction.m_head.m_bodySize.has_value(),
                                     transaction.m_bodyComplete);
  }
  if (!transaction.m_bodyKept) {
    return;
  }
  if (transaction.m_body.size() + aPiece.size() <= kKeptBody) {
    transaction.m_body.append(aPiece);
    return;
  }
  if (!transaction.m_upstream) {
    Refuse(
      aTransaction, "body too large to wait for an endpoint", kLeastRetryAfter);
    return;
  }
  transaction.m_bodyKept = false;
  transaction.m_body = {};
}

void
RequestEngine::ReturnConnection(const TransactionPtr& aTransaction)
{
  auto connection = std::exchange(aTransaction->m_upstream, nullptr);
  if (!connection) {
    return;
  }
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found != m_endpoints.end() && found->second->m_idle.size() < kMaxIdle &&
      connection->IsReusable(BootClock::now())) {
    found->second->m_idle.push_back(std::move(connection));
  } else {
    m_loop.Retire(std::move(connection));
  }
}

void
RequestEngine::EndAttempt(TimePoint aNow,
                          const TransactionPtr& aTransaction,
                          AttemptEnd aEnd)
{
  ReturnConnection(aTransaction);
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found == m_endpoints.end()) {
    return;
  }
  const auto took = aNow - aTransaction->m_sentAt;
  found->second->m_load.OnEnd(aNow, aEnd, took, aTransaction->m_turns);
  if (aEnd == AttemptEnd::Answered) {
    m_metrics.m_attemptTimes.Observe(took);
    constexpr int kMeanOver = 50; // answers
    auto& typical = ServiceOf(aTransaction->m_service).m_typical;
    const std::chrono::nanoseconds service(
      static_cast<std::chrono::nanoseconds::rep>(
        static_cast<double>(took.count()) / aTransaction->m_turns));
    typical += (service - typical) / kMeanOver;
  }
}

void
RequestEngine::OnAnswer(const TransactionPtr& aTransaction,
                        const ResponseHead& aHead,
                        std::string_view aBody)
{
  if (aTransaction->m_done) {
    ReturnConnection(aTransaction);
    return;
  }
  const bool notRun =
    FindHeader(aHead.m_headers, m_protocol.m_notRunHeader) != nullptr;
  AttemptEnd end = AttemptEnd::Answered;
  if (aHead.m_status == kMisdirected) {
    end = AttemptEnd::Misdirected;
  } else if (notRun) {
    end = AttemptEnd::NotRun;
  } else if (aHead.m_status >= kServerError) {
    end = AttemptEnd::Failed;
  }
  EndAttempt(BootClock::now(), aTransaction, end);
  TakeNextStep(aTransaction, end, &aHead, aBody);
  Pump();
}

void
RequestEngine::OnFault(const TransactionPtr& aTransaction, UpstreamFault aFault)
{
  const bool sent =
    aFault != UpstreamFault::Refused && aFault != UpstreamFault::NotConnected;
  const auto end = sent ? AttemptEnd::Lost : AttemptEnd::NotSent;
  EndAttempt(BootClock::now(), aTransaction, end);
  if (aTransaction->m_done) {
    return;
  }
  TakeNextStep(aTransaction, end, nullptr, {});
  Pump();
}

void
RequestEngine::TakeNextStep(const TransactionPtr& aTransaction,
                            AttemptEnd aEnd,
                            const ResponseHead* aHead,
                            std::string_view aBody)
{
  auto& transaction = *aTransaction;
  const TimePoint now = BootClock::now();
  if (transaction.m_answering) {
    auto* sink = transaction.m_sink;
    Complete(aTransaction);
    if (aEnd == AttemptEnd::Answered) {
      sink->EndAnswer();
    } else {
      RecordEnd(transaction, "answer-cut", 0, LogRank::Event);
      sink->CutAnswer();
    }
    return;
  }
  if (aEnd == AttemptEnd::Answered) {
    Finish(aTransaction, *aHead, aBody, "answered");
    return;
  }
  if (aEnd == AttemptEnd::NotSent) {
    --transaction.m_sends;
  }
  transaction.m_mayHaveRun = transaction.m_mayHaveRun ||
                             aEnd == AttemptEnd::Lost ||
                             aEnd == AttemptEnd::Failed;
  if (aEnd == AttemptEnd::Misdirected && transaction.m_key) {
    ++transaction.m_misdirected;
    transaction.m_notBefore = now + kMisdirectedPause;
    transaction.m_tried.erase(transaction.m_sentTo);
    if (m_onMisdirected) {
      m_onMisdirected(transaction.m_service, *transaction.m_key);
    }
  }
  AttemptState state;
  state.m_kind = transaction.m_route->m_kind;
  state.m_sends = transaction.m_sends;
  // A refused key costs no attempt at another endpoint.
  state.m_maxSends = transaction.m_route->m_maxAttempts +
                     std::min(transaction.m_misdirected, 2U);
  state.m_hasBody = transaction.m_bodyKept;
  state.m_mayHaveRun = transaction.m_mayHaveRun;
  state.m_timeLeft = transaction.m_deadline - now;
  const auto step = AfterAttempt(state, aEnd);
  m_log.Write(LogLine("attempt-ended")
                .Add("id", transaction.m_attemptId)
                .Add("endpoint", transaction.m_sentTo)
                .Add("end", EndName(aEnd))
                .Add("status", aHead != nullptr ? aHead->m_status : 0)
                .Add("took_ms", now - transaction.m_sentAt)
                .Add("sends", transaction.m_sends)
                .Add("left_ms", state.m_timeLeft));
  auto& budget = ServiceOf(transaction.m_service).m_budget;
  const bool again =
    step == NextStep::SendAgain ||
    (step == NextStep::SendAgainOnBudget && budget.TryTake(now));
  if (again) {
    m_metrics.m_repeats += step == NextStep::SendAgainOnBudget ? 1 : 0;
    transaction.m_waitsFrom = now;
    Place(aTransaction);
  } else if (aEnd == AttemptEnd::Failed) {
    Finish(aTransaction, *aHead, aBody, "endpoint-failed");
  } else if (transaction.m_mayHaveRun) {
    Fail(aTransaction, kBadGateway, "endpoint lost during the request");
  } else {
    Refuse(aTransaction, EndName(aEnd), ExpectedWait(now, transaction));
  }
}

TimePoint
RequestEngine::WaitsUntil(const Transaction& aTransaction)
{
  const auto& route = *aTransaction.m_route;
  const auto most =
    std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
      kWaitPart * static_cast<double>(
                    std::chrono::nanoseconds(route.m_objective).count())));
  return std::min(aTransaction.m_waitsFrom + most, aTransaction.m_deadline);
}

void
RequestEngine::ArmTimer(const TransactionPtr& aTransaction)
{
  const TimePoint now = BootClock::now();
  TimePoint until = aTransaction->m_deadline;
  if (aTransaction->m_waiting) {
    until = WaitsUntil(*aTransaction);
    if (now < aTransaction->m_notBefore) {
      until = std::min(until, aTransaction->m_notBefore);
    }
  }
  aTransaction->m_timer->Start(
    std::max(until - now, std::chrono::nanoseconds(0)));
}

void
RequestEngine::OnTimer(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  const TimePoint now = BootClock::now();
  // The timer's clock may run a little ahead of the boot clock.
  constexpr Millis kEarly{ 2 };
  if (transaction.m_waiting) {
    if (now + kEarly >= WaitsUntil(transaction)) {
      Dequeue(aTransaction);
      if (transaction.m_mayHaveRun) {
        Fail(aTransaction, kGatewayTimeout, "no room for another attempt");
      } else {
        Refuse(aTransaction, "no room in time", ExpectedWait(now, transaction));
      }
      return;
    }
    transaction.m_notBefore = {};
    Dequeue(aTransaction);
    Place(aTransaction);
    return;
  }
  if (now + kEarly >= transaction.m_deadline) {
    if (transaction.m_upstream) {
      transaction.m_upstream->Abandon();
      EndAttempt(now, aTransaction, AttemptEnd::Abandoned);
    }
    if (transaction.m_answering) {
      auto* sink = transaction.m_sink;
      Complete(aTransaction);
      sink->CutAnswer();
    } else {
      Fail(aTransaction, kGatewayTimeout, "time ran out at the endpoint");
    }
    Pump();
    return;
  }
  ArmTimer(aTransaction);
}

void
RequestEngine::OnCallerGone(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  ++m_metrics.m_gone;
  RecordEnd(transaction, "caller-left", 0, LogRank::Routine);
  if (transaction.m_upstream) {
    transaction.m_upstream->Abandon();
    EndAttempt(BootClock::now(), aTransaction, AttemptEnd::Abandoned);
  }
  Complete(aTransaction);
  m_loop.Defer([this] { Pump(); });
}

void
RequestEngine::Complete(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  Dequeue(aTransaction);
  transaction.m_done = true;
  transaction.m_sink = nullptr;
  transaction.m_body = {};
  if (transaction.m_timer) {
    transaction.m_timer->Stop();
    m_loop.Retire(std::shared_ptr<Timer>(std::move(transaction.m_timer)));
  }
}

void
RequestEngine::Finish(const TransactionPtr& aTransaction,
                      const ResponseHead& aHead,
                      std::string_view aBody,
                      std::string_view aOutcome)
{
  auto* sink = aTransaction->m_sink;
  const bool well = aHead.m_status < kServerError;
  ++m_metrics.m_answered;
  RecordEnd(*aTransaction,
            aOutcome,
            aHead.m_status,
            well ? LogRank::Routine : LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    sink->Answer(aHead, aBody);
  }
}

void
RequestEngine::Refuse(const TransactionPtr& aTransaction,
                      std::string_view aReason,
                      std::chrono::nanoseconds aComeBackAfter)
{
  auto* sink = aTransaction->m_sink;
  ++m_metrics.m_refused;
  RecordEnd(*aTransaction, aReason, kUnavailable, LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    const auto after = std::chrono::duration_cast<Millis>(aComeBackAfter);
    AnswerDirectly(*sink,
                   kUnavailable,
                   aReason,
                   std::clamp(after, kLeastRetryAfter, kMostRetryAfter));
  }
}

void
RequestEngine::Fail(const TransactionPtr& aTransaction,
                    int aStatus,
                    std::string_view aReason)
{
  auto* sink = aTransaction->m_sink;
  ++m_metrics.m_failed;
  RecordEnd(*aTransaction, aReason, aStatus, LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    AnswerDirectly(*sink, aStatus, aReason, std::nullopt);
  }
}

} // namespace sapphirehook
