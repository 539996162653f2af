#ifndef SAPPHIREHOOK_GATEWAY_ENGINE_METRICS_HPP
#define SAPPHIREHOOK_GATEWAY_ENGINE_METRICS_HPP

#include "sapphirehook/core/latency_histogram.hpp"
#include "sapphirehook/routing/route_table.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace sapphirehook {

/** Counters and latency histograms of the request path since the start. */
struct EngineMetrics
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_unrouted = 0;
  /** Requests for routes that this version of the program cannot apply. */
  std::uint64_t m_unusableRoutes = 0;
  std::uint64_t m_retries = 0;
  /** Requests that waited, or were refused, only because the holder of their
      key was cold. */
  std::uint64_t m_coldHeldBack = 0;
  std::uint64_t m_callersGone = 0;
  /** Requests that were abandoned at an unresponsive endpoint and sent to
      another one, and those that stayed for lack of budget or of another
      endpoint. */
  std::uint64_t m_unresponsive = 0;
  std::uint64_t m_unresponsiveKept = 0;
  /** Requests that a stopping daemon answered at the end of its grace
      period. */
  std::uint64_t m_endedByStop = 0;
  /** Downloads that had to wait since the link was in use. */
  std::uint64_t m_linkFull = 0;
  /** Requests that were passed on while others in front of them on their
      connection were in progress. */
  std::uint64_t m_pipelined = 0;
  /** Time from a request's arrival to its end, by kind of request. */
  std::array<LatencyHistogram, kRequestKinds> m_requestTimes;
  /** Time from a request's arrival to its first send. */
  LatencyHistogram m_waitTimes;
  /** Time from a send to the endpoint's answer. */
  LatencyHistogram m_attemptTimes;
  /** Time for which the complete answers of pipelined requests waited for those
      in front of them. */
  LatencyHistogram m_heldTimes;
};

/** Returns the name of a kind of request in logs and metrics. */
[[nodiscard]] std::string_view
KindName(RequestKind aKind) noexcept;

/** Appends all metrics to a text in the Prometheus format. */
void
AppendSamples(std::string& aText, const EngineMetrics& aMetrics);

} // namespace sapphirehook

#endif
