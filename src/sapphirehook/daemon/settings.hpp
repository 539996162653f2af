#ifndef SAPPHIREHOOK_DAEMON_SETTINGS_HPP
#define SAPPHIREHOOK_DAEMON_SETTINGS_HPP

#include "sapphirehook/caller/server.hpp"
#include "sapphirehook/ownership/node_config.hpp"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** The contents of a daemon's settings file. */
struct Settings
{
  std::string m_host;
  std::string m_region;
  std::string m_zone;
  std::string m_callers;
  std::string m_peers;
  std::string m_operators;
  std::string m_log;
  std::vector<std::string> m_seeds;
  TimingConfig m_timing;
  /** Time limit of a lease call to an endpoint. */
  Millis m_callTimeout{ 120 };
  /** Delay between failing the health check and closing the callers' port. */
  Millis m_leaveBalancerDelay{ 1000 };
  /** Maximum duration of a planned stop. */
  Millis m_stopLimit{ 60'000 };
  CallerPortLimits m_limits;
  /** Maximum number of unfinished requests. */
  unsigned m_requests = 20'000;
  bool m_jsonLogs = true;
};

/** The path, type, default and range of one setting, for the parser, the
    operators' page and tests. */
struct SettingRule
{
  std::string_view m_path;
  /** "text", "address", "url", "texts", "choice" or "integer". */
  std::string_view m_type;
  /** Empty for a required setting. */
  std::string_view m_default;
  long long m_min = 0;
  long long m_max = 0;
  std::string_view m_description;
};

/** Returns the rules of all settings. */
[[nodiscard]] std::span<const SettingRule>
SettingRules() noexcept;

/** Parses settings. If the text is not valid, returns InvalidArgument with a
    message that lists every invalid setting with its path, line and allowed
    values. */
[[nodiscard]] absl::StatusOr<Settings>
ParseSettings(const std::string& aText);

/** Returns the Markdown table of settings for the operators' page. */
[[nodiscard]] std::string
RenderSettingsPage();

} // namespace sapphirehook

#endif
