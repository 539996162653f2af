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

/** Everything that a daemon's settings file states. */
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
  /** Wait between failing the health check and closing the callers' port. */
  Millis m_leaveBalancer{ 1000 };
  /** Longest time that a planned stop may take. */
  Millis m_stopLimit{ 60'000 };
  CallerPortLimits m_limits;
  /** Requests that a daemon holds at once. */
  unsigned m_requests = 20'000;
  bool m_jsonLogs = true;
};

/** What one setting may be, for the parser, the operators' page and tests. */
struct SettingRule
{
  std::string_view m_path;
  /** "text", "address", "url", "texts", "choice" or "integer". */
  std::string_view m_type;
  /** Empty for a setting that must be given. */
  std::string_view m_default;
  long long m_lowest = 0;
  long long m_highest = 0;
  std::string_view m_meaning;
};

/** Returns the rules of all settings. */
[[nodiscard]] std::span<const SettingRule>
SettingRules() noexcept;

/** Parses settings. Returns InvalidArgument that names every fault with its
    path, line and allowed values when the text is not valid. */
[[nodiscard]] absl::StatusOr<Settings>
ParseSettings(const std::string& aText);

/** Returns the settings table of the operators' page. */
[[nodiscard]] std::string
RenderSettingsPage();

} // namespace sapphirehook

#endif
