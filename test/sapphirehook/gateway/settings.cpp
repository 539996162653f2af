#include "sapphirehook/gateway/settings.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

const std::string kSettings = R"(host: h
zone: z
callers: 127.0.0.1:1
ready: 127.0.0.1:2
peers: 127.0.0.1:3
metrics: 127.0.0.1:4
store: 127.0.0.1:5
processor_share: 0.25
link_mbps: 200
retry_budget_ratio: 0.2
retry_budget_slack: 50
retry_budget_window_s: 10
endpoint_heartbeat_ms: 1000
max_hold_ms: 4000
stop_grace_s: 30
drain_ms: 3000
)";

std::string
With(const std::string& aFrom, const std::string& aTo)
{
  auto text = kSettings;
  return text.replace(text.find(aFrom), aFrom.size(), aTo);
}

std::string
ErrorOf(const std::string& aText)
{
  return std::string(ParseGatewaySettings(aText).status().message());
}

} // namespace

TEST_CASE("an error in the gateway's settings names the setting", "[gateway]")
{
  REQUIRE(ParseGatewaySettings(kSettings).ok());
  CHECK(ErrorOf(With("zone: z\n", "")) == "setting \"zone\" is missing");
  CHECK(ErrorOf(With("127.0.0.1:5", "nowhere")) ==
        "setting \"store\" is no address with a port");
  CHECK(ErrorOf(With("link_mbps: 200", "link_mbps: fast")) ==
        "setting \"link_mbps\" has the wrong type");
  CHECK(ErrorOf(With("drain_ms: 3000", "drain_ms: 0")) ==
        "setting \"drain_ms\" must be above 0");
  CHECK_FALSE(ErrorOf("{").empty());
}

TEST_CASE("a reload reports which settings need a restart", "[gateway]")
{
  const auto old = *ParseGatewaySettings(kSettings);
  const auto changed = [&](const std::string& aText) {
    return ChangedForRestart(old, *ParseGatewaySettings(aText));
  };
  using Names = std::vector<std::string>;
  CHECK(changed(kSettings).empty());
  CHECK(changed(With("127.0.0.1:4", "127.0.0.1:9")) == Names{ "metrics" });
  CHECK(changed(With("127.0.0.1:3", "127.0.0.1:9")) ==
        Names{ "peers", "peers_advertised" });
  // These take effect at once.
  CHECK(changed(With("stop_grace_s: 30", "stop_grace_s: 5")).empty());
  CHECK(changed(With("slack: 50", "slack: 5")).empty());
}
