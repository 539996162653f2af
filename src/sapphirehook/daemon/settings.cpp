#include "sapphirehook/daemon/settings.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <yaml-cpp/yaml.h>

namespace sapphirehook {

namespace {

constexpr long long kMinute = 60'000;
constexpr long long kHour = 3'600'000;

constexpr std::array<SettingRule, 30> kRules{ {
  { "host", "text", "", 0, 0, "name of this host in the platform's list" },
  { "region", "text", "", 0, 0, "region of this host" },
  { "zone", "text", "", 0, 0, "availability zone of this host" },
  { "listen.callers", "address", "", 0, 0, "callers' port" },
  { "listen.peers", "address", "", 0, 0, "port for other daemons" },
  { "listen.operators", "address", "", 0, 0, "operators' port" },
  { "log.url", "url", "", 0, 0, "address of the platform's log service" },
  { "seeds",
    "texts",
    "[]",
    0,
    0,
    "peers' ports to ask while the log cannot be read" },
  { "timing.heartbeat_ms",
    "integer",
    "150",
    10,
    kMinute,
    "time between heartbeats" },
  { "timing.authority_lease_ms",
    "integer",
    "750",
    50,
    kMinute,
    "length of a standby's promise" },
  { "timing.suspect_ms",
    "integer",
    "400",
    20,
    kMinute,
    "silence after which a daemon is given up" },
  { "timing.endpoint_lease_ms",
    "integer",
    "600",
    50,
    kMinute,
    "length of an endpoint's lease" },
  { "timing.renew_ms",
    "integer",
    "200",
    10,
    kMinute,
    "time between renewals of a lease" },
  { "timing.endpoint_suspect_ms",
    "integer",
    "350",
    20,
    kMinute,
    "silence after which an endpoint is given up" },
  { "timing.endpoint_up_ms",
    "integer",
    "300",
    0,
    kMinute,
    "how long an endpoint answers before it gets keys" },
  { "timing.call_timeout_ms",
    "integer",
    "120",
    5,
    kMinute,
    "time limit of a lease call" },
  { "timing.drift_ppm",
    "integer",
    "1000",
    0,
    100'000,
    "bound on the drift between two hosts' clocks" },
  { "timing.bootstrap_ms",
    "integer",
    "600",
    0,
    kMinute,
    "wait before a new group is claimed" },
  { "timing.claim_stagger_ms",
    "integer",
    "250",
    0,
    kMinute,
    "extra wait of each further daemon" },
  { "timing.guard_grace_ms",
    "integer",
    "3000",
    100,
    kHour,
    "wait before a group is claimed whose daemons are all gone" },
  { "timing.rebalance_ms",
    "integer",
    "5000",
    100,
    kHour,
    "how long a group rests before it moves to a better daemon" },
  { "timing.stale_ms",
    "integer",
    "10000",
    100,
    kHour,
    "without log and peers for this long, callers are refused" },
  { "timing.snapshot_ms",
    "integer",
    "60000",
    100,
    24 * kHour,
    "time between snapshots" },
  { "stop.leave_balancer_ms",
    "integer",
    "1000",
    0,
    kMinute,
    "wait between failing the health check and closing the port" },
  { "stop.limit_ms",
    "integer",
    "60000",
    100,
    24 * kHour,
    "longest time that a planned stop may take" },
  { "limits.connections",
    "integer",
    "4096",
    1,
    1'000'000,
    "callers' connections" },
  { "limits.connections_per_address",
    "integer",
    "2048",
    1,
    1'000'000,
    "callers' connections from one address" },
  { "limits.idle_s",
    "integer",
    "60",
    1,
    86'400,
    "silence after which a caller's connection is closed" },
  { "limits.requests",
    "integer",
    "20000",
    1,
    1'000'000,
    "requests held at once" },
  { "logging.format", "choice", "json", 0, 0, "json or text" },
} };

/** One value of the settings file and its line number. */
struct Value
{
  YAML::Node m_node;
  int m_line = 0;
};

/** Validates the values of a settings file against the rules and collects the
    errors. */
class Reader
{
public:
  explicit Reader(const YAML::Node& aRoot) { Collect(aRoot, ""); }

  void Check()
  {
    for (const auto& [path, value] : m_values) {
      if (Rule(path) == nullptr) {
        AddError(path, "is not a known setting");
      }
    }
    for (const auto& rule : kRules) {
      CheckSetting(rule);
    }
    CheckDurations();
  }

  [[nodiscard]] const std::vector<std::string>& Errors() const
  {
    return m_errors;
  }

  [[nodiscard]] std::string Text(std::string_view aPath) const
  {
    const auto found = m_values.find(std::string(aPath));
    if (found == m_values.end()) {
      return std::string(Rule(aPath)->m_default);
    }
    return found->second.m_node.Scalar();
  }

  [[nodiscard]] long long Integer(std::string_view aPath) const
  {
    return ParseInteger(Text(aPath)).value_or(0);
  }

  [[nodiscard]] Millis Duration(std::string_view aPath) const
  {
    return Millis(Integer(aPath));
  }

  [[nodiscard]] std::vector<std::string> Texts(std::string_view aPath) const
  {
    std::vector<std::string> texts;
    const auto found = m_values.find(std::string(aPath));
    if (found != m_values.end() && found->second.m_node.IsSequence()) {
      for (const auto& item : found->second.m_node) {
        texts.push_back(item.Scalar());
      }
    }
    return texts;
  }

private:
  static const SettingRule* Rule(std::string_view aPath)
  {
    const auto* found =
      std::find_if(kRules.begin(), kRules.end(), [&](const SettingRule& aRule) {
        return aRule.m_path == aPath;
      });
    return found == kRules.end() ? nullptr : found;
  }

  static std::optional<long long> ParseInteger(const std::string& aText)
  {
    long long number = 0;
    const auto* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, number);
    if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
      return std::nullopt;
    }
    return number;
  }

  void Collect(const YAML::Node& aNode, const std::string& aPath)
  {
    if (!aNode.IsMap()) {
      m_values[aPath] = { aNode, aNode.Mark().line + 1 };
      return;
    }
    for (const auto& entry : aNode) {
      const auto name = entry.first.Scalar();
      Collect(entry.second, aPath.empty() ? name : Concat(aPath, ".", name));
    }
  }

  void AddError(const std::string& aPath, const std::string& aProblem)
  {
    const auto found = m_values.find(aPath);
    const auto where = found == m_values.end()
                         ? std::string()
                         : Concat(" (line ", found->second.m_line, ")");
    m_errors.push_back(Concat(aPath, where, ": ", aProblem));
  }

  void CheckSetting(const SettingRule& aRule)
  {
    const std::string path(aRule.m_path);
    const auto found = m_values.find(path);
    if (found == m_values.end()) {
      if (aRule.m_default.empty()) {
        AddError(path,
                 Concat("is missing; expected the ", aRule.m_description));
      }
      return;
    }
    const auto& node = found->second.m_node;
    if (aRule.m_type == "texts") {
      CheckTexts(path, node);
    } else if (!node.IsScalar() || node.Scalar().empty()) {
      AddError(path, Concat("must be one value of type ", aRule.m_type));
    } else {
      CheckScalar(aRule, path, node.Scalar());
    }
  }

  void CheckTexts(const std::string& aPath, const YAML::Node& aNode)
  {
    if (!aNode.IsSequence()) {
      AddError(aPath, "must be a list of addresses");
      return;
    }
    for (const auto& item : aNode) {
      const bool valid = item.IsScalar() && ParseAddress(item.Scalar()).ok();
      if (!valid) {
        AddError(aPath,
                 "must contain IP addresses with ports such as 10.0.0.1:80");
      }
    }
  }

  void CheckScalar(const SettingRule& aRule,
                   const std::string& aPath,
                   const std::string& aText)
  {
    if (aRule.m_type == "integer") {
      const auto number = ParseInteger(aText);
      const bool inRange =
        number && *number >= aRule.m_min && *number <= aRule.m_max;
      if (!inRange) {
        AddError(
          aPath,
          Concat("must be an integer from ", aRule.m_min, " to ", aRule.m_max));
      }
    } else if (aRule.m_type == "address" && !ParseAddress(aText).ok()) {
      AddError(aPath, "must be an IP address with a port such as 10.0.0.1:80");
    } else if (aRule.m_type == "url" && !aText.starts_with("http://")) {
      AddError(aPath, "must start with http://");
    } else if (aRule.m_type == "choice" && aText != "json" && aText != "text") {
      AddError(aPath, "must be json or text");
    }
  }

  /** Checks the order of the durations that depend on each other. */
  void CheckDurations()
  {
    if (!m_errors.empty()) {
      return;
    }
    const auto requireBelow = [&](std::string_view aLower,
                                  std::string_view aUpper) {
      if (Integer(aLower) >= Integer(aUpper)) {
        AddError(std::string(aLower),
                 Concat("must be below ", aUpper, " (", Integer(aUpper), ")"));
      }
    };
    requireBelow("timing.heartbeat_ms", "timing.suspect_ms");
    requireBelow("timing.suspect_ms", "timing.authority_lease_ms");
    requireBelow("timing.renew_ms", "timing.endpoint_suspect_ms");
    requireBelow("timing.endpoint_suspect_ms", "timing.endpoint_lease_ms");
  }

  std::map<std::string, Value> m_values;
  std::vector<std::string> m_errors;
};

TimingConfig
ReadTiming(const Reader& aReader)
{
  TimingConfig timing;
  timing.m_heartbeatEvery = aReader.Duration("timing.heartbeat_ms");
  timing.m_authorityLease = aReader.Duration("timing.authority_lease_ms");
  timing.m_suspectAfter = aReader.Duration("timing.suspect_ms");
  timing.m_endpointLease = aReader.Duration("timing.endpoint_lease_ms");
  timing.m_renewEvery = aReader.Duration("timing.renew_ms");
  timing.m_endpointSuspectAfter =
    aReader.Duration("timing.endpoint_suspect_ms");
  timing.m_endpointUpAfter = aReader.Duration("timing.endpoint_up_ms");
  timing.m_driftPpm =
    static_cast<unsigned>(aReader.Integer("timing.drift_ppm"));
  timing.m_bootstrapDelay = aReader.Duration("timing.bootstrap_ms");
  timing.m_claimStagger = aReader.Duration("timing.claim_stagger_ms");
  timing.m_guardGrace = aReader.Duration("timing.guard_grace_ms");
  timing.m_rebalanceAfter = aReader.Duration("timing.rebalance_ms");
  timing.m_staleAfter = aReader.Duration("timing.stale_ms");
  timing.m_snapshotEvery = aReader.Duration("timing.snapshot_ms");
  return timing;
}

Settings
ReadSettings(const Reader& aReader)
{
  Settings settings;
  settings.m_host = aReader.Text("host");
  settings.m_region = aReader.Text("region");
  settings.m_zone = aReader.Text("zone");
  settings.m_callers = aReader.Text("listen.callers");
  settings.m_peers = aReader.Text("listen.peers");
  settings.m_operators = aReader.Text("listen.operators");
  settings.m_log = aReader.Text("log.url");
  settings.m_seeds = aReader.Texts("seeds");
  settings.m_timing = ReadTiming(aReader);
  settings.m_callTimeout = aReader.Duration("timing.call_timeout_ms");
  settings.m_leaveBalancerDelay = aReader.Duration("stop.leave_balancer_ms");
  settings.m_stopLimit = aReader.Duration("stop.limit_ms");
  settings.m_limits.m_connections =
    static_cast<unsigned>(aReader.Integer("limits.connections"));
  settings.m_limits.m_connectionsPerAddress =
    static_cast<unsigned>(aReader.Integer("limits.connections_per_address"));
  settings.m_limits.m_idle =
    std::chrono::seconds(aReader.Integer("limits.idle_s"));
  settings.m_requests =
    static_cast<unsigned>(aReader.Integer("limits.requests"));
  settings.m_jsonLogs = aReader.Text("logging.format") == "json";
  return settings;
}

} // namespace

std::span<const SettingRule>
SettingRules() noexcept
{
  return kRules;
}

absl::StatusOr<Settings>
ParseSettings(const std::string& aText)
{
  try {
    const auto root = YAML::Load(aText);
    if (!root.IsMap()) {
      return absl::InvalidArgumentError("the settings must be a YAML map");
    }
    Reader reader(root);
    reader.Check();
    if (!reader.Errors().empty()) {
      return absl::InvalidArgumentError(Join(reader.Errors(), "\n"));
    }
    return ReadSettings(reader);
  } catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(Concat("not valid YAML: ", error.what()));
  }
}

std::string
RenderSettingsPage()
{
  std::string page = "| setting | type | default | range | meaning |\n"
                     "|---|---|---|---|---|\n";
  for (const auto& rule : kRules) {
    const auto range = rule.m_type == "integer"
                         ? Concat(rule.m_min, " to ", rule.m_max)
                         : std::string("-");
    const auto defaultText =
      rule.m_default.empty() ? std::string_view("required") : rule.m_default;
    page += Concat("| `",
                   rule.m_path,
                   "` | ",
                   rule.m_type,
                   " | ",
                   defaultText,
                   " | ",
                   range,
                   " | ",
                   rule.m_description,
                   " |\n");
  }
  return page;
}

} // namespace sapphirehook
