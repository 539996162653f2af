#include "platform/protocol.hpp"
#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"
#include "soak/endpoint.hpp"
#include "soak/soak.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <set>

namespace {

using namespace sapphirehook;
using namespace sapphirehook::soak;

sockaddr_in
AddressOf(const cxxopts::ParseResult& aOptions, const char* aName)
{
  const auto address = ParseAddress(aOptions[aName].as<std::string>());
  if (!address.ok()) {
    throw std::invalid_argument(Concat("--", aName, " is not an address"));
  }
  return ToSocketAddress(*address);
}

int
RunStore(int aCount, char** aArguments)
{
  cxxopts::Options options("soak store", "Stand-in of the store.");
  options.add_options()("listen", "address", cxxopts::value<std::string>())(
    "seed", "seed of faults", cxxopts::value<unsigned>()->default_value("1"));
  const auto given = options.parse(aCount, aArguments);
  EventLoop loop;
  StandinStore store(loop, given["seed"].as<unsigned>());
  if (!store.Listen(AddressOf(given, "listen"))) {
    std::cerr << "cannot listen on the given address\n";
    return 1;
  }
  loop.Run();
  return 0;
}

int
RunEndpoint(int aCount, char** aArguments)
{
  cxxopts::Options options("soak endpoint", "Stand-in of an endpoint.");
  options.add_options()("name", "name", cxxopts::value<std::string>())(
    "service", "service", cxxopts::value<std::string>())(
    "zone", "zone", cxxopts::value<std::string>())(
    "listen", "address", cxxopts::value<std::string>())(
    "advertised", "address for daemons", cxxopts::value<std::string>())(
    "store", "address of the store", cxxopts::value<std::string>())(
    "journal", "history file", cxxopts::value<std::string>())(
    "seed", "seed of faults", cxxopts::value<unsigned>()->default_value("1"));
  const auto given = options.parse(aCount, aArguments);
  EndpointOptions endpoint;
  endpoint.m_name = given["name"].as<std::string>();
  endpoint.m_service = given["service"].as<std::string>();
  endpoint.m_zone = given["zone"].as<std::string>();
  endpoint.m_listen = AddressOf(given, "listen");
  endpoint.m_advertised = AddressOf(given, "advertised");
  endpoint.m_store = AddressOf(given, "store");
  endpoint.m_historyFile = given["journal"].as<std::string>();
  endpoint.m_seed = given["seed"].as<unsigned>();
  endpoint.m_keyed = endpoint.m_service == "keyed";
  // The clocks of endpoints run up to 2% slow.
  constexpr unsigned kMaxDriftPpm = 20'000;
  endpoint.m_driftPpm = endpoint.m_seed * 7919 % (kMaxDriftPpm + 1);
  EventLoop loop;
  const auto protocol = platform::Protocol();
  StandinEndpoint standin(loop, protocol, endpoint);
  if (!standin.Listen()) {
    std::cerr << "cannot listen on the given address\n";
    return 1;
  }
  loop.OnSignal(SIGTERM, [&] { standin.StartDraining(); });
  loop.Run();
  return 0;
}

int
RunSoak(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "soak",
    "Runs gateways on loopback, injects faults drawn from a "
    "seed, and checks the promises of the gateways.");
  options.add_options()(
    "seed", "seed of faults", cxxopts::value<unsigned>()->default_value("1"))(
    "seconds",
    "time in which faults are injected",
    cxxopts::value<unsigned>()->default_value("20"))(
    "gateways", "gateways", cxxopts::value<unsigned>()->default_value("4"))(
    "endpoints",
    "endpoints with keys; about half as many have none",
    cxxopts::value<unsigned>()->default_value("6"))(
    "rate",
    "requests per second",
    cxxopts::value<double>()->default_value("150"))(
    "only",
    "inject only faults of this kind",
    cxxopts::value<std::string>()->default_value(""))(
    "restores", "also restore the store from older copies")(
    "folder",
    "folder for settings, logs and histories",
    cxxopts::value<std::string>()->default_value("soak-run"))(
    "gateway",
    "path of the gateway program",
    cxxopts::value<std::string>()->default_value(""))("help",
                                                      "print this text");
  const auto given = options.parse(aCount, aArguments);
  if (given.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  SoakOptions soakOptions;
  auto& fleet = soakOptions.m_fleet;
  fleet.m_self = std::filesystem::read_symlink("/proc/self/exe");
  const auto defaultGateway =
    std::filesystem::path(fleet.m_self).parent_path() / "sapphirehook-gateway";
  const auto gateway = given["gateway"].as<std::string>();
  fleet.m_gateway = gateway.empty() ? defaultGateway.string() : gateway;
  fleet.m_seed = given["seed"].as<unsigned>();
  fleet.m_gateways = given["gateways"].as<unsigned>();
  fleet.m_keyedEndpoints = given["endpoints"].as<unsigned>();
  fleet.m_plainEndpoints = (fleet.m_keyedEndpoints + 1) / 2 + 1;
  fleet.m_folder =
    Concat(given["folder"].as<std::string>(), "/seed-", fleet.m_seed);
  std::filesystem::remove_all(fleet.m_folder);
  std::filesystem::create_directories(fleet.m_folder);
  constexpr Millis kSecond{ 1000 };
  soakOptions.m_faultPeriod = kSecond * given["seconds"].as<unsigned>();
  soakOptions.m_onlyKind = given["only"].as<std::string>();
  soakOptions.m_restoresStore = given.count("restores") > 0;
  soakOptions.m_requestRate = given["rate"].as<double>();
  const auto protocol = platform::Protocol();
  Soak soak(protocol, soakOptions);
  const auto violations = soak.Run();

  std::size_t answered = 0;
  for (const auto& request : soak.Observations().m_requests) {
    answered += request.m_status == 200 ? 1 : 0;
  }
  std::cout << "seed " << fleet.m_seed << ": "
            << soak.Observations().m_requests.size() << " requests, "
            << answered << " served; faults:";
  for (const auto& [name, count] : soak.Injected()) {
    std::cout << " " << name << " " << count;
  }
  std::cout << "\n";
  constexpr std::size_t kMaxShown = 20;
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxShown); ++i) {
    std::cout << "BROKEN " << violations[i].m_promise << ": "
              << violations[i].m_detail << "\n";
  }
  std::cout << "seed " << fleet.m_seed << ": " << violations.size()
            << " broken\n";
  if (violations.empty()) {
    std::filesystem::remove_all(fleet.m_folder);
  }
  return violations.empty() ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string first = aCount > 1 ? aArguments[1] : "";
  try {
    if (first == "store") {
      return RunStore(aCount - 1, aArguments + 1);
    }
    if (first == "endpoint") {
      return RunEndpoint(aCount - 1, aArguments + 1);
    }
    return RunSoak(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
