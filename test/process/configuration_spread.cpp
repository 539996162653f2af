#include "platform/protocol.hpp"
#include "platform/standin_formats.hpp"
#include "sapphirehook/core/text.hpp"
#include "soak/fleet.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <random>

using namespace sapphirehook;

namespace {

/** The users' bound from the acknowledgement of a change to its being in force
    (config-apply-ms). */
constexpr Millis kInForceWithin{ 2000 };
constexpr Millis kStartUp{ 15'000 };
/** Routes of a large configuration; about 350 KB. */
constexpr unsigned kManyRoutes = 1500;

std::string
AddedPath(unsigned aVersion)
{
  return Concat("/added", aVersion, "/");
}

/** Returns a large configuration whose last route stands for its version. */
RoutingConfig
LargeConfig(unsigned aVersion)
{
  std::mt19937 random(7);
  RoutingConfig config;
  config.m_version = aVersion;
  const auto add = [&](const std::string& aName, const std::string& aPrefix) {
    Route route;
    route.m_name = aName;
    route.m_host = "127.0.0.1"; // as the client of small calls says
    route.m_prefix = aPrefix;
    route.m_kind = RequestKind::Idempotent;
    route.m_timeout = Millis(1000);
    route.m_objective = Millis(400);
    route.m_maxAttempts = 2;
    route.m_targets.push_back({ "plain", 1 });
    config.m_routes.push_back(std::move(route));
  };
  for (unsigned i = 0; i < kManyRoutes; ++i) {
    constexpr unsigned kNames = 1'000'000;
    add(Concat("r-", random() % kNames),
        Concat("/p", random() % kNames, "-", i, "/"));
  }
  add("added", AddedPath(aVersion));
  config.m_services["plain"].m_keyed = false;
  config.m_services["keyed"].m_keyed = true; // so that a daemon leads
  return config;
}

/** Gateways around a store, of which a test asks for the route that a version
    has added. */
class Bed
{
public:
  explicit Bed(std::size_t aGateways)
    : m_protocol(platform::Protocol())
    , m_folder(std::filesystem::temp_directory_path() /
               Concat("sapphirehook-spread-", getpid(), "-", aGateways))
    , m_fleet(m_loop, m_protocol, Options(aGateways))
  {
    m_fleet.Start();
    support::RunFor(m_loop, Millis(300));
    Put(1);
    for (std::size_t i = 0; i < aGateways; ++i) {
      REQUIRE(IsInForceWithin(i, 1, kStartUp));
    }
    // A large fleet finds its leader, which then passes records on.
    support::RunFor(m_loop, Millis(3000));
    Put(2);
    for (std::size_t i = 0; i < aGateways; ++i) {
      REQUIRE(IsInForceWithin(i, 2, kInForceWithin));
    }
  }

  ~Bed()
  {
    m_fleet.End();
    std::filesystem::remove_all(m_folder);
  }
  Bed(const Bed&) = delete;
  Bed& operator=(const Bed&) = delete;

  void Put(unsigned aVersion)
  {
    m_fleet.CallStore(
      soak::PutCall(m_protocol.m_configTopic,
                    m_protocol.m_configKey,
                    platform::WriteConfig(LargeConfig(aVersion)),
                    {}));
  }

  /** Whether a gateway finds the route of a version in time. */
  bool IsInForceWithin(std::size_t aGateway, unsigned aVersion, Millis aTime)
  {
    HttpClient client(m_loop, m_fleet.m_gateways[aGateway].m_callers);
    bool found = false;
    Timer ask(m_loop, [&] {
      if (client.IsBusy()) {
        return;
      }
      client.Call({ "GET", Concat(AddedPath(aVersion), "x"), "", "" },
                  Millis(500),
                  [&](const CallResult& aResult) {
                    // No endpoint serves it, so that it is refused.
                    found = aResult.m_end == CallEnd::Answered &&
                            aResult.m_answer.m_head.m_status == 503 &&
                            aResult.m_answer.m_body != kNoConfig;
                  });
    });
    ask.StartEvery(Millis(20));
    return support::RunUntil(
      m_loop, [&] { return found; }, aTime);
  }

  /** Cuts a gateway from the store alone. */
  void CutFromStore(std::size_t aGateway)
  {
    m_fleet.m_gateways[aGateway].m_storeLink->SetFault(soak::LinkFault::Cut,
                                                       {});
  }

  void LoseDatagrams(std::size_t aGateway, double aShare)
  {
    m_fleet.m_datagrams.SetLoss(m_fleet.m_gateways[aGateway].m_peers, aShare);
  }

  void RunFor(Millis aTime) { support::RunFor(m_loop, aTime); }

private:
  static constexpr const char* kNoConfig = "no configuration yet";

  soak::FleetOptions Options(std::size_t aGateways) const
  {
    std::filesystem::create_directories(m_folder);
    soak::FleetOptions options;
    options.m_self = Concat(SAPPHIREHOOK_BIN_DIR, "/soak");
    options.m_gateway = Concat(SAPPHIREHOOK_BIN_DIR, "/sapphirehook-gateway");
    options.m_folder = m_folder;
    options.m_gateways = aGateways;
    options.m_keyedEndpoints = 0;
    options.m_plainEndpoints = 0;
    return options;
  }

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  std::filesystem::path m_folder;
  soak::Fleet m_fleet;
};

} // namespace

TEST_CASE("a host without the store gets a large configuration from its peers",
          "[process]")
{
  Bed bed(3);
  bed.CutFromStore(1);
  bed.RunFor(Millis(200));
  bed.Put(3);
  CHECK(bed.IsInForceWithin(1, 3, kInForceWithin));
}

TEST_CASE("a host without the store that missed a version gets the next one",
          "[process]")
{
  // More than a small fleet, so that the leader alone reads.
  constexpr std::size_t kLargeFleet = 18;
  constexpr std::size_t kLate = 9;
  Bed bed(kLargeFleet);
  bed.CutFromStore(kLate);
  bed.LoseDatagrams(kLate, 1.0);
  bed.Put(3);
  bed.RunFor(Millis(400));
  bed.LoseDatagrams(kLate, 0.0);
  bed.Put(4);
  CHECK(bed.IsInForceWithin(kLate, 4, kInForceWithin));
}
