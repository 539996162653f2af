#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/core/metric_text.hpp"

// State of the store as this daemon sees it, and the daemon's metrics.

namespace sapphirehook {

void
Gateway::OnStoreFailure(std::string_view aTopic, StoreAnswer aAnswer)
{
  const TimePoint now = BootClock::now();
  m_liveness.OnStoreUnavailable(now);
  if (aAnswer == StoreAnswer::TurnedAway) {
    m_outages.OnRefused(now);
  } else {
    m_outages.OnTimeout(now);
  }
  if (m_storeWorks) {
    m_storeWorks = false;
    m_log.Write(LogLine("store-lost")
                  .Add("topic", aTopic)
                  .Add("answer", StoreAnswerName(aAnswer)),
                LogPriority::State);
  }
  m_ownership.SetStoreWorks(false);
}

void
Gateway::OnReadFailure(const std::string& aTopic, const ReadFailure& aFailure)
{
  OnStoreFailure(aTopic, aFailure.m_answer);
  WriteRateLimited(aTopic,
                   LogLine("read-failed")
                     .Add("topic", aTopic)
                     .Add("answer", StoreAnswerName(aFailure.m_answer))
                     .Add("took_ms", aFailure.m_took)
                     .Add("bytes", aFailure.m_bytes));
}

void
Gateway::OnStoreWorks(std::string_view aTopic)
{
  if (!m_storeWorks) {
    m_storeWorks = true;
    m_log.Write(LogLine("store-reached").Add("topic", aTopic),
                LogPriority::State);
  }
  m_storeConfirmedAt = BootClock::now();
  m_outages.OnServed(m_storeConfirmedAt);
  m_ownership.SetStoreWorks(true);
}

/** Returns the metrics as a Prometheus text. The state of the daemon comes
    first, so that a collector that truncates long texts still gets it. */
std::string
Gateway::Metrics() const
{
  const TimePoint now = BootClock::now();
  std::string text;
  AppendMetric(text, "sapphirehook_config_version", "gauge", m_configVersion);
  m_versions.AppendSamples(text, now);
  const auto* routes = m_engine.Routes();
  AppendMetric(text,
               "sapphirehook_config_issues",
               "gauge",
               routes != nullptr ? routes->Config().m_issues.size() : 0);
  AppendMetric(
    text, "sapphirehook_leads", "gauge", m_ownership.Leads() ? 1 : 0);
  AppendMetric(text, "sapphirehook_store_works", "gauge", m_storeWorks ? 1 : 0);
  AppendMetric(text, "sapphirehook_store_era", "gauge", m_storeEra);
  AppendMetric(text, "sapphirehook_config_held", "gauge", m_heldConfig ? 1 : 0);
  AppendMetric(text,
               "sapphirehook_follows_store",
               "gauge",
               m_configReader.IsPaused() ? 0 : 1);
  AppendMetric(text,
               "sapphirehook_held_answer_bytes",
               "gauge",
               m_engine.HeldAnswerBytes());
  AppendMetric(
    text, "sapphirehook_buffered_bytes", "gauge", m_engine.BufferedBytes());
  AppendMetric(
    text, "sapphirehook_cold_endpoints", "gauge", m_engine.ColdEndpoints(now));
  AppendMetric(text,
               "sapphirehook_evacuated_zones",
               "gauge",
               m_directory.Evacuations().size());
  std::size_t left = 0;
  for (const auto& [zone, since] : m_directory.Evacuations()) {
    left += m_engine.RangesInZone(zone);
  }
  AppendMetric(text, "sapphirehook_evacuated_ranges", "gauge", left);
  constexpr std::string_view kAge = "sapphirehook_topic_age_seconds";
  AppendMetricType(text, kAge, "gauge");
  for (const auto& [topic, topicState] : m_topicStates) {
    const std::chrono::duration<double> age =
      now - topicState.m_readSchedule.CompleteAt();
    text += Concat(kAge, "{topic=\"", topic, "\"} ", age.count(), "\n");
  }
  m_engine.Admission().AppendSamples(text, KindName);
  AppendSamples(text, m_engine.Metrics());
  return text;
}

} // namespace sapphirehook
