#include "sapphirehook/core/address.hpp"
#include "sapphirehook/daemon/settings.hpp"
#include "sapphirehook/endpoint/grant.hpp"
#include "sapphirehook/log/log_service.hpp"
#include "sapphirehook/operator/ticket.hpp"
#include "sapphirehook/operator/timeline.hpp"
#include "sapphirehook/ownership/record.hpp"
#include "sapphirehook/peer/message.hpp"
#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;

namespace {

/** Returns the text with random cuts, changed bytes and repeated parts. */
std::string
Damage(std::mt19937& aRandom, std::string aText)
{
  const auto hits = 1 + support::Draw(aRandom, 3);
  for (std::uint64_t i = 0; i < hits && !aText.empty(); ++i) {
    const auto place = support::Draw(aRandom, aText.size());
    switch (support::Draw(aRandom, 4)) {
      case 0:
        aText.resize(place);
        break;
      case 1:
        aText[place] = static_cast<char>(support::Draw(aRandom, 256));
        break;
      case 2:
        aText.insert(place, aText.substr(place, 20));
        break;
      default:
        aText.erase(place, 1 + support::Draw(aRandom, 8));
    }
  }
  return aText;
}

template<typename Parse>
void
CheckParser(const std::string& aName, const std::string& aValid, Parse aParse)
{
  CHECK(aParse(aValid));
  std::size_t refused = 0;
  CHECK(rc::check(aName, [&](unsigned aSeed) {
    std::mt19937 random(aSeed);
    for (int i = 0; i < 20; ++i) {
      refused += aParse(Damage(random, aValid)) ? 0 : 1;
    }
  }));
  CHECK(refused > 0);
}

const std::string kSettings = R"(host: h1
region: r1
zone: z1
listen:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  operators: 127.0.0.1:3
log:
  url: http://127.0.0.1:4
seeds: [127.0.0.1:5]
)";

} // namespace

TEST_CASE("damaged input is rejected or parsed and never crashes a parser",
          "[parser]")
{
  std::mt19937 random(1);
  CheckParser("settings", kSettings, [](const std::string& aText) {
    return ParseSettings(aText).ok();
  });
  std::string ticket;
  do {
    ticket = support::RandomTicket(random, 3);
  } while (!ParseTicket(ticket).ok());
  CheckParser("ticket", ticket, [](const std::string& aText) {
    return ParseTicket(aText).ok();
  });
  const auto record = EncodeRecord(
    { { "h", 1 },
      2,
      ClaimRecord{ { "r", 1 }, 2, { "h", 1 }, { { "i", 1 } }, 600 } });
  CheckParser("record", record, [](const std::string& aText) {
    return DecodeRecord(aText).ok();
  });
  const auto message = EncodeMessage(Heartbeat{
    { "a", 1 }, { "b", 2 }, 3, 750, 4, { { { "r", 1 }, 2, 3, false } } });
  CheckParser("message", message, [](const std::string& aText) {
    return DecodeMessage(aText).ok();
  });
  CheckParser(
    "log",
    R"({"first":0,"next":1,"records":[{"offset":0,"data":"YQ=="}]})",
    [](const std::string& aText) { return ParseLogBatch(aText).ok(); });
  CheckParser(
    "hosts",
    R"({"hosts":[{"host":"h1","state":"gone"}]})",
    [](const std::string& aText) { return ParseHostList(aText).ok(); });
  CheckParser(
    "lease",
    R"({"boot":"b","clock_ms":1,"accepted":true,"running":[1]})",
    [](const std::string& aText) { return ParseLeaseAnswer(aText).ok(); });
  CheckParser(
    "timeline",
    EncodeTimeline({ TimelineEvent{} }),
    [](const std::string& aText) { return ParseTimeline(aText).ok(); });
}

TEST_CASE("every error in the settings is reported with its line", "[parser]")
{
  const auto faults = ParseSettings("host: h1\n"
                                    "region: [a]\n"
                                    "listen:\n"
                                    "  callers: nowhere\n"
                                    "  peers: 127.0.0.1:2\n"
                                    "  extra: 1\n"
                                    "log:\n"
                                    "  url: ftp://x\n"
                                    "timing:\n"
                                    "  suspect_ms: 1\n");
  REQUIRE_FALSE(faults.ok());
  const std::string text(faults.status().message());
  for (const std::string expected :
       { "region (line 2)",
         "zone: is missing",
         "listen.callers (line 4)",
         "listen.operators: is missing",
         "listen.extra (line 6): is not a known setting",
         "log.url (line 8)",
         "timing.suspect_ms (line 10): must be an integer from 20 to 60000" }) {
    INFO(expected);
    CHECK(text.find(expected) != std::string::npos);
  }
}

TEST_CASE("settings that limit each other are checked together", "[parser]")
{
  const auto faults = ParseSettings(
    kSettings + "timing:\n  suspect_ms: 800\n  authority_lease_ms: 700\n");
  REQUIRE_FALSE(faults.ok());
  CHECK(std::string(faults.status().message())
          .find("must be below timing.authority_lease_ms (700)") !=
        std::string::npos);
}

TEST_CASE("every error in a ticket is reported with its path", "[parser]")
{
  const auto faults = ParseTicket(
    R"({"number":0,"extra":1,"services":{"s":{"prefix":"x"}},
        "endpoints":{"e":{"service":"s","address":"a","weight":0}}})");
  REQUIRE_FALSE(faults.ok());
  const std::string text(faults.status().message());
  for (const std::string expected : { "number: must be",
                                      "extra: is not",
                                      "services.s.prefix: must start",
                                      "services.s.key: is missing",
                                      "endpoints.e.address: must be",
                                      "endpoints.e.weight: must be",
                                      "endpoints.e.region: is missing" }) {
    INFO(expected);
    CHECK(text.find(expected) != std::string::npos);
  }
}
