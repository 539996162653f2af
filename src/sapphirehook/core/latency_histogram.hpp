#ifndef SAPPHIREHOOK_CORE_LATENCY_HISTOGRAM_HPP
#define SAPPHIREHOOK_CORE_LATENCY_HISTOGRAM_HPP

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace sapphirehook {

/** Histogram of durations from 0.1 ms to 1,000 s, with five buckets per decade.
    Not thread-safe. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Observe(std::chrono::nanoseconds aDuration);

  /** Appends the Prometheus samples of this histogram under a metric name.
      `aLabels` is empty, or a list of labels without braces. The `# TYPE` line
      is not included. */
  void AppendSamples(std::string& aText,
                     std::string_view aName,
                     std::string_view aLabels = {}) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(Axis())) m_buckets;
  double m_seconds = 0;
};

/** Appends a histogram without labels, and its `# TYPE` line, to a Prometheus
    text. */
void
AppendHistogram(std::string& aText,
                std::string_view aName,
                const LatencyHistogram& aFrom);

} // namespace sapphirehook

#endif
