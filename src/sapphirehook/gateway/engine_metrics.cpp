#include "sapphirehook/gateway/engine_metrics.hpp"

#include "sapphirehook/core/metric_text.hpp"

namespace sapphirehook {

std::string_view
KindName(RequestKind aKind) noexcept
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::NeverRepeat:
      return "never-repeat";
    case RequestKind::Upload:
      return "upload";
    case RequestKind::Download:
      return "download";
  }
  return "unknown";
}

void
AppendSamples(std::string& aText, const EngineMetrics& aMetrics)
{
  const auto counter = [&](std::string_view aName, std::uint64_t aCount) {
    AppendMetric(aText, aName, "counter", aCount);
  };
  counter("sapphirehook_requests_total", aMetrics.m_requests);
  counter("sapphirehook_answered_total", aMetrics.m_answered);
  counter("sapphirehook_refused_total", aMetrics.m_refused);
  counter("sapphirehook_failed_total", aMetrics.m_failed);
  counter("sapphirehook_unrouted_total", aMetrics.m_unrouted);
  counter("sapphirehook_unusable_route_total", aMetrics.m_unusableRoutes);
  counter("sapphirehook_repeats_total", aMetrics.m_retries);
  counter("sapphirehook_cold_held_back_total", aMetrics.m_coldHeldBack);
  counter("sapphirehook_callers_gone_total", aMetrics.m_callersGone);
  counter("sapphirehook_unresponsive_total", aMetrics.m_unresponsive);
  counter("sapphirehook_unresponsive_kept_total", aMetrics.m_unresponsiveKept);
  counter("sapphirehook_ended_by_stop_total", aMetrics.m_endedByStop);
  counter("sapphirehook_link_full_total", aMetrics.m_linkFull);
  counter("sapphirehook_pipelined_total", aMetrics.m_pipelined);

  constexpr std::string_view kRequestTimes = "sapphirehook_request_seconds";
  AppendMetricType(aText, kRequestTimes, "histogram");
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
    const auto name = KindName(static_cast<RequestKind>(kind));
    aMetrics.m_requestTimes.at(kind).AppendSamples(
      aText, kRequestTimes, Concat("kind=\"", name, "\""));
  }
  AppendHistogram(aText, "sapphirehook_wait_seconds", aMetrics.m_waitTimes);
  AppendHistogram(
    aText, "sapphirehook_attempt_seconds", aMetrics.m_attemptTimes);
  AppendHistogram(
    aText, "sapphirehook_answer_held_seconds", aMetrics.m_heldTimes);
}

} // namespace sapphirehook
