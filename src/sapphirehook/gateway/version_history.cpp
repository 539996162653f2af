#include "sapphirehook/gateway/version_history.hpp"

#include "sapphirehook/core/metric_text.hpp"

namespace sapphirehook {

namespace {

/** Number of versions to keep, about the length of a series of changes. */
constexpr std::size_t kMaxVersions = 12;

} // namespace

void
VersionHistory::Add(TimePoint aNow, std::uint64_t aVersion)
{
  if (m_versions.size() == kMaxVersions) {
    m_versions.pop_front();
  }
  m_versions.push_back({ aVersion, aNow });
}

void
VersionHistory::AppendSamples(std::string& aText, TimePoint aNow) const
{
  constexpr std::string_view kName = "sapphirehook_config_in_force_for_seconds";
  AppendMetricType(aText, kName, "gauge");
  for (const auto& one : m_versions) {
    const std::chrono::duration<double> span = aNow - one.m_since;
    aText +=
      Concat(kName, "{version=\"", one.m_version, "\"} ", span.count(), "\n");
  }
}

} // namespace sapphirehook
