#include "platform/protocol.hpp"
#include "platform/server_calls.hpp"
#include "platform/standin_formats.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/routing/route_table.hpp"
#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace sapphirehook;

namespace {

const std::string kConfig = R"({"version":"0000000c","resources":[
 {"resource-kind":"routes","metadata":{"name":"r1"},"spec":{"host":"h.example",
  "path-prefix":"/a/","type":"safe","timeout-ms":1000,"target-latency-ms":400,
  "priority":2,"backends":[{"service":"s","weight":90},
  {"service":"t","weight":10}],"max-attempts":2}},
 {"resource-kind":"services","metadata":{"name":"s"},"spec":{
  "health-path":"/health","max-connections":110,"is-sharded":true,
  "warm-s":5.0}},
 {"resource-kind":"limits","metadata":{},"spec":{"header-bytes":16384,
  "max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000}}]})";

const std::string kEntry =
  R"({"address":"10.128.0.9:8080","born":17,"info":{"service":"s",
 "version":"v1","zone":"z","max-concurrency":6},"status":{"state":"ready",
 "sequence":4,"warmup-left-ms":250}})";

CallResult
Answered(int aStatus, std::string aBody)
{
  CallResult result;
  result.m_end = CallEnd::Answered;
  result.m_answer.m_head.m_status = aStatus;
  result.m_answer.m_body = std::move(aBody);
  return result;
}

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("the parser converts the fields of a configuration", "[platform]")
{
  const auto config = platform::Protocol().m_parseConfig(kConfig);
  REQUIRE(config.ok());
  CHECK(config->m_version == 12);
  REQUIRE(config->m_routes.size() == 1);
  const auto& route = config->m_routes.front();
  CHECK(route.m_kind == RequestKind::Idempotent);
  CHECK(route.m_timeout == Millis(1000));
  CHECK(route.m_objective == Millis(400));
  REQUIRE(route.m_targets.size() == 2);
  CHECK(route.m_targets[0].m_weight == 90);
  CHECK(config->m_services.at("s").m_keyed);
  CHECK(config->m_services.at("s").m_keyWarmUp == Millis(5000));
  CHECK(config->m_limits.m_bodyBytes == 1000);
}

TEST_CASE("an error in the configuration names the field", "[platform]")
{
  const auto parse = platform::Protocol().m_parseConfig;
  const auto why = [&](const std::string& aText) {
    const auto config = parse(aText);
    REQUIRE(config.ok());
    REQUIRE(config->m_issues.size() == 1);
    const auto& issue = config->m_issues.front();
    CHECK(issue.m_resourceKind == "routes");
    CHECK(issue.m_name == "r1");
    CHECK(config->m_services.contains("s")); // the rest is in force
    return issue.m_reason;
  };
  CHECK(why(Replaced(kConfig, "\"host\"", "\"hast\"")).find("host") !=
        std::string::npos);
  CHECK(why(Replaced(kConfig, "1000,\"target", "\"x\",\"target"))
          .find("timeout-ms") != std::string::npos);
  CHECK(why(Replaced(kConfig, "\"safe\"", "\"odd\"")).find("type") !=
        std::string::npos);
  CHECK_FALSE(parse(kConfig.substr(0, 100)).ok());
  CHECK_FALSE(parse(Replaced(kConfig, "0000000c", "x")).ok());
}

TEST_CASE(
  "a field of another type or an unknown word affects no other resource",
  "[platform]")
{
  const std::string other =
    R"({"resource-kind":"routes","metadata":{"name":"r2"},"spec":{
    "host":"o.example","path-prefix":"/o/","type":"unsafe","timeout-ms":500,
    "service":"t"}},)";
  const std::string text =
    Replaced(kConfig, "\"resources\":[", "\"resources\":[" + other);
  auto root = nlohmann::json::parse(text);
  const nlohmann::json odd[] = { nullptr,
                                 true,
                                 -1,
                                 1e300,
                                 "odd",
                                 "",
                                 "\n",
                                 1.5,
                                 nlohmann::json::array(),
                                 nlohmann::json::object() };
  std::size_t issues = 0;
  const auto check = [&](bool aMayMove) {
    const auto config = platform::Protocol().m_parseConfig(root.dump());
    REQUIRE(config.ok());
    CHECK(config->m_version == 12);
    issues += config->m_issues.size();
    const RouteTable table(*config);
    const auto* unaffected = table.Find("o.example", "/o/x");
    REQUIRE(unaffected != nullptr);
    CHECK(unaffected->m_isUsable);
    CHECK(unaffected->m_kind == RequestKind::NeverRepeat);
    // The affected route is never missing without a trace.
    const auto* affected = table.Find("h.example", "/a/x");
    CHECK((affected != nullptr || table.MayHaveUnknownRoute("h.example") ||
           !config->m_issues.empty() || aMayMove));
    if (affected != nullptr && affected->m_isUsable) {
      CHECK(affected->m_timeout == Millis(1000));
      CHECK(affected->m_targets.size() == 2);
      CHECK((!IsIdempotent(affected->m_kind) || config->m_issues.empty() ||
             affected->m_name == "r1" || affected->m_name.empty()));
    }
  };
  for (std::size_t i = 1; i < root["resources"].size(); ++i) {
    const auto resource = root["resources"][i];
    for (const auto& value : odd) {
      for (const auto& [name, field] : resource.items()) {
        root["resources"][i] = resource;
        root["resources"][i][name] = value;
        check(false);
      }
      for (const auto& [name, field] : resource["spec"].items()) {
        root["resources"][i] = resource;
        root["resources"][i]["spec"][name] = value;
        // Another text is a valid host or prefix.
        check(value.is_string() && (name == "host" || name == "path-prefix"));
      }
    }
    root["resources"][i] = resource;
  }
  CHECK(issues > 50);
}

TEST_CASE("what a route of a later version may do is not guessed", "[platform]")
{
  const auto parse = [](const std::string& aFrom, const std::string& aTo) {
    return *platform::Protocol().m_parseConfig(Replaced(kConfig, aFrom, aTo));
  };
  const auto download = parse("\"safe\"", "\"download\"");
  CHECK(IsIdempotent(download.m_routes.front().m_kind));
  CHECK(download.m_issues.empty());
  const auto unknown = parse("\"safe\"", "\"stream\"");
  CHECK(unknown.m_routes.front().m_kind == RequestKind::NeverRepeat);
  CHECK(unknown.m_routes.front().m_isUsable);
  // A service that may have keys or not makes its routes unusable.
  const auto service = parse("\"is-sharded\":true", "\"is-sharded\":\"yes\"");
  REQUIRE(service.m_routes.size() == 1);
  CHECK_FALSE(service.m_routes.front().m_isUsable);
  const auto weight = parse("\"weight\":90", "\"weight\":-90");
  CHECK_FALSE(weight.m_routes.front().m_isUsable);
}

TEST_CASE("a valid endpoint entry is parsed, a malformed one is rejected",
          "[platform]")
{
  const auto parse = platform::Protocol().m_parseEndpoint;
  const auto record = parse("e", kEntry);
  REQUIRE(record.ok());
  CHECK(record->m_incarnation == EndpointIncarnation{ "e", 17 });
  CHECK(record->m_slots == 6);
  CHECK_FALSE(record->m_draining);
  CHECK(record->m_warmUpLeft == Millis(250));
  CHECK_FALSE(parse("e", Replaced(kEntry, "\"ready\"", "\"busy\"")).ok());
  CHECK_FALSE(parse("e", Replaced(kEntry, "17", "17.5")).ok());
  CHECK_FALSE(parse("e", Replaced(kEntry, "\"zone\":\"z\",", "")).ok());
  CHECK_FALSE(parse("e", Replaced(kEntry, "6}", "\"6\"}")).ok());
  CHECK_FALSE(parse("e", "\x01\x02").ok());
}

TEST_CASE("an endpoint entry with values out of range is rejected",
          "[platform]")
{
  const auto parse = platform::Protocol().m_parseEndpoint;
  const auto isRefused = [&](const std::string& aFrom, const std::string& aTo) {
    const auto record = parse("e", Replaced(kEntry, aFrom, aTo));
    return !record.ok();
  };
  for (const char* born : { "-1", "9223372036854775807", "1e30", "1e400" }) {
    CHECK(isRefused("17", born));
  }
  for (const char* slots :
       { "0}", "-6}", "18446744073709551615}", "4294967296}", "1e400}" }) {
    CHECK(isRefused("6}", slots));
  }
  for (const char* left :
       { "-1", "9223372036854775807", "-9223372036854775808" }) {
    CHECK(isRefused("250", left));
  }
  for (const char* address : { "10.128.0.9:99999",
                               "10.128.0.9:0",
                               "10.128.0.9:-1",
                               "255.255.255.255:80",
                               "0.0.0.0:80",
                               "224.0.0.1:80" }) {
    CHECK(isRefused("10.128.0.9:8080", address));
  }
  CHECK(isRefused("\"service\":\"s\"", "\"service\":\"\""));
  // A line break in the key would end a header line.
  CHECK_FALSE(parse("e\r\nX-Other: 1", kEntry).ok());
  CHECK_FALSE(parse("", kEntry).ok());
  CHECK_FALSE(parse("e e", kEntry).ok());
  // Deeply nested JSON.
  constexpr std::size_t kDeep = 200'000;
  CHECK_FALSE(parse("e", std::string(kDeep, '[')).ok());
  std::string nested;
  for (std::size_t i = 0; i < kDeep; ++i) {
    nested += "{\"a\":";
  }
  CHECK_FALSE(parse("e", nested).ok());
  CHECK_FALSE(parse("e",
                    Replaced(kEntry,
                             "250",
                             "250,\"x\":" + std::string(15'000, '[') +
                               std::string(15'000, ']')))
                .ok());
}

TEST_CASE("unreadable records of a page do not affect the other records",
          "[platform]")
{
  const auto store = platform::Protocol().m_store;
  SECTION("of the history")
  {
    // The key length of the second record exceeds the record.
    std::string body(16, '\0');
    body[7] = 7; // the end
    body += std::string("\0\0\0\3\1av", 7);
    body += std::string("\0\0\0\2\xC8x", 6);
    body += std::string("\0\0\0\0", 4);
    body += std::string("\0\0\0\3\1bw", 7);
    const auto page = store.m_parseRead(Answered(200, body), 3);
    REQUIRE(page.m_answer == StoreAnswer::Ok);
    REQUIRE(page.m_records.size() == 4);
    CHECK(page.m_records[0].m_key == "a");
    CHECK(page.m_records[3].m_key == "b");
    CHECK(page.m_records[3].m_offset == 6);
    // A truncated page is malformed.
    body.pop_back();
    CHECK(store.m_parseRead(Answered(200, body), 3).m_answer ==
          StoreAnswer::Malformed);
  }
  SECTION("of the newest values")
  {
    const auto page = store.m_parseNewest(Answered(
      200,
      "{\"items\":[{\"key\":\"\xFF\xFE\",\"value\":\"MQ==\",\"offset\":1},"
      "{\"key\":7,\"value\":\"MQ==\",\"offset\":2},"
      "{\"key\":\"b\",\"value\":\"!\",\"offset\":3},"
      "{\"key\":\"c\",\"value\":\"MQ==\",\"offset\":4}],"
      "\"has-more\":false,\"end-offset\":5}"));
    REQUIRE(page.m_answer == StoreAnswer::Ok);
    CHECK(page.m_end == 5);
    REQUIRE_FALSE(page.m_records.empty());
    CHECK(page.m_records.back().m_key == "c");
    CHECK(page.m_unreadable == 3);
  }
}

TEST_CASE("a call for the newest values encodes any bytes of the key",
          "[platform]")
{
  const auto store = platform::Protocol().m_store;
  const auto call = store.m_newest("keyed.t", "a b\r\nGET /&x=\xFF%");
  CHECK(call.m_target.find("after=a%20b%0D%0AGET%20/%26x%3D%FF%25") !=
        std::string::npos);
}

TEST_CASE("damaged entries and configurations never crash the parser",
          "[platform]")
{
  std::mt19937 random(6);
  const auto protocol = platform::Protocol();
  for (int round = 0; round < 3000; ++round) {
    std::string text = round % 2 == 0 ? kConfig : kEntry;
    for (int hits = 0; hits < 3; ++hits) {
      text[support::Draw(random, text.size())] =
        static_cast<char>(support::Draw(random, 256));
    }
    if (support::Draw(random, 3) == 0) {
      text.resize(support::Draw(random, text.size()));
    }
    static_cast<void>(protocol.m_parseConfig(text).ok());
    static_cast<void>(protocol.m_parseEndpoint("e", text).ok());
    static_cast<void>(protocol.m_store.m_parseRead(Answered(200, text), 0));
    static_cast<void>(protocol.m_store.m_parseNewest(Answered(200, text)));
  }
  SUCCEED("no crash");
}

TEST_CASE("records written for the store are read back the same", "[platform]")
{
  const auto store = platform::Protocol().m_store;
  const std::vector<KeyedRecord> records{ { 0, "k1", "value" },
                                          { 0, "k2", std::string("\0\1", 2) },
                                          { 0, "k1", {} } };
  const auto call = store.m_append("keyed.x", 7, records);
  CHECK(call.m_target == "/sapphirehook/log-append?topic=keyed.x&part=0&at=7");
  const std::string head(std::string(7, '\0') + '\x0a' + std::string(8, '\0'));
  const auto page = store.m_parseRead(Answered(200, head + call.m_body), 7);
  REQUIRE(page.m_answer == StoreAnswer::Ok);
  CHECK(page.m_end == 10);
  REQUIRE(page.m_records.size() == 3);
  for (std::size_t i = 0; i < records.size(); ++i) {
    CHECK(page.m_records[i].m_offset == 7 + i);
    CHECK(page.m_records[i].m_key == records[i].m_key);
    CHECK(page.m_records[i].m_value == records[i].m_value);
  }
}

TEST_CASE("each answer of the store maps to its own result", "[platform]")
{
  const auto store = platform::Protocol().m_store;
  CHECK(store.m_parseAppend(Answered(200, R"({"offset":1,"end-offset":2})"))
          .m_answer == StoreAnswer::Ok);
  CHECK(store.m_parseAppend(Answered(412, R"({"end-offset":2})")).m_answer ==
        StoreAnswer::Conflict);
  CHECK(store.m_parseAppend(Answered(503, "")).m_answer ==
        StoreAnswer::TurnedAway);
  CHECK(store.m_parseAppend(Answered(429, "")).m_answer ==
        StoreAnswer::TurnedAway);
  CHECK(store.m_parseAppend(CallResult{ CallEnd::NoAnswer, {} }).m_answer ==
        StoreAnswer::NoAnswer);
  CHECK(store.m_parseRead(Answered(410, ""), 0).m_answer ==
        StoreAnswer::Forgotten);
}

TEST_CASE("commands to endpoints are written and their answers parsed",
          "[platform]")
{
  const auto protocol = platform::Protocol();
  const auto grant =
    protocol.m_grant({ { 4096, 8191 }, 12, Millis(4000), "5c0e" });
  CHECK(grant.m_target == "/sapphirehook/grant");
  CHECK(grant.m_body ==
        R"({"fence":12,"from-rev":4096,"handover":"5c0e","hold-ms":4000,)"
        R"("to":8191})");
  CHECK(protocol.m_parseCommandResult(Answered(409, "")).m_end ==
        CommandOutcome::Fenced);
  CHECK(protocol.m_parseCommandResult(Answered(400, "")).m_end ==
        CommandOutcome::Unclear);
  CHECK(
    protocol.m_parseCommandResult(CallResult{ CallEnd::Refused, {} }).m_end ==
    CommandOutcome::Refused);
  const auto load = protocol.m_parseLoad("3,0,8");
  REQUIRE(load.ok());
  CHECK(load->m_running == 3);
  CHECK(load->m_slots == 8);
  CHECK_FALSE(load->m_pace);
  CHECK_FALSE(protocol.m_parseLoad("3,x,8").ok());
  // Further figures of a later version are ignored.
  CHECK(protocol.m_parseLoad("3,0,8,140,7,z")->m_pace == 140);
  CHECK_FALSE(protocol.m_parseLoad("3,0,8,fast").ok());
  CHECK_FALSE(protocol.m_parseLoad("3,0").ok());
}

// Guards against the end of a gateway by a server's bytes (review/9).
TEST_CASE("any bytes of a server's answer give a valid command", "[platform]")
{
  std::mt19937 random(5);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes;
    for (auto left = support::Draw(random, 24); left > 0; --left) {
      bytes += static_cast<char>(support::Draw(random, 256));
    }
    CallResult result;
    result.m_end = CallEnd::Answered;
    result.m_answer.m_head.m_status = 200;
    result.m_answer.m_head.m_headers.push_back(
      { "X-Sapphirehook-Handover", bytes });
    const auto parsed = platform::ParseCommandAnswer(result);
    CHECK(parsed.m_end == CommandOutcome::Done);
    CHECK((parsed.m_handover == bytes || parsed.m_handover.empty()));
    // Also a handover that was not checked.
    for (const auto& handover : { parsed.m_handover, bytes }) {
      const auto call =
        platform::GrantCall({ { 1, 2 }, 3, Millis(4), handover });
      const auto body = nlohmann::json::parse(call.m_body);
      CHECK(body.at("fence") == 3);
    }
  }
}

TEST_CASE("numbers near the limits of their types are rejected", "[platform]")
{
  constexpr const char* kLargest = "18446744073709551615";
  for (const auto& text : { Concat(kLargest, ",0,6"),
                            Concat("0,", kLargest, ",6"),
                            Concat("0,0,", kLargest),
                            Concat("0,0,6,", kLargest) }) {
    CHECK_FALSE(platform::ParseLoad(text).ok());
  }
  const auto usual = platform::ParseLoad("7,200,6,150");
  REQUIRE(usual.ok());
  CHECK(usual->m_waiting == 200);
  CHECK(usual->m_pace == 150U);
}

TEST_CASE("a configuration that the stand-ins write is parsed unchanged",
          "[platform]")
{
  RoutingConfig config;
  config.m_version = 0x1a;
  for (int i = 0; i < 1500; ++i) {
    Route route;
    route.m_name = "r" + std::to_string(i);
    route.m_host = "h.example";
    route.m_prefix = "/p" + std::to_string(i) + "/";
    route.m_kind = RequestKind::Upload;
    route.m_timeout = Millis(700);
    route.m_objective = Millis(300);
    route.m_targets = { { "s", 3 }, { "t", 1 } };
    config.m_routes.push_back(std::move(route));
  }
  config.m_services["s"].m_keyed = true;
  config.m_limits.m_bodyBytes = 4321;
  const auto read =
    platform::Protocol().m_parseConfig(platform::WriteConfig(config));
  REQUIRE(read.ok());
  CHECK(read->m_version == config.m_version);
  REQUIRE(read->m_routes.size() == config.m_routes.size());
  for (std::size_t i = 0; i < read->m_routes.size(); ++i) {
    CHECK(read->m_routes[i].m_name == config.m_routes[i].m_name);
    CHECK(read->m_routes[i].m_prefix == config.m_routes[i].m_prefix);
    CHECK(read->m_routes[i].m_kind == RequestKind::Upload);
    CHECK(read->m_routes[i].m_targets.size() == 2);
  }
  CHECK(read->m_services.at("s").m_keyed);
  CHECK(read->m_limits.m_bodyBytes == 4321);
}

TEST_CASE("other lists of a configuration are ignored", "[platform]")
{
  const auto text =
    Replaced(kConfig, "\"resources\"", R"("notes":[{"by":"x"}],"resources")");
  const auto config = platform::Protocol().m_parseConfig(text);
  REQUIRE(config.ok());
  CHECK(config->m_routes.size() == 1);
  CHECK_FALSE(platform::Protocol().m_parseConfig(R"({"version":"01"})").ok());
}
