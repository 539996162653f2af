#include "sapphirehook/gateway/settings.hpp"

#include <chrono>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace sapphirehook {

namespace {

template<typename Type>
Type
Setting(const YAML::Node& aRoot, const char* aName)
{
  const auto node = aRoot[aName];
  if (!node.IsDefined() || node.IsNull()) {
    throw std::invalid_argument(std::string("setting \"") + aName +
                                "\" is missing");
  }
  try {
    return node.as<Type>();
  } catch (const YAML::Exception&) {
    throw std::invalid_argument(std::string("setting \"") + aName +
                                "\" has the wrong type");
  }
}

/** Returns an optional setting. A setting without a value counts as missing. */
template<typename Type>
Type
SettingOr(const YAML::Node& aRoot, const char* aName, Type aDefault)
{
  const auto node = aRoot[aName];
  return node.IsDefined() && !node.IsNull() ? Setting<Type>(aRoot, aName)
                                            : aDefault;
}

double
NotNegative(const YAML::Node& aRoot, const char* aName, double aDefault)
{
  const auto value = SettingOr<double>(aRoot, aName, aDefault);
  if (!(value >= 0.0)) {
    throw std::invalid_argument(std::string("setting \"") + aName +
                                "\" must not be below 0");
  }
  return value;
}

Address
AddressSetting(const YAML::Node& aRoot, const char* aName)
{
  const auto address = ParseAddress(Setting<std::string>(aRoot, aName));
  if (!address.ok()) {
    throw std::invalid_argument(std::string("setting \"") + aName +
                                "\" is no address with a port");
  }
  return *address;
}

Millis
Positive(const YAML::Node& aRoot, const char* aName, Millis aUnit)
{
  const auto value = Setting<double>(aRoot, aName);
  if (value <= 0.0) {
    throw std::invalid_argument(std::string("setting \"") + aName +
                                "\" must be above 0");
  }
  return Millis(
    static_cast<Millis::rep>(value * static_cast<double>(aUnit.count())));
}

GatewaySettings
Parse(const YAML::Node& aRoot)
{
  constexpr Millis kMilli{ 1 };
  constexpr Millis kSecond{ 1000 };
  GatewaySettings settings;
  settings.m_host = Setting<std::string>(aRoot, "host");
  settings.m_zone = Setting<std::string>(aRoot, "zone");
  settings.m_callers = AddressSetting(aRoot, "callers");
  settings.m_ready = AddressSetting(aRoot, "ready");
  settings.m_peers = AddressSetting(aRoot, "peers");
  settings.m_advertisedPeers = aRoot["peers_advertised"]
                                 ? AddressSetting(aRoot, "peers_advertised")
                                 : settings.m_peers;
  settings.m_metrics = AddressSetting(aRoot, "metrics");
  settings.m_store = AddressSetting(aRoot, "store");
  settings.m_processorShare = Setting<double>(aRoot, "processor_share");
  settings.m_linkMbps = Setting<double>(aRoot, "link_mbps");
  settings.m_retryBudget.m_ratio = Setting<double>(aRoot, "retry_budget_ratio");
  settings.m_retryBudget.m_slack = Setting<double>(aRoot, "retry_budget_slack");
  settings.m_retryBudget.m_window =
    Positive(aRoot, "retry_budget_window_s", kSecond);
  settings.m_firstStart =
    aRoot["first_start"] && Setting<bool>(aRoot, "first_start");
  settings.m_fleetHasRun = aRoot["first_start"] && !settings.m_firstStart;
  settings.m_endpointHeartbeat =
    Positive(aRoot, "endpoint_heartbeat_ms", kMilli);
  settings.m_addressReuse = std::chrono::duration_cast<Millis>(
    std::chrono::duration<double>(NotNegative(
      aRoot,
      "address_reuse_s",
      std::chrono::duration<double>(settings.m_addressReuse).count())));
  settings.m_maxLeaseDuration = Positive(aRoot, "max_hold_ms", kMilli);
  settings.m_stopGrace = Positive(aRoot, "stop_grace_s", kSecond);
  settings.m_drain = Positive(aRoot, "drain_ms", kMilli);
  settings.m_warmUpOverrun =
    NotNegative(aRoot, "warm_up_overrun", settings.m_warmUpOverrun);
  settings.m_warmUpSlack =
    NotNegative(aRoot, "warm_up_slack", settings.m_warmUpSlack);
  settings.m_evacuation = Millis(static_cast<Millis::rep>(
    NotNegative(aRoot,
                "evacuation_ms",
                static_cast<double>(settings.m_evacuation.count()))));
  settings.m_memoryMb = NotNegative(aRoot, "memory_mb", settings.m_memoryMb);
  return settings;
}

} // namespace

absl::StatusOr<GatewaySettings>
ParseGatewaySettings(const std::string& aText)
{
  try {
    return Parse(YAML::Load(aText));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::vector<std::string>
ChangedForRestart(const GatewaySettings& aOld, const GatewaySettings& aNew)
{
  std::vector<std::string> changed;
  const auto compare = [&](const char* aName, auto aMember) {
    if (aOld.*aMember != aNew.*aMember) {
      changed.emplace_back(aName);
    }
  };
  compare("host", &GatewaySettings::m_host);
  compare("zone", &GatewaySettings::m_zone);
  compare("callers", &GatewaySettings::m_callers);
  compare("ready", &GatewaySettings::m_ready);
  compare("peers", &GatewaySettings::m_peers);
  compare("peers_advertised", &GatewaySettings::m_advertisedPeers);
  compare("metrics", &GatewaySettings::m_metrics);
  compare("store", &GatewaySettings::m_store);
  compare("processor_share", &GatewaySettings::m_processorShare);
  compare("link_mbps", &GatewaySettings::m_linkMbps);
  compare("endpoint_heartbeat_ms", &GatewaySettings::m_endpointHeartbeat);
  compare("address_reuse_s", &GatewaySettings::m_addressReuse);
  compare("max_hold_ms", &GatewaySettings::m_maxLeaseDuration);
  compare("drain_ms", &GatewaySettings::m_drain);
  compare("warm_up_overrun", &GatewaySettings::m_warmUpOverrun);
  compare("warm_up_slack", &GatewaySettings::m_warmUpSlack);
  compare("evacuation_ms", &GatewaySettings::m_evacuation);
  compare("memory_mb", &GatewaySettings::m_memoryMb);
  return changed;
}

} // namespace sapphirehook
