#include "sapphirehook/store/topic_reader.hpp"

#include "platform/protocol.hpp"
#include "platform/record_bytes.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/delayed_calls.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

/** A store on loopback whose answers are scripted by a test. */
class FakeStore
{
public:
  explicit FakeStore(EventLoop& aLoop)
    : m_address(support::FreeAddress())
    , m_server(aLoop,
               [this](const HttpExchangePtr& aExchange) { OnCall(aExchange); })
    , m_delayed(aLoop)
  {
    REQUIRE(m_server.Listen(m_address));
  }

  /** Returns the body of the answer to a target. The call stays unanswered if
     it returns no value. */
  std::function<std::optional<std::string>(const std::string&)> m_answer;
  /** Returns the first bytes of a body of m_fullSize bytes. The rest is never
      sent. */
  std::function<std::optional<std::string>(const std::string&)> m_partial;
  std::size_t m_fullSize = 0;
  /** Delay of each answer. */
  Millis m_answerDelay{};
  /** A body that is sent in pieces with a pause between them. */
  struct Pieces
  {
    std::string m_body;
    std::size_t m_size = 0;
    Millis m_pause{};
  };
  std::optional<Pieces> m_pieces;
  std::vector<std::string> m_targets;
  sockaddr_in m_address;

private:
  void OnCall(const HttpExchangePtr& aExchange)
  {
    const auto target = aExchange->m_head.m_target;
    m_targets.push_back(target);
    const auto partial = m_partial ? m_partial(target) : std::nullopt;
    if (m_pieces) {
      aExchange->AnswerRaw("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(m_pieces->m_body.size()) +
                           "\r\n\r\n");
      SendPiece(aExchange, 0);
    } else if (partial) {
      aExchange->AnswerRaw("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(m_fullSize) + "\r\n\r\n" + *partial);
    } else if (const auto body = m_answer(target)) {
      m_delayed.After(m_answerDelay, [aExchange, body] {
        aExchange->Answer({ 200, "text/plain", *body });
      });
      return;
    }
    m_unanswered.push_back(aExchange);
  }

  void SendPiece(const HttpExchangePtr& aExchange, std::size_t aAt)
  {
    if (aAt < m_pieces->m_body.size()) {
      aExchange->AnswerRaw(m_pieces->m_body.substr(aAt, m_pieces->m_size));
      m_delayed.After(m_pieces->m_pause, [this, aExchange, aAt] {
        SendPiece(aExchange, aAt + m_pieces->m_size);
      });
    }
  }

  HttpServer m_server;
  soak::DelayedCalls m_delayed;
  std::vector<HttpExchangePtr> m_unanswered;
};

/** Returns a page of records, given as keys and values, as the store sends
    it. */
std::string
Page(Offset aEnd,
     const std::vector<std::pair<std::string, std::string>>& aRecords)
{
  std::string bytes;
  platform::AppendBigEndian(bytes, aEnd, platform::kOffsetBytes);
  platform::AppendBigEndian(bytes, 0, platform::kOffsetBytes);
  for (const auto& [key, value] : aRecords) {
    platform::AppendRecord(bytes, { 0, key, value });
  }
  return bytes;
}

const std::string kNewest =
  R"({"items":[{"key":"a","value":"MQ==","offset":4}],"has-more":false,)"
  R"("end-offset":5})";

/** A reader of a fake store, and the records and events that it delivers. */
class Fixture
{
public:
  Fixture()
    : m_protocol(platform::Protocol())
    , m_store(m_loop)
    , m_reader(m_loop,
               m_protocol.m_store,
               m_store.m_address,
               "keyed.t",
               { .m_wait = Millis(2000), .m_gather = Millis(5) },
               { [this](const KeyedRecord& aRecord) {
                  m_delivered.push_back(aRecord.m_key + "=" +
                                        aRecord.m_value.value_or("-"));
                },
                 [this](Offset aFrom,
                        Offset aNext,
                        const std::vector<KeyedRecord>& aRecords) {
                   m_batches.push_back({ "keyed.t", aFrom, aNext, aRecords });
                 },
                 [this](const EndConfirmation& aConfirmation) {
                   m_confirmations.push_back(aConfirmation);
                 },
                 [this](const ReadFailure&) { ++m_failures; } })
  {
    m_store.m_answer =
      [this](const std::string& aTarget) -> std::optional<std::string> {
      if (aTarget.find("log-newest") != std::string::npos) {
        return kNewest;
      }
      return std::exchange(m_page, std::nullopt);
    };
  }

  void RunFor(Millis aTime) { support::RunFor(m_loop, aTime); }

  struct Batch
  {
    std::string m_topic;
    Offset m_from;
    Offset m_next;
    std::vector<KeyedRecord> m_records;
  };

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  FakeStore m_store;
  std::vector<std::string> m_delivered;
  std::vector<Batch> m_batches;
  unsigned m_failures = 0;
  std::vector<EndConfirmation> m_confirmations;
  /** Answer to the next read with a wait. */
  std::optional<std::string> m_page;
  TopicReader m_reader;
};

} // namespace

TEST_CASE("a read delivers the newest record of each key, and all in one batch",
          "[store]")
{
  Fixture fixture;
  fixture.m_page = Page(8, { { "a", "2" }, { "b", "1" }, { "a", "3" } });
  fixture.m_reader.Start();
  fixture.RunFor(Millis(150));
  CHECK(fixture.m_delivered == std::vector<std::string>{ "a=1", "b=1", "a=3" });
  REQUIRE(fixture.m_batches.size() == 1);
  CHECK(fixture.m_batches[0].m_from == 5);
  CHECK(fixture.m_batches[0].m_next == 8);
  CHECK(fixture.m_batches[0].m_records.size() == 2);
  CHECK(fixture.m_reader.End() == 8);
}

TEST_CASE("a paused reader accepts relayed records and makes no calls",
          "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  const auto asked = fixture.m_store.m_targets.size();
  SECTION("accepts a batch that continues its records")
  {
    CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
          RelayOutcome::Taken);
    CHECK(fixture.m_reader.End() == 7);
    CHECK(fixture.m_delivered.back() == "b=x");
  }
  SECTION("delivers only the new part of an overlapping batch")
  {
    CHECK(fixture.m_reader.Accept(
            3, { 0, 7 }, { { 4, "a", "old" }, { 6, "b", "x" } }) ==
          RelayOutcome::Taken);
    CHECK(fixture.m_delivered == std::vector<std::string>{ "a=1", "b=x" });
  }
  SECTION("rejects a batch after a gap and a batch of known records")
  {
    CHECK(fixture.m_reader.Accept(6, { 0, 7 }, { { 6, "b", "x" } }) ==
          RelayOutcome::Gap);
    CHECK(fixture.m_reader.Accept(2, { 0, 5 }, { { 4, "a", "old" } }) ==
          RelayOutcome::Known);
    CHECK(fixture.m_reader.End() == 5);
  }
  fixture.RunFor(Millis(100));
  CHECK(fixture.m_store.m_targets.size() == asked);
  CHECK(fixture.m_batches.empty());
}

TEST_CASE("Refresh repeats a read that stays unanswered", "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  // The store keeps the call open although a record exists.
  const auto asked = fixture.m_store.m_targets.size();
  CHECK_FALSE(fixture.m_reader.Refresh());
  fixture.RunFor(Millis(650));
  fixture.m_page = Page(6, { { "b", "1" } });
  CHECK(fixture.m_reader.Refresh());
  fixture.RunFor(Millis(100));
  CHECK(fixture.m_store.m_targets.size() >= asked + 1);
  CHECK(fixture.m_delivered.back() == "b=1");
}

TEST_CASE(
  "an empty answer confirms the end of a topic up to the end of its wait",
  "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(5, {}));
  };
  fixture.m_reader.SetTimes({ .m_wait = Millis(100), .m_gather = Millis(5) });
  const auto confirmationsBeyondCall = [&] {
    fixture.m_reader.Probe();
    fixture.RunFor(Millis(50)); // the call without a wait has ended
    fixture.m_confirmations.clear();
    fixture.RunFor(Millis(400));
    REQUIRE_FALSE(fixture.m_confirmations.empty());
    return std::count_if(fixture.m_confirmations.begin(),
                         fixture.m_confirmations.end(),
                         [](const EndConfirmation& aConfirmation) {
                           CHECK(aConfirmation.m_end.m_offset == 5);
                           CHECK(aConfirmation.m_at <=
                                 aConfirmation.m_askedAt + Millis(100));
                           return aConfirmation.m_at > aConfirmation.m_askedAt;
                         });
  };
  SECTION("when it arrives after the wait")
  {
    fixture.m_store.m_answerDelay = Millis(60);
    CHECK(confirmationsBeyondCall() > 0);
  }
  SECTION("only up to the time of the call when it arrives before")
  {
    CHECK(confirmationsBeyondCall() == 0);
  }
}

TEST_CASE(
  "a reader has the end of its topic confirmed at the configured interval",
  "[store]")
{
  Fixture fixture;
  fixture.m_reader.SetTimes({ .m_wait = Millis(200), .m_gather = Millis(100) });
  fixture.m_reader.Start();
  fixture.RunFor(Millis(50));
  const auto waitOf = [](const std::string& aTarget) {
    constexpr std::string_view kName = "wait-ms=";
    const auto at = aTarget.find(kName);
    return at == std::string::npos
             ? 0
             : std::stoi(aTarget.substr(at + kName.size()));
  };
  // When a record arrives after a call has waited for a long time, the next
  // call waits for a shorter time.
  fixture.RunFor(Millis(150));
  REQUIRE_FALSE(fixture.m_store.m_targets.empty());
  CHECK(waitOf(fixture.m_store.m_targets.back()) > 0);
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(6, { { "b", "1" } }));
  };
  fixture.m_reader.Probe();
  fixture.RunFor(Millis(20));
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>{};
  };
  fixture.RunFor(Millis(200));
  CHECK(waitOf(fixture.m_store.m_targets.back()) <= 100);
}

TEST_CASE("a reader that follows the store again makes a call at once",
          "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  fixture.m_store.m_targets.clear();
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(5, {}));
  };
  const auto confirmations = fixture.m_confirmations.size();
  fixture.m_reader.Resume();
  fixture.RunFor(Millis(30));
  REQUIRE_FALSE(fixture.m_store.m_targets.empty());
  CHECK(fixture.m_confirmations.size() > confirmations);
}

TEST_CASE("a reader waits for a large answer that arrives slowly", "[store]")
{
  Fixture fixture;
  const auto page = Page(6, { { "b", std::string(4000, 'x') } });
  fixture.m_reader.Start();
  fixture.m_store.m_partial = [&](const std::string& aTarget) {
    return aTarget.find("log-read") != std::string::npos
             ? std::optional(page.substr(0, 1000))
             : std::nullopt;
  };
  fixture.m_store.m_fullSize = page.size();
  fixture.RunFor(Millis(800));
  CHECK_FALSE(fixture.m_reader.Refresh());
  CHECK(fixture.m_failures == 0);
}

TEST_CASE("a reader that the store does not serve accepts relayed records",
          "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  // While the reader follows the topic in the store, its own reads return the
  // records.
  CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Reading);
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>("not a page");
  };
  fixture.m_reader.Probe();
  fixture.RunFor(Millis(100));
  REQUIRE(fixture.m_failures > 0);
  CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_delivered.back() == "b=x");
  // Once the store serves the reader again, the reader continues after the
  // relayed records. The call in flight is aborted; if the store receives it
  // nevertheless, its target is recorded before m_targets is cleared.
  fixture.RunFor(Millis(20));
  fixture.m_store.m_targets.clear();
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(8, { { "c", "1" } }));
  };
  fixture.RunFor(Millis(800));
  REQUIRE_FALSE(fixture.m_store.m_targets.empty());
  CHECK(fixture.m_store.m_targets.front().find("7") != std::string::npos);
  CHECK(fixture.m_delivered.back() == "c=1");
  CHECK(fixture.m_reader.Accept(8, { 0, 9 }, { { 8, "d", "x" } }) !=
        RelayOutcome::Taken);
}

TEST_CASE("an answer that arrives slowly is read completely", "[store]")
{
  Fixture fixture;
  const auto page = Page(6, { { "b", std::string(4000, 'x') } });
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  // A congested link delivers a piece every 200 ms, 4 s in total.
  fixture.m_store.m_pieces = { page, 200, Millis(200) };
  REQUIRE(fixture.m_reader.Refresh());
  fixture.RunFor(Millis(4700));
  CHECK(fixture.m_failures == 0);
  CHECK(fixture.m_reader.End() == 6);
}

TEST_CASE("an answer that takes too long is aborted", "[store]")
{
  Fixture fixture;
  const auto page = Page(6, { { "b", std::string(100'000, 'x') } });
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  fixture.m_store.m_pieces = { page, 1, Millis(100) };
  REQUIRE(fixture.m_reader.Refresh());
  fixture.RunFor(Millis(12'000));
  CHECK(fixture.m_failures > 0);
}

TEST_CASE("a reader whose own call returns no records accepts those of peers",
          "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  CHECK_FALSE(fixture.m_reader.AcceptsRelays());
  fixture.m_reader.DependOnRelays();
  CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_failures == 0);
  // After a successful call the reader follows the topic in the store again.
  fixture.m_page = Page(8, { { "c", "1" } });
  fixture.RunFor(Millis(400));
  CHECK(fixture.m_delivered.back() == "c=1");
  CHECK_FALSE(fixture.m_reader.AcceptsRelays());
}

TEST_CASE("a reader that starts without the store accepts all keys from a peer",
          "[store]")
{
  Fixture fixture;
  fixture.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>("not a page");
  };
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  CHECK_FALSE(fixture.m_reader.IsCaughtUp());
  CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Gap);
  CHECK(fixture.m_reader.Accept(0, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_reader.IsCaughtUp());
  CHECK(fixture.m_reader.End() == 7);
}

TEST_CASE("a batch of all keys removes the keys that are not in it", "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  CHECK(fixture.m_reader.Accept(0, { 0, 9 }, { { 8, "b", "x" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_delivered == std::vector<std::string>{ "a=1", "a=-", "b=x" });
  CHECK(fixture.m_reader.Compacted().Since(0).size() == 1);
}

TEST_CASE("a reader far behind reads the newest records, not the history",
          "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  const auto newest = [&] {
    return std::count_if(fixture.m_store.m_targets.begin(),
                         fixture.m_store.m_targets.end(),
                         [](const std::string& aTarget) {
                           return aTarget.find("log-newest") !=
                                  std::string::npos;
                         });
  };
  const auto before = newest();
  REQUIRE(fixture.m_reader.Refresh({ 0, 6 }));
  fixture.RunFor(Millis(50));
  CHECK(newest() == before);
  fixture.RunFor(Millis(700));
  REQUIRE(fixture.m_reader.Refresh({ 0, 8 }));
  fixture.RunFor(Millis(50));
  CHECK(newest() == before + 1);
}

TEST_CASE("relayed records end the read of a paused reader", "[store]")
{
  Fixture fixture;
  fixture.m_reader.Start();
  fixture.RunFor(Millis(100));
  fixture.m_reader.Pause();
  REQUIRE(fixture.m_reader.Refresh());
  fixture.RunFor(Millis(20)); // the call is in flight
  CHECK(fixture.m_reader.Accept(5, { 0, 7 }, { { 6, "b", "x" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_delivered.back() == "b=x");
}
