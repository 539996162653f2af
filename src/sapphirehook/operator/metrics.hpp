#ifndef SAPPHIREHOOK_OPERATOR_METRICS_HPP
#define SAPPHIREHOOK_OPERATOR_METRICS_HPP

#include "sapphirehook/core/error.hpp"
#include "sapphirehook/core/time.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sapphirehook {

/** Counts and distributions of one daemon. Callable from any thread. */
class Metrics
{
public:
  Metrics();

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
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  struct Distribution
  {
    Histogram m_histogram;
    double m_sum = 0;
  };

  static Distribution MakeDistribution();
  static void Observe(Distribution& aInto, std::chrono::nanoseconds aSpan);
  static void RenderOne(std::string& aText,
                        const std::string& aName,
                        const Distribution& aFrom);
  [[nodiscard]] double Imbalance() const;

  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_counters;
  std::array<std::uint64_t, kErrorKindCount> m_errors{};
  std::map<std::string, std::uint64_t> m_served;
  Distribution m_requests;
  Distribution m_shortWaits;
  Distribution m_unavailable;
};

} // namespace sapphirehook

#endif
