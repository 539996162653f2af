#include "sapphirehook/core/latency_histogram.hpp"

#include "sapphirehook/core/metric_text.hpp"
#include "sapphirehook/core/text.hpp"

#include <boost/histogram/indexed.hpp>
#include <cstdint>

namespace sapphirehook {

namespace {

// The lowest bound is below one network round trip, the highest above the
// longest timeout of a request.
constexpr unsigned kBuckets = 35;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;

/** Returns the labels of a sample, with an extra one, in braces. */
std::string
FormatLabels(std::string_view aLabels, std::string_view aExtraLabel)
{
  if (aLabels.empty() && aExtraLabel.empty()) {
    return {};
  }
  const std::string_view comma =
    aLabels.empty() || aExtraLabel.empty() ? "" : ",";
  return Concat("{", aLabels, comma, aExtraLabel, "}");
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_buckets(boost::histogram::make_histogram(
      Axis(kBuckets, kLowestSeconds, kHighestSeconds)))
{
}

void
LatencyHistogram::Observe(std::chrono::nanoseconds aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  m_buckets(seconds);
  m_seconds += seconds;
}

void
LatencyHistogram::AppendSamples(std::string& aText,
                                std::string_view aName,
                                std::string_view aLabels) const
{
  const auto bucket = [&](std::string_view aUpper, double aTotal) {
    aText += Concat(aName,
                    "_bucket",
                    FormatLabels(aLabels, Concat("le=\"", aUpper, "\"")),
                    " ",
                    static_cast<std::uint64_t>(aTotal),
                    "\n");
  };
  double total = m_buckets.at(-1);
  for (const auto& bin : boost::histogram::indexed(m_buckets)) {
    total += *bin;
    bucket(std::to_string(bin.bin().upper()), total);
  }
  total += m_buckets.at(static_cast<int>(kBuckets));
  bucket("+Inf", total);
  const auto labels = FormatLabels(aLabels, "");
  aText += Concat(aName, "_sum", labels, " ", m_seconds, "\n");
  aText += Concat(
    aName, "_count", labels, " ", static_cast<std::uint64_t>(total), "\n");
}

void
AppendHistogram(std::string& aText,
                std::string_view aName,
                const LatencyHistogram& aFrom)
{
  AppendMetricType(aText, aName, "histogram");
  aFrom.AppendSamples(aText, aName);
}

} // namespace sapphirehook
