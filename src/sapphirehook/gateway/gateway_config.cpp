#include "sapphirehook/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

// The operators' configuration.

namespace sapphirehook {

namespace {

/** Largest number of log lines about the issues of one configuration. */
constexpr std::size_t kMaxLoggedIssues = 20;

} // namespace

void
Gateway::OnConfig(const KeyedRecord& aRecord)
{
  const auto& prefix = m_protocol.m_evacuationPrefix;
  if (!prefix.empty() && aRecord.m_key.starts_with(prefix)) {
    OnEvacuation(aRecord.m_key.substr(prefix.size()), aRecord);
    return;
  }
  if (aRecord.m_key != m_protocol.m_configKey || !aRecord.m_value) {
    return;
  }
  auto config = m_protocol.m_parseConfig(*aRecord.m_value);
  if (!config.ok()) {
    m_log.Write(LogLine("configuration-rejected")
                  .Add("offset", aRecord.m_offset)
                  .Add("why", std::string(config.status().message())),
                LogPriority::State);
    return;
  }
  if (config->m_version < m_configVersion) {
    return; // an older page was read again
  }
  if (config->m_version > m_configVersion || m_engine.Routes() == nullptr) {
    ReadConfig read{ *std::move(config),
                     aRecord.m_offset,
                     aRecord.m_value->size(),
                     m_recordSource };
    if (m_engine.Routes() != nullptr) {
      ApplyConfig(std::move(read));
    } else if (!m_heldConfig ||
               m_heldConfig->m_config.m_version <= read.m_config.m_version) {
      m_heldConfig = std::move(read);
      CheckHeldConfig(BootClock::now());
    }
  }
}

void
Gateway::ApplyConfig(ReadConfig aRead)
{
  auto& config = aRead.m_config;
  m_configVersion = config.m_version;
  m_versions.Add(BootClock::now(), m_configVersion);
  m_log.Write(LogLine("configuration-in-force")
                .Add("version", config.m_version)
                .Add("offset", aRead.m_offset)
                .Add("routes", config.m_routes.size())
                .Add("bytes", aRead.m_bytes)
                .Add("issues", config.m_issues.size())
                .Add("from", aRead.m_source),
              LogPriority::State);
  LogIssues(config);
  m_engine.SetRoutes(std::make_shared<const RouteTable>(std::move(config)));
  QueueEndpointsChanged(); // the services have limits for cold endpoints
  m_ownership.OnChange();
}

/** Logs the parts of a configuration that could not be applied as written. */
void
Gateway::LogIssues(const RoutingConfig& aConfig)
{
  const auto logged = std::min(aConfig.m_issues.size(), kMaxLoggedIssues);
  for (std::size_t i = 0; i < logged; ++i) {
    const auto& issue = aConfig.m_issues[i];
    m_log.Write(LogLine("configuration-part-unused")
                  .Add("version", aConfig.m_version)
                  .Add("resource", issue.m_resourceKind)
                  .Add("name", issue.m_name)
                  .Add("left_out", issue.m_isLeftOut ? 1 : 0)
                  .Add("why", issue.m_reason),
                LogPriority::State);
  }
}

} // namespace sapphirehook
