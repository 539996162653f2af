#include "sapphirehook/operator/metrics.hpp"

#include "sapphirehook/core/metric_text.hpp"

#include <algorithm>

namespace sapphirehook {

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
Metrics::ObserveRequest(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  m_requests.Observe(aSpan);
}

void
Metrics::ObserveShortWait(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  m_shortWaits.Observe(aSpan);
}

void
Metrics::ObserveUnavailable(std::chrono::nanoseconds aSpan)
{
  const std::lock_guard lock(m_mutex);
  m_unavailable.Observe(aSpan);
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

std::string
Metrics::Render() const
{
  const std::lock_guard lock(m_mutex);
  std::string text;
  for (const auto& [name, count] : m_counters) {
    AppendMetric(text, name, "counter", count);
  }
  AppendMetricType(text, "sapphirehook_errors_total", "counter");
  for (const auto& answer : kErrorAnswers) {
    text += Concat("sapphirehook_errors_total{kind=\"",
                   answer.m_name,
                   "\"} ",
                   m_errors.at(static_cast<std::size_t>(answer.m_kind)),
                   "\n");
  }
  AppendMetricType(text, "sapphirehook_served_total", "counter");
  for (const auto& [endpoint, count] : m_served) {
    text += Concat(
      "sapphirehook_served_total{endpoint=\"", endpoint, "\"} ", count, "\n");
  }
  AppendMetric(text, "sapphirehook_load_imbalance_ratio", "gauge", Imbalance());
  AppendHistogram(text, "sapphirehook_request_seconds", m_requests);
  AppendHistogram(text, "sapphirehook_short_wait_seconds", m_shortWaits);
  AppendHistogram(text, "sapphirehook_unavailable_seconds", m_unavailable);
  return text;
}

} // namespace sapphirehook
