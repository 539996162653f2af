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

/** Counters and latency histograms of one daemon. Thread-safe. */
class Metrics
{
public:
  /** Adds aCount to a named counter. Creates the counter if needed. */
  void Add(const std::string& aName, std::uint64_t aCount = 1);

  /** Counts an error answer that the daemon itself generated. */
  void CountError(ErrorKind aKind);

  /** Records the time from a request's arrival to its end. */
  void ObserveRequest(std::chrono::nanoseconds aSpan);

  /** Records the time that a short request waited for a slot. */
  void ObserveShortWait(std::chrono::nanoseconds aSpan);

  /** Records the time that a request waited because its key had no usable
      owner. */
  void ObserveUnavailable(std::chrono::nanoseconds aSpan);

  /** Counts a request that an endpoint answered. */
  void CountServed(const std::string& aEndpoint);

  /** Returns all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Render() const;

private:
  /** Returns the highest request count of an endpoint divided by the mean. */
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
