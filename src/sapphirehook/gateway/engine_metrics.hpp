#ifndef SAPPHIREHOOK_GATEWAY_ENGINE_METRICS_HPP
#define SAPPHIREHOOK_GATEWAY_ENGINE_METRICS_HPP

#include "sapphirehook/core/latency_histogram.hpp"
#include "sapphirehook/routing/route_table.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace sapphirehook {

/** Counts and spans of the request path since the start. */
struct EngineMetrics
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_unrouted = 0;
  std::uint64_t m_repeats = 0;
  std::uint64_t m_gone = 0;
  /** From a request's arrival to its end, by kind of request. */
  std::array<LatencyHistogram, kRequestKinds> m_requestTimes;
  /** From a request's arrival to its first send. */
  LatencyHistogram m_waitTimes;
  /** From a send to the endpoint's answer. */
  LatencyHistogram m_attemptTimes;
};

/** Returns a kind of request as it stands in logs and metrics. */
[[nodiscard]] std::string_view
KindName(RequestKind aKind) noexcept;

/** Adds the Prometheus samples of all to a text. */
void
AppendSamples(std::string& aText, const EngineMetrics& aMetrics);

} // namespace sapphirehook

#endif
