#include "platform/record_bytes.hpp"
#include "platform/standin_formats.hpp"
#include "process/gateway_fixture.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace sapphirehook::test;

namespace {

RoutingConfig
PlainConfig()
{
  RoutingConfig config;
  config.m_version = 1;
  Route route;
  route.m_name = "plain";
  route.m_host = "127.0.0.1"; // the Host header that HttpClient sends
  route.m_prefix = "/plain/";
  route.m_kind = RequestKind::Idempotent;
  route.m_timeout = Millis(1000);
  route.m_objective = Millis(400);
  route.m_maxAttempts = 2;
  route.m_targets.push_back({ "plain", 1 });
  config.m_routes.push_back(std::move(route));
  config.m_services["plain"].m_keyed = false;
  config.m_services["keyed"].m_keyed = true;
  config.m_services["keyed"].m_healthPath = soak::kHealthPath;
  return config;
}

std::string
Repeat(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

/** Returns an entry in which one value is replaced by aValue. */
std::string
EntryWith(const std::string& aName, const std::string& aValue)
{
  std::string entry = R"({"born":1700000000000,"address":"127.0.0.1:9",)"
                      R"("info":{"service":"plain","version":"v1","zone":"z",)"
                      R"("max-concurrency":6},"status":{"state":"ready",)"
                      R"("sequence":4,"warmup-left-ms":0}})";
  const auto name = Concat("\"", aName, "\":");
  const auto from = entry.find(name) + name.size();
  const auto to = entry.find_first_of(",}", from);
  return entry.replace(from, to - from, aValue);
}

struct InvalidEntry
{
  std::string m_key;
  std::string m_value;
};

std::vector<InvalidEntry>
InvalidEntries()
{
  constexpr std::size_t kDeep = 120'000;
  std::vector<InvalidEntry> entries{
    { "x1", Repeat("[", kDeep) + Repeat("]", kDeep) },
    { "x2", Repeat("{\"a\":", kDeep / 4) + "1" + Repeat("}", kDeep / 4) },
    { "x3", Repeat("[", kDeep) },
    { "x4", EntryWith("info", Repeat("[", 5000) + Repeat("]", 5000)) },
    { "x5", "\xFF\xFE\x80 no text" },
    { "x6", std::string(250'000, '\x01') },
    { "x7", "null" },
    { "x8", "[]" },
    { "x9", "{}" },
    { std::string("a b\r\nX-Evil: 1\r\n\r\nGET /"), EntryWith("born", "2") },
    { std::string("\x7F\x01"), EntryWith("born", "3") },
  };
  const std::vector<std::pair<std::string, std::vector<std::string>>> values{
    { "born",
      { "1e400",
        "1e30",
        "-1",
        "9223372036854775807",
        "18446744073709551615",
        "99999999999999999999999",
        "1.5" } },
    { "max-concurrency",
      { "1e400",
        "1e30",
        "-6",
        "0",
        "18446744073709551615",
        "4294967296",
        "99999999999999999999999" } },
    { "warmup-left-ms",
      { "9223372036854775807", "-9223372036854775808", "1e30", "-1" } },
    { "sequence", { "-1", "1e30", "99999999999999999999999" } },
    { "address",
      { "\"127.0.0.1:99999\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:65536\"",
        "\"255.255.255.255:80\"",
        "\"0.0.0.0:80\"",
        "\"224.0.0.1:80\"",
        "\"\"",
        "\":\"",
        "12" } },
    { "service", { "7", "\"\"" } },
    { "zone", { "7", "null" } },
    { "state", { "\"other\"", "1" } },
  };
  unsigned number = 0;
  for (const auto& [name, list] : values) {
    for (const auto& value : list) {
      entries.push_back({ Concat("odd-", number++), EntryWith(name, value) });
    }
  }
  return entries;
}

/** Writes a record of arbitrary bytes, as a faulty writer may. */
void
PutBytes(GatewayFixture& aFixture,
         const std::string& aKey,
         const std::string& aValue)
{
  aFixture.CallStore(
    aFixture.Protocol().m_store.m_append(aFixture.Protocol().m_endpointTopic,
                                         std::nullopt,
                                         { { 0, aKey, aValue } }));
}

} // namespace

// Guards against a failure that an operator reported: after an entry of another
// writer, daemons crashed repeatedly or stopped following the endpoint list.
TEST_CASE("invalid entries of another writer neither crash a daemon nor stop "
          "it from following the endpoint list",
          "[process]")
{
  constexpr std::size_t kGateways = 3;
  GatewayFixture fixture(kGateways);
  fixture.PutConfig(PlainConfig());
  ScriptedEndpoint early(fixture, "e0", "plain");
  early.Announce();
  fixture.RunFor(Millis(2500));
  for (const auto& entry : InvalidEntries()) {
    PutBytes(fixture, entry.m_key, entry.m_value);
  }
  fixture.RunFor(Millis(1000));
  // Entries under the name of a running endpoint: one with a start time in the
  // future, and one that cannot be parsed.
  PutBytes(fixture, "e0", EntryWith("born", "32503680000000"));
  fixture.RunFor(Millis(500));
  PutBytes(fixture, "e0", "[[[[");
  fixture.RunFor(Millis(500));
  early.m_record.m_warmUpLeft = Millis(1);
  early.Announce();
  ScriptedEndpoint late(fixture, "e1", "plain");
  late.Announce();
  fixture.RunFor(Millis(1500));

  // None of the entries is accepted as an endpoint.
  for (std::size_t i = 0; i < kGateways; ++i) {
    const auto log = fixture.Log(i);
    CHECK(log.find("\"event\":\"endpoint-entry\",\"endpoint\":\"odd-") ==
          std::string::npos);
    CHECK(log.find("\"event\":\"endpoint-entry\",\"endpoint\":\"a b") ==
          std::string::npos);
  }
  const auto isServed = [&] {
    SteadyCaller callers(fixture, { 0, 1, 2 }, "/plain/x", Millis(20));
    early.m_arrivals.clear();
    late.m_arrivals.clear();
    fixture.RunFor(Millis(1500));
    CHECK_FALSE(early.m_arrivals.empty());
    CHECK_FALSE(late.m_arrivals.empty());
    CHECK(callers.m_byStatus[200] > 50);
    CHECK(callers.m_byStatus.size() == 1);
  };
  isServed();
  for (std::size_t i = 0; i < kGateways; ++i) {
    CHECK_FALSE(fixture.HasEnded(i));
  }

  // A daemon that starts reads all entries at once.
  fixture.Restart(0);
  fixture.RunFor(Millis(2500));
  isServed();
  CHECK_FALSE(fixture.HasEnded(0));

  // The daemons still follow the list: a leaving endpoint receives no more
  // requests.
  late.Announce(true);
  fixture.RunFor(Millis(2000));
  late.m_arrivals.clear();
  const SteadyCaller callers(fixture, { 0, 1, 2 }, "/plain/x", Millis(20));
  fixture.RunFor(Millis(1000));
  CHECK(late.m_arrivals.empty());
}
