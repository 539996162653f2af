#ifndef SAPPHIREHOOK_CORE_LATENCY_HISTOGRAM_HPP
#define SAPPHIREHOOK_CORE_LATENCY_HISTOGRAM_HPP

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace sapphirehook {

/** A distribution of spans from 0.1 ms to 1,000 s, in five buckets a decade.
    Not safe for use from several threads at once. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Observe(std::chrono::nanoseconds aSpan);

  /** Adds the Prometheus samples of a histogram of this name to a text.
      `aLabels` is empty, or a list of labels without braces. The line with the
      type is the caller's. */
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

/** Adds a histogram without labels, and its type, to a Prometheus text. */
void
AppendHistogram(std::string& aText,
                std::string_view aName,
                const LatencyHistogram& aFrom);

} // namespace sapphirehook

#endif
