#include "sapphirehook/operator/metrics.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

constexpr unsigned kBuckets = 35;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;

} // namespace

Metrics::Distribution
Metrics::MakeDistribution()
{
  return { boost::histogram::make_histogram(
             Axis(kBuckets, kLowestSeconds, kHighestSeconds)),
           0 };
}

Metrics::Metrics()
  : m_requests(MakeDistribution())
  , m_shortWaits(MakeDistribution())
  , m_unavailable(MakeDistribution())
{
}

void
Metrics::Add(const std::string& aName, std::uint64_t aCount)
{
  const std::lock_guard lock(m_mutex);
  m_counters[aName] += aCount;
}

void
Metrics::CountError(ErrorKind aKind)
{
  const std::lock_guard lock(m_mutex);
  ++m_errors.at(static_cast<std::size_t>(aKind));
}

void
Metrics::Observe(Distribution& aInto, std::chrono::nanoseconds aSpan)
{
  const double seconds = std::chrono::duration<double>(aSpan).count();
  aInto.m_histogram(seconds);
  aInto.m_sum += seconds;
}

void
Metrics::ObserveRequest(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  Observe(m_requests, aSpan);
}

void
Metrics::ObserveShortWait(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  Observe(m_shortWaits, aSpan);
}

void
Metrics::ObserveUnavailable(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  Observe(m_unavailable, aSpan);
}

void
Metrics::CountServed(const std::string& aEndpoint)
{
  const std::lock_guard lock(m_mutex);
  ++m_served[aEndpoint];
}

double
Metrics::Imbalance() const
{
  std::uint64_t highest = 0;
  std::uint64_t sum = 0;
  for (const auto& [endpoint, count] : m_served) {
    highest = std::max(highest, count);
    sum += count;
  }
  if (sum == 0) {
    return 1;
  }
  const double mean =
    static_cast<double>(sum) / static_cast<double>(m_served.size());
  return static_cast<double>(highest) / mean;
}

void
Metrics::RenderOne(std::string& aText,
                   const std::string& aName,
                   const Distribution& aFrom)
{
  aText += Concat("# TYPE ", aName, " histogram\n");
  double total = aFrom.m_histogram.at(-1);
  for (const auto& bin : boost::histogram::indexed(aFrom.m_histogram)) {
    total += *bin;
    aText += Concat(aName,
                    "_bucket{le=\"",
                    bin.bin().upper(),
                    "\"} ",
                    static_cast<std::uint64_t>(total),
                    "\n");
  }
  total += aFrom.m_histogram.at(static_cast<int>(kBuckets));
  const auto count = static_cast<std::uint64_t>(total);
  aText += Concat(aName, "_bucket{le=\"+Inf\"} ", count, "\n");
  aText += Concat(aName, "_sum ", aFrom.m_sum, "\n");
  aText += Concat(aName, "_count ", count, "\n");
}

std::string
Metrics::Render() const
{
  const std::lock_guard lock(m_mutex);
  std::string text;
  for (const auto& [name, count] : m_counters) {
    text += Concat("# TYPE ", name, " counter\n", name, " ", count, "\n");
  }
  text += "# TYPE sapphirehook_errors_total counter\n";
  for (const auto& answer : kErrorAnswers) {
    text += Concat("sapphirehook_errors_total{kind=\"",
                   answer.m_name,
                   "\"} ",
                   m_errors.at(static_cast<std::size_t>(answer.m_kind)),
                   "\n");
  }
  text += "# TYPE sapphirehook_served_total counter\n";
  for (const auto& [endpoint, count] : m_served) {
    text += Concat(
      "sapphirehook_served_total{endpoint=\"", endpoint, "\"} ", count, "\n");
  }
  text += Concat("# TYPE sapphirehook_load_imbalance_ratio gauge\n",
                 "sapphirehook_load_imbalance_ratio ",
                 Imbalance(),
                 "\n");
  RenderOne(text, "sapphirehook_request_seconds", m_requests);
  RenderOne(text, "sapphirehook_short_wait_seconds", m_shortWaits);
  RenderOne(text, "sapphirehook_unavailable_seconds", m_unavailable);
  return text;
}

} // namespace sapphirehook
