#ifndef SAPPHIREHOOK_OPERATOR_METRICS_HPP
#define SAPPHIREHOOK_OPERATOR_METRICS_HPP

#include "sapphirehook/core/error.hpp"
#include "sapphirehook/core/latency_histogram.hpp"
#include "sapphirehook/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sapphirehook {

/** Counts and distributions of one daemon. Callable from any thread. */
class Metrics
{
public:
  /** Adds to the counter of a name. */
  void Add(const std::string& aName, std::uint64_t aCount = 1);

  /** Counts an answer that is not the endpoint's own. */
  void CountError(ErrorKind aKind);

  /** Records how long a request took from arrival to its end. */
  void ObserveRequest(std::chrono::nanoseconds aSpan);

  /** Records how long a short request waited for a slot. */
  void ObserveShortWait(std::chrono::nanoseconds aSpan);

  /** Records how long a request waited because its key had no usable owner. */
  void ObserveUnavailable(std::chrono::nanoseconds aSpan);

  /** Counts a request that an endpoint has answered. */
  void CountServed(const std::string& aEndpoint);

  /** Returns the Prometheus text of everything. */
  [[nodiscard]] std::string Render() const;

private:
  [[nodiscard]] double Imbalance() const;

  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_counters;
  std::array<std::uint64_t, kErrorKindCount> m_errors{};
  std::map<std::string, std::uint64_t> m_served;
  LatencyHistogram m_requests;
  LatencyHistogram m_shortWaits;
  LatencyHistogram m_unavailable;
};

} // namespace sapphirehook

#endif
