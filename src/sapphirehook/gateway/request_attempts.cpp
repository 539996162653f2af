#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/gateway/internal/answers.hpp"

#include <algorithm>
#include <array>
#include <utility>

// Handles the ends of attempts and of waits: answers, retries and refusals.

namespace sapphirehook {

using namespace internal;

namespace {

constexpr int kRedirect = 300;
/** Delay before the retry of a request whose key an endpoint refused. */
constexpr Millis kMisdirectedRetryDelay{ 30 };
constexpr const char* kStopReason = "stopping before the endpoint answered";
/** Remaining time that the Retry-After values of undivided services assume, so
    that they are below one second: a longer delay is useless to callers that
    wait for two seconds. */
constexpr Millis kAssumedCallerTime{ 3000 };

std::string_view
EndName(AttemptEnd aEnd)
{
  constexpr std::array<std::string_view, 8> kNames{
    "answered", "failed", "not-run",   "misdirected",
    "not-sent", "lost",   "abandoned", "unresponsive"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

} // namespace

void
RequestEngine::EndAttempt(TimePoint aNow,
                          const TransactionPtr& aTransaction,
                          AttemptEnd aEnd)
{
  ReturnConnection(aTransaction);
  const auto& route = *aTransaction->m_route;
  if (std::exchange(aTransaction->m_isDownloading, false)) {
    m_downloads.OnEnd();
    if (aEnd == AttemptEnd::Answered) {
      m_downloads.OnAnswer(route.m_name, aTransaction->m_answerBytes);
    }
  }
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found == m_endpoints.end()) {
    return;
  }
  const auto took = aNow - aTransaction->m_sentAt;
  found->second->m_load.OnEnd(aNow, aEnd, took, aTransaction->m_slowdown);
  if (aEnd == AttemptEnd::Answered) {
    m_metrics.m_attemptTimes.Observe(took);
    constexpr int kMeanSamples = 50; // answers
    auto& known = ServiceOf(aTransaction->m_service);
    const double work = aTransaction->m_work;
    const std::chrono::nanoseconds service(
      static_cast<std::chrono::nanoseconds::rep>(
        static_cast<double>(took.count()) * work /
        (aTransaction->m_slowdown - 1.0 + work)));
    known.m_meanServiceTime +=
      (service - known.m_meanServiceTime) / kMeanSamples;
    known.m_work.OnAnswer(KindOf(route), service);
    m_admission.OnAnswer(aTransaction->m_service, KindOf(route), took);
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
  if (end == AttemptEnd::Misdirected || end == AttemptEnd::NotRun) {
    aTransaction->m_refusedOn.push_back(aTransaction->m_upstream);
  }
  const TimePoint now = BootClock::now();
  const bool isSuccess = aHead.m_status >= kOk && aHead.m_status < kRedirect;
  if (end == AttemptEnd::Answered && isSuccess &&
      !aTransaction->m_attemptId.empty() && m_onEndpointAnswered) {
    m_onEndpointAnswered(aTransaction->m_sentTo,
                         aTransaction->m_upstream->Peer(),
                         aTransaction->m_sentAt);
  }
  if (end != AttemptEnd::Misdirected) {
    TakeReportedLoad(now, *aTransaction, aHead);
  }
  aTransaction->m_answerBytes += aBody.size();
  EndAttempt(now, aTransaction, end);
  TakeNextStep(aTransaction, end, &aHead, aBody);
  ProcessQueues();
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
  ProcessQueues();
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
      RecordEnd(transaction, "answer-cut", 0, LogPriority::Event);
      sink->AbortAnswer();
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
    transaction.m_notBefore = now + kMisdirectedRetryDelay;
    transaction.m_triedEndpoints.erase(transaction.m_sentTo);
    if (m_onMisdirected) {
      m_onMisdirected(transaction.m_service, *transaction.m_key);
    }
  }
  AttemptState state;
  state.m_kind = transaction.m_route->m_kind;
  state.m_sends = transaction.m_sends;
  // Up to two misdirected sends do not count against the route's limit.
  state.m_maxSends = transaction.m_route->m_maxAttempts +
                     std::min(transaction.m_misdirected, 2U);
  state.m_hasBody = transaction.m_bodyKept;
  state.m_mayHaveRun = transaction.m_mayHaveRun;
  state.m_timeLeft = AnswerDeadline(transaction) - now;
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
  const bool retries =
    step == NextStep::SendAgain ||
    (step == NextStep::SendAgainOnBudget && budget.TryTake(now));
  if (retries) {
    m_metrics.m_retries += step == NextStep::SendAgainOnBudget ? 1 : 0;
    transaction.m_waitStartedAt = now;
    SendOrEnqueue(aTransaction);
  } else if (aEnd == AttemptEnd::Failed) {
    Finish(aTransaction, *aHead, aBody, "endpoint-failed");
  } else if (transaction.m_mayHaveRun) {
    Fail(aTransaction, kBadGateway, "endpoint lost during the request");
  } else {
    Refuse(aTransaction, EndName(aEnd), ExpectedWait(now, transaction));
  }
}

void
RequestEngine::ArmTimer(const TransactionPtr& aTransaction)
{
  const TimePoint now = BootClock::now();
  TimePoint until =
    std::min(AnswerDeadline(*aTransaction), aTransaction->m_checkAt);
  if (aTransaction->m_waiting) {
    const auto terms = TermsOf(*aTransaction);
    until = LatestStart(terms);
    if (now < ReviewTime(terms)) {
      until = std::min(until, ReviewTime(terms));
    }
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
  // The timer's clock may be slightly ahead of the boot clock.
  constexpr Millis kTimerTolerance{ 2 };
  if (transaction.m_waiting) {
    if (now + kTimerTolerance >= LatestStart(TermsOf(transaction))) {
      Dequeue(aTransaction);
      if (transaction.m_mayHaveRun) {
        Fail(aTransaction, kGatewayTimeout, "no room for another attempt");
      } else {
        const auto wait = ExpectedWait(now, transaction);
        Refuse(aTransaction, "no room in time", wait, wait);
      }
      return;
    }
    if (now + kTimerTolerance >= transaction.m_notBefore) {
      transaction.m_notBefore = {};
    }
    Dequeue(aTransaction);
    SendOrEnqueue(aTransaction);
    return;
  }
  if (now + kTimerTolerance >= AnswerDeadline(transaction)) {
    const bool isStopped = now + kTimerTolerance < transaction.m_deadline;
    m_metrics.m_endedByStop += isStopped ? 1 : 0;
    const bool reachedNone = transaction.m_upstream &&
                             !transaction.m_upstream->IsRequestSent() &&
                             !transaction.m_mayHaveRun;
    if (transaction.m_upstream) {
      transaction.m_upstream->Abandon();
      EndAttempt(now,
                 aTransaction,
                 reachedNone ? AttemptEnd::NotSent : AttemptEnd::Abandoned);
    }
    if (transaction.m_answering) {
      auto* sink = transaction.m_sink;
      Complete(aTransaction);
      sink->AbortAnswer();
    } else if (reachedNone) {
      Refuse(aTransaction, "no connection in time", Millis(0));
    } else {
      Fail(aTransaction,
           kGatewayTimeout,
           isStopped ? kStopReason : "time ran out at the endpoint");
    }
    ProcessQueues();
    return;
  }
  if (!LeaveIfUnresponsive(now + kTimerTolerance, aTransaction)) {
    ArmTimer(aTransaction);
  }
}

void
RequestEngine::OnCallerDisconnected(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  ++m_metrics.m_callersGone;
  RecordEnd(transaction, "caller-left", 0, LogPriority::Routine);
  if (transaction.m_upstream) {
    transaction.m_upstream->Abandon();
    EndAttempt(BootClock::now(), aTransaction, AttemptEnd::Abandoned);
  }
  Complete(aTransaction);
  m_loop.Defer([this] { ProcessQueues(); });
}

void
RequestEngine::Complete(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  Dequeue(aTransaction);
  m_open.erase(aTransaction);
  transaction.m_done = true;
  transaction.m_sink = nullptr;
  transaction.m_body = {};
  transaction.m_bodyBytes.Set(0);
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
  const bool succeeded = aHead.m_status < kServerError;
  ++m_metrics.m_answered;
  RecordEnd(*aTransaction,
            aOutcome,
            aHead.m_status,
            succeeded ? LogPriority::Routine : LogPriority::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    sink->Answer(aHead, aBody);
  }
}

void
RequestEngine::Refuse(const TransactionPtr& aTransaction,
                      std::string_view aReason,
                      std::chrono::nanoseconds aEarliest,
                      std::chrono::nanoseconds aSpread)
{
  auto* sink = aTransaction->m_sink;
  ++m_metrics.m_refused;
  const auto kind = KindOf(*aTransaction->m_route);
  m_admission.OnRefused(aTransaction->m_service, kind, aReason);
  RecordEnd(*aTransaction, aReason, kUnavailable, LogPriority::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    const bool isDivided = m_admission.IsDivided(aTransaction->m_service);
    const std::chrono::nanoseconds callerLeft =
      isDivided ? aTransaction->m_callerDeadline - BootClock::now()
                : kAssumedCallerTime;
    AnswerDirectly(*sink,
                   kUnavailable,
                   aReason,
                   RetryAfter(aTransaction->m_attemptId,
                              aEarliest,
                              isDivided ? aSpread : Millis(0),
                              callerLeft));
  }
}

void
RequestEngine::Fail(const TransactionPtr& aTransaction,
                    int aStatus,
                    std::string_view aReason)
{
  auto* sink = aTransaction->m_sink;
  ++m_metrics.m_failed;
  RecordEnd(*aTransaction, aReason, aStatus, LogPriority::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    AnswerDirectly(*sink, aStatus, aReason, std::nullopt);
  }
}

} // namespace sapphirehook
