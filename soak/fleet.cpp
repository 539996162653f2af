#include "soak/fleet.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"
#include "support/loopback.hpp"

#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

namespace sapphirehook::soak {

namespace {

constexpr int kOk = 200;
constexpr Millis kControlTimeout{ 1000 };
constexpr Millis kReadyTimeout{ 250 };
/** A gateway leaves the rotation after this many failed readiness checks in a
    row. */
constexpr unsigned kMaxFailedChecks = 2;
/** Delay before a configuration that the store did not accept is sent again. */
constexpr Millis kPutRetryDelay{ 100 };

/** Changes a gateway's settings to those of a later start. */
void
SetNotFirstStart(const std::string& aFile)
{
  std::stringstream text;
  text << std::ifstream(aFile).rdbuf();
  auto settings = text.str();
  constexpr std::string_view kFirst = "first_start: true";
  if (const auto at = settings.find(kFirst); at != std::string::npos) {
    settings.replace(at, kFirst.size(), "first_start: false");
    std::ofstream(aFile) << settings;
  }
}

} // namespace

Fleet::Fleet(EventLoop& aLoop,
             const GatewayProtocol& aProtocol,
             FleetOptions aOptions)
  : m_datagrams(aLoop, aOptions.m_seed)
  , m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_storeAddress(support::FreeAddress())
  , m_configClient(aLoop, m_storeAddress)
  , m_delayed(aLoop)
{
}

void
Fleet::Start()
{
  m_store = std::make_unique<Process>(
    std::vector<std::string>{ m_options.m_self,
                              "store",
                              "--listen",
                              AddressText(m_storeAddress),
                              "--seed",
                              std::to_string(m_options.m_seed) },
    m_options.m_folder + "/store.log");
  for (std::size_t i = 0; i < m_options.m_keyedEndpoints; ++i) {
    AddEndpoint("keyed");
  }
  for (std::size_t i = 0; i < m_options.m_plainEndpoints; ++i) {
    AddEndpoint("plain");
  }
  m_gateways.reserve(m_options.m_gateways); // callbacks refer to the elements
  for (std::size_t i = 0; i < m_options.m_gateways; ++i) {
    GatewayInstance gateway;
    gateway.m_host = Concat("g", i);
    gateway.m_callers = support::FreeAddress();
    gateway.m_peers = support::FreeAddress();
    gateway.m_storeLink = std::make_unique<LoopbackProxy>(
      m_loop, support::FreeAddress(), m_storeAddress);
    static_cast<void>(gateway.m_storeLink->Listen());
    WriteSettings(gateway, m_datagrams.Add(gateway.m_peers));
    m_gateways.push_back(std::move(gateway));
    StartGateway(i);
  }
}

void
Fleet::WriteSettings(GatewayInstance& aGateway, const sockaddr_in& aAdvertised)
{
  const auto ready = support::FreeAddress();
  aGateway.m_ready = std::make_unique<HttpClient>(m_loop, ready);
  aGateway.m_settings =
    Concat(m_options.m_folder, "/", aGateway.m_host, ".yaml");
  std::ofstream(aGateway.m_settings)
    << "host: " << aGateway.m_host << "\nzone: z"
    << "\ncallers: " << AddressText(aGateway.m_callers)
    << "\nready: " << AddressText(ready)
    << "\npeers: " << AddressText(aGateway.m_peers)
    << "\npeers_advertised: " << AddressText(aAdvertised)
    << "\nmetrics: " << AddressText(support::FreeAddress())
    << "\nstore: " << AddressText(aGateway.m_storeLink->Address())
    << "\nprocessor_share: 0.2\nlink_mbps: 1000"
    << "\nretry_budget_ratio: 0.2\nretry_budget_slack: 56"
    << "\nretry_budget_window_s: 10\nendpoint_heartbeat_ms: 400\nmax_hold_ms: "
       "10000"
    << "\nstop_grace_s: 6\ndrain_ms: 2000\nfirst_start: true\n";
}

void
Fleet::StartGateway(std::size_t aIndex)
{
  auto& gateway = m_gateways[aIndex];
  gateway.m_stopping = false;
  gateway.m_frozen = false;
  gateway.m_failedChecks = kMaxFailedChecks;
  if (std::exchange(gateway.m_hasRun, true)) {
    SetNotFirstStart(gateway.m_settings);
  }
  gateway.m_process = std::make_unique<Process>(
    std::vector<std::string>{
      m_options.m_gateway, "--settings", gateway.m_settings },
    Concat(m_options.m_folder, "/", gateway.m_host, ".log"));
}

void
Fleet::AddEndpoint(const std::string& aService)
{
  EndpointInstance endpoint;
  endpoint.m_service = aService;
  endpoint.m_zone = m_endpoints.size() % 2 == 0 ? "z" : "y";
  endpoint.m_listen = support::FreeAddress();
  endpoint.m_advertised = support::FreeAddress();
  endpoint.m_link = std::make_unique<LoopbackProxy>(
    m_loop, endpoint.m_advertised, endpoint.m_listen);
  static_cast<void>(endpoint.m_link->Listen());
  endpoint.m_control = std::make_unique<HttpClient>(m_loop, endpoint.m_listen);
  m_endpoints.push_back(std::move(endpoint));
  StartEndpoint(m_endpoints.size() - 1, Concat("e", m_nextName++));
}

void
Fleet::StartEndpoint(std::size_t aIndex, const std::string& aName)
{
  auto& endpoint = m_endpoints[aIndex];
  endpoint.m_name = aName;
  endpoint.m_leaving = false;
  endpoint.m_historyFile =
    Concat(m_options.m_folder, "/", aName, ".", m_historyCount++, ".journal");
  endpoint.m_process = std::make_unique<Process>(
    std::vector<std::string>{
      m_options.m_self,
      "endpoint",
      "--name",
      aName,
      "--service",
      endpoint.m_service,
      "--zone",
      endpoint.m_zone,
      "--listen",
      AddressText(endpoint.m_listen),
      "--advertised",
      AddressText(endpoint.m_advertised),
      "--store",
      AddressText(m_storeAddress),
      "--journal",
      endpoint.m_historyFile,
      "--seed",
      std::to_string(m_options.m_seed + m_historyCount) },
    Concat(m_options.m_folder, "/", aName, ".log"));
}

void
Fleet::Replace(std::size_t aIndex)
{
  m_endpoints[aIndex].m_leaving = true;
  AddEndpoint(m_endpoints[aIndex].m_service);
}

void
Fleet::CollectHistory(EndpointInstance& aEndpoint, TimePoint aEndedAt)
{
  m_runs.push_back({ aEndpoint.m_name,
                     aEndpoint.m_service,
                     ReadHistory(aEndpoint.m_historyFile),
                     aEndedAt });
}

RoutingConfig
Fleet::Config(bool aHasProbe) const
{
  RoutingConfig config;
  config.m_version = m_configVersion;
  const auto add = [&](const char* aPrefix,
                       RequestKind aKind,
                       const char* aService,
                       unsigned aPriority) {
    Route route;
    route.m_name = aPrefix;
    route.m_host = "soak.example";
    route.m_prefix = aPrefix;
    route.m_kind = aKind;
    route.m_timeout = Millis(1000);
    route.m_objective = Millis(400);
    route.m_priority = aPriority;
    route.m_maxAttempts = 2;
    route.m_targets.push_back({ aService, 1 });
    config.m_routes.push_back(std::move(route));
  };
  add("/look/", RequestKind::Idempotent, "keyed", 2);
  add("/pay/", RequestKind::NeverRepeat, "plain", 1);
  add("/file/", RequestKind::Upload, "plain", 1);
  if (aHasProbe) {
    add("/probe/", RequestKind::Idempotent, "plain", 3);
  }
  config.m_services["keyed"].m_keyed = true;
  config.m_services["keyed"].m_healthPath = kHealthPath;
  config.m_services["plain"].m_keyed = false;
  return config;
}

void
Fleet::PutConfig(bool aHasProbe, std::function<void(TimePoint)> aOnAccepted)
{
  if (m_configClient.IsBusy()) {
    return; // the previous configuration is still in flight
  }
  constexpr std::uint64_t kStep = 3;
  m_configVersion += kStep;
  m_configClient.Call(PutCall(m_protocol.m_configTopic,
                              m_protocol.m_configKey,
                              platform::WriteConfig(Config(aHasProbe)),
                              {}),
                      kControlTimeout,
                      [this, aHasProbe, accepted = std::move(aOnAccepted)](
                        const CallResult& aResult) {
                        if (aResult.m_end == CallEnd::Answered &&
                            aResult.m_answer.m_head.m_status == kOk) {
                          accepted(BootClock::now());
                        } else {
                          m_delayed.After(kPutRetryDelay,
                                          [this, aHasProbe, accepted] {
                                            PutConfig(aHasProbe, accepted);
                                          });
                        }
                      });
}

void
Fleet::CallStore(const HttpCall& aCall)
{
  for (auto& client : m_storeClients) {
    if (!client->IsBusy()) {
      client->Call(aCall, kControlTimeout, [](const CallResult&) {});
      return;
    }
  }
  m_storeClients.push_back(
    std::make_unique<HttpClient>(m_loop, m_storeAddress));
  m_storeClients.back()->Call(aCall, kControlTimeout, [](const CallResult&) {});
}

void
Fleet::PollReadiness()
{
  for (auto& gateway : m_gateways) {
    if (gateway.m_ready->IsBusy()) {
      continue;
    }
    gateway.m_ready->Call({ "GET", m_protocol.m_readyPath, "", "" },
                          kReadyTimeout,
                          [&gateway](const CallResult& aResult) {
                            const bool ready =
                              aResult.m_end == CallEnd::Answered &&
                              aResult.m_answer.m_head.m_status == kOk;
                            gateway.m_failedChecks =
                              ready ? 0 : gateway.m_failedChecks + 1;
                          });
  }
}

std::vector<std::pair<std::size_t, sockaddr_in>>
Fleet::Rotation() const
{
  std::vector<std::pair<std::size_t, sockaddr_in>> rotation;
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    if (m_gateways[i].m_failedChecks < kMaxFailedChecks) {
      rotation.emplace_back(i, m_gateways[i].m_callers);
    }
  }
  return rotation;
}

void
Fleet::StopAll()
{
  for (auto& gateway : m_gateways) {
    gateway.m_process.reset();
  }
  for (auto& endpoint : m_endpoints) {
    if (endpoint.m_process) {
      endpoint.m_process.reset();
      CollectHistory(endpoint, BootClock::now());
    }
  }
  m_store.reset();
}

} // namespace sapphirehook::soak
