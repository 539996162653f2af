#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/placement/endpoint_subset.hpp"
#include "sapphirehook/placement/response_watch.hpp"

#include <algorithm>
#include <utility>

// Watches attempts for endpoints that do not answer, takes the load that
// endpoints state in their answers, and chooses the subset of the endpoints
// that this daemon uses.

namespace sapphirehook {

namespace {

/** Interval at which an attempt is checked from the shortest limit on: evidence
    of an unresponsive endpoint, or another endpoint, may turn up later. */
constexpr Millis kCheckInterval{ 20 };

std::chrono::nanoseconds
Scaled(std::chrono::nanoseconds aSpan, double aFactor)
{
  return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
    static_cast<double>(aSpan.count()) * aFactor));
}

bool
IsSilent(const Transaction& aTransaction)
{
  return aTransaction.m_upstream && aTransaction.m_upstream->IsRequestSent() &&
         !aTransaction.m_upstream->HasAnswerBegun();
}

/** Returns whether an attempt can be given up for another one. Only complete
    requests are watched: an endpoint may wait for the rest of a body. */
bool
MayLeave(const Transaction& aTransaction)
{
  const bool isComplete =
    !aTransaction.m_head.m_hasBody || aTransaction.m_bodyComplete;
  return IsIdempotent(aTransaction.m_route->m_kind) && isComplete &&
         aTransaction.m_bodyKept &&
         aTransaction.m_sends < aTransaction.m_route->m_maxAttempts;
}

} // namespace

void
RequestEngine::BeginWatch(TimePoint aNow,
                          Transaction& aTransaction,
                          Endpoint& aEndpoint)
{
  auto& load = aEndpoint.m_load;
  const auto& service = ServiceOf(aTransaction.m_service);
  aTransaction.m_work = service.m_work.Relative(KindOf(*aTransaction.m_route));
  aTransaction.m_slowdown = load.OnSent(aNow, aTransaction.m_work);
  const auto mean =
    Scaled(load.ServiceTimeOr(service.m_meanServiceTime), load.Pace(aNow));
  aTransaction.m_expectedQueue = Scaled(mean, aTransaction.m_slowdown - 1.0);
  aTransaction.m_expectedService = Scaled(mean, aTransaction.m_work);
  // A key has only one endpoint, so its requests cannot be sent elsewhere.
  aTransaction.m_checkAt =
    MayLeave(aTransaction) && !aTransaction.m_key
      ? aNow + ShortestSilence(aTransaction.m_expectedQueue,
                               aTransaction.m_expectedService)
      : TimePoint::max();
  aTransaction.m_silenceLogged = false;
  aTransaction.m_answerBytes = 0;
  if (aTransaction.m_route->m_kind == RequestKind::Download) {
    aTransaction.m_isDownloading = true;
    m_downloads.OnBegin();
  }
}

TimePoint
RequestEngine::AnswerDeadline(const Transaction& aTransaction) const
{
  return aTransaction.m_answering
           ? aTransaction.m_deadline
           : std::min(aTransaction.m_deadline, m_finalAnswerAt);
}

std::size_t
RequestEngine::SilentRequests(TimePoint aNow,
                              const std::string& aEndpoint) const
{
  return static_cast<std::size_t>(
    std::count_if(m_open.begin(), m_open.end(), [&](const auto& aOpen) {
      return aOpen->m_sentTo == aEndpoint && IsSilent(*aOpen) &&
             aNow - aOpen->m_sentAt >=
               ShortestSilence(aOpen->m_expectedQueue,
                               aOpen->m_expectedService);
    }));
}

bool
RequestEngine::LeaveIfUnresponsive(TimePoint aNow,
                                   const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (aNow < transaction.m_checkAt) {
    return false;
  }
  transaction.m_checkAt = aNow + kCheckInterval;
  const auto found = m_endpoints.find(transaction.m_sentTo);
  if (!IsSilent(transaction) || found == m_endpoints.end()) {
    return false;
  }
  auto& service = ServiceOf(transaction.m_service);
  const auto& load = found->second->m_load;
  ResponseWatch watch;
  watch.m_expectedQueue = transaction.m_expectedQueue;
  watch.m_expectedService = transaction.m_expectedService;
  watch.m_typical = Scaled(service.m_meanServiceTime, transaction.m_work);
  watch.m_silentFor = aNow - transaction.m_sentAt;
  watch.m_timeLeft = AnswerDeadline(transaction) - aNow;
  watch.m_mayHaveBeenFull = load.MayHaveBeenFull(transaction.m_sentAt);
  watch.m_silentRequests = SilentRequests(aNow, transaction.m_sentTo);
  watch.m_stopping = m_stopping;
  if (!IsUnresponsive(watch)) {
    return false;
  }
  auto* other = Choose(aNow, transaction);
  if (other != nullptr && transaction.m_triedEndpoints.contains(
                            other->m_record.m_incarnation.m_name)) {
    other = nullptr;
  }
  const bool leaves = other != nullptr && service.m_budget.TryTake(aNow);
  if (leaves || !transaction.m_silenceLogged) {
    transaction.m_silenceLogged = true;
    ++(leaves ? m_metrics.m_unresponsive : m_metrics.m_unresponsiveKept);
    m_log.Write(LogLine("endpoint-unresponsive")
                  .Add("id", transaction.m_attemptId)
                  .Add("endpoint", transaction.m_sentTo)
                  .Add("step",
                       leaves             ? "sent-again"
                       : other == nullptr ? "no-other-endpoint"
                                          : "no-budget")
                  .Add("silent_ms", watch.m_silentFor)
                  .Add("limit_ms", SilenceLimit(watch))
                  .Add("expected_queue_ms", watch.m_expectedQueue)
                  .Add("expected_service_ms", watch.m_expectedService)
                  .Add("running", load.Running(aNow))
                  .Add("slots", load.Slots())
                  .Add("may_have_been_full", watch.m_mayHaveBeenFull ? 1 : 0)
                  .Add("silent_requests", watch.m_silentRequests)
                  .Add("stopping", m_stopping ? 1 : 0)
                  .Add("sends", transaction.m_sends)
                  .Add("left_ms", watch.m_timeLeft));
  }
  if (!leaves) {
    return false;
  }
  ++m_metrics.m_retries;
  transaction.m_upstream->Abandon();
  EndAttempt(aNow, aTransaction, AttemptEnd::Unresponsive);
  transaction.m_mayHaveRun = true;
  SendTo(aNow, aTransaction, *other);
  if (!transaction.m_done) {
    ArmTimer(aTransaction);
  }
  return true;
}

void
RequestEngine::TakeReportedLoad(TimePoint aNow,
                                const Transaction& aTransaction,
                                const ResponseHead& aHead)
{
  const auto* text = FindHeader(aHead.m_headers, m_protocol.m_loadHeader);
  const auto found = m_endpoints.find(aTransaction.m_sentTo);
  if (text == nullptr || found == m_endpoints.end()) {
    return;
  }
  const auto load = m_protocol.m_parseLoad(*text);
  if (load.ok()) {
    found->second->m_load.OnReported(
      aNow, load->m_running + load->m_waiting, load->m_pace);
  }
}

/** Half of a subset comes from the local zone if it has enough endpoints. */
void
RequestEngine::ChooseSubsets()
{
  const auto hashOf = [](const Endpoint& aEndpoint) {
    return std::uint64_t{ aEndpoint.m_hash };
  };
  const auto usable = [](std::vector<Endpoint*> aEndpoints) {
    std::erase_if(aEndpoints, [](const Endpoint* aEndpoint) {
      return !aEndpoint->m_usable;
    });
    return aEndpoints;
  };
  for (auto& [name, service] : m_services) {
    const auto local = usable(service.m_localZone);
    const auto other = usable(service.m_otherZones);
    const std::size_t size = SubsetSize(local.size() + other.size(), m_daemons);
    const std::size_t fromOther =
      std::min(other.size(), size - std::min(local.size(), (size + 1) / 2));
    service.m_otherSubset =
      RankedFirst(other, fromOther, m_settings.m_seed, hashOf);
    service.m_localSubset =
      RankedFirst(local, size - fromOther, m_settings.m_seed, hashOf);
  }
}

bool
RequestEngine::HasLinkCapacity(const Transaction& aTransaction) const
{
  const auto& route = *aTransaction.m_route;
  return route.m_kind != RequestKind::Download ||
         aTransaction.m_isDownloading ||
         m_downloads.HasCapacity(route.m_name, route.m_objective);
}

} // namespace sapphirehook
