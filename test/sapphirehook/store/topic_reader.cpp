#include "sapphirehook/store/topic_reader.hpp"

#include "platform/protocol.hpp"
#include "platform/record_bytes.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/delayed_calls.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

/** A store on loopback that answers what a test tells it to. */
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

  /** Returns the body of the answer to a target; nothing leaves it open. */
  std::function<std::optional<std::string>(const std::string&)> m_answer;
  /** Returns the first bytes of a body of a size, of which no more come. */
  std::function<std::optional<std::string>(const std::string&)> m_partial;
  std::size_t m_wholeSize = 0;
  /** Answers take this long. */
  Millis m_answersAfter{};
  /** A body that comes in pieces, with a pause between. */
  struct Pieces
  {
    std::string m_body;
    std::size_t m_size = 0;
    Millis m_pause{};
  };
  std::optional<Pieces> m_pieces;
  std::vector<std::string> m_asked;
  sockaddr_in m_address;

private:
  void OnCall(const HttpExchangePtr& aExchange)
  {
    const auto target = aExchange->m_head.m_target;
    m_asked.push_back(target);
    const auto partial = m_partial ? m_partial(target) : std::nullopt;
    if (m_pieces) {
      aExchange->AnswerRaw("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(m_pieces->m_body.size()) +
                           "\r\n\r\n");
      SendPiece(aExchange, 0);
    } else if (partial) {
      aExchange->AnswerRaw("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(m_wholeSize) + "\r\n\r\n" + *partial);
    } else if (const auto body = m_answer(target)) {
      m_delayed.After(m_answersAfter, [aExchange, body] {
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

/** A page of records as the store sends it: keys with their values. */
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

/** A reader of a fake store, and what it gives. */
class Bed
{
public:
  Bed()
    : m_protocol(platform::Protocol())
    , m_store(m_loop)
    , m_reader(
        m_loop,
        m_protocol.m_store,
        m_store.m_address,
        "keyed.t",
        { .m_wait = Millis(2000), .m_gather = Millis(5) },
        { [this](const KeyedRecord& aRecord) {
           m_given.push_back(aRecord.m_key + "=" +
                             aRecord.m_value.value_or("-"));
         },
          [this](Offset aFrom,
                 Offset aNext,
                 const std::vector<KeyedRecord>& aRecords) {
            m_batches.push_back({ "keyed.t", aFrom, aNext, aRecords });
          },
          [this](const EndConfirmation& aProof) { m_proofs.push_back(aProof); },
          [this](const ReadFailure&) { ++m_troubles; } })
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
  std::vector<std::string> m_given;
  std::vector<Batch> m_batches;
  unsigned m_troubles = 0;
  std::vector<EndConfirmation> m_proofs;
  /** What the next read that waits is answered. */
  std::optional<std::string> m_page;
  TopicReader m_reader;
};

} // namespace

TEST_CASE("a read gives the newest record of each key, and all as one batch",
          "[store]")
{
  Bed bed;
  bed.m_page = Page(8, { { "a", "2" }, { "b", "1" }, { "a", "3" } });
  bed.m_reader.Start();
  bed.RunFor(Millis(150));
  CHECK(bed.m_given == std::vector<std::string>{ "a=1", "b=1", "a=3" });
  REQUIRE(bed.m_batches.size() == 1);
  CHECK(bed.m_batches[0].m_from == 5);
  CHECK(bed.m_batches[0].m_next == 8);
  CHECK(bed.m_batches[0].m_records.size() == 2);
  CHECK(bed.m_reader.End() == 8);
}

TEST_CASE("a paused reader takes what is passed on, and calls nobody",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  const auto asked = bed.m_store.m_asked.size();
  SECTION("what follows on its records")
  {
    CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) ==
          RelayOutcome::Taken);
    CHECK(bed.m_reader.End() == 7);
    CHECK(bed.m_given.back() == "b=x");
  }
  SECTION("of what overlaps, the part that is new")
  {
    CHECK(bed.m_reader.Accept(3, 7, { { 4, "a", "old" }, { 6, "b", "x" } }) ==
          RelayOutcome::Taken);
    CHECK(bed.m_given == std::vector<std::string>{ "a=1", "b=x" });
  }
  SECTION("nothing after a gap, or of what it has")
  {
    CHECK(bed.m_reader.Accept(6, 7, { { 6, "b", "x" } }) == RelayOutcome::Gap);
    CHECK(bed.m_reader.Accept(2, 5, { { 4, "a", "old" } }) ==
          RelayOutcome::Known);
    CHECK(bed.m_reader.End() == 5);
  }
  bed.RunFor(Millis(100));
  CHECK(bed.m_store.m_asked.size() == asked);
  CHECK(bed.m_batches.empty());
}

TEST_CASE("a read that stays without an answer is made anew", "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  // The store holds the call open, though a record has come.
  const auto asked = bed.m_store.m_asked.size();
  CHECK_FALSE(bed.m_reader.Refresh());
  bed.RunFor(Millis(650));
  bed.m_page = Page(6, { { "b", "1" } });
  CHECK(bed.m_reader.Refresh());
  bed.RunFor(Millis(100));
  CHECK(bed.m_store.m_asked.size() >= asked + 1);
  CHECK(bed.m_given.back() == "b=1");
}

TEST_CASE("an empty answer proves the end of a topic up to the end of its wait",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(5, {}));
  };
  bed.m_reader.SetTimes({ .m_wait = Millis(100), .m_gather = Millis(5) });
  const auto proofsBeyondTheCall = [&] {
    bed.m_reader.Probe();
    bed.RunFor(Millis(50)); // the call that does not wait is over
    bed.m_proofs.clear();
    bed.RunFor(Millis(400));
    REQUIRE_FALSE(bed.m_proofs.empty());
    return std::count_if(bed.m_proofs.begin(),
                         bed.m_proofs.end(),
                         [](const EndConfirmation& aProof) {
                           CHECK(aProof.m_end == 5);
                           CHECK(aProof.m_at <= aProof.m_askedAt + Millis(100));
                           return aProof.m_at > aProof.m_askedAt;
                         });
  };
  SECTION("when it came once the wait was over")
  {
    bed.m_store.m_answersAfter = Millis(60);
    CHECK(proofsBeyondTheCall() > 0);
  }
  SECTION("and no more than the moment of the call, when it came before")
  {
    CHECK(proofsBeyondTheCall() == 0);
  }
}

TEST_CASE("a reader proves the end of its topic as often as it is told to",
          "[store]")
{
  Bed bed;
  bed.m_reader.SetTimes({ .m_wait = Millis(200), .m_gather = Millis(100) });
  bed.m_reader.Start();
  bed.RunFor(Millis(50));
  const auto waitOf = [](const std::string& aTarget) {
    constexpr std::string_view kName = "wait-ms=";
    const auto at = aTarget.find(kName);
    return at == std::string::npos
             ? 0
             : std::stoi(aTarget.substr(at + kName.size()));
  };
  // A record comes when its call has waited for long: the next call waits the
  // less.
  bed.RunFor(Millis(150));
  REQUIRE_FALSE(bed.m_store.m_asked.empty());
  CHECK(waitOf(bed.m_store.m_asked.back()) > 0);
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(6, { { "b", "1" } }));
  };
  bed.m_reader.Probe();
  bed.RunFor(Millis(20));
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>{};
  };
  bed.RunFor(Millis(200));
  CHECK(waitOf(bed.m_store.m_asked.back()) <= 100);
}

TEST_CASE("a reader that follows the store again asks at once", "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  bed.m_store.m_asked.clear();
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(5, {}));
  };
  const auto proofs = bed.m_proofs.size();
  bed.m_reader.Resume();
  bed.RunFor(Millis(30));
  REQUIRE_FALSE(bed.m_store.m_asked.empty());
  CHECK(bed.m_proofs.size() > proofs);
}

TEST_CASE("a large answer that comes slowly is waited for", "[store]")
{
  Bed bed;
  const auto page = Page(6, { { "b", std::string(4000, 'x') } });
  bed.m_reader.Start();
  bed.m_store.m_partial = [&](const std::string& aTarget) {
    return aTarget.find("log-read") != std::string::npos
             ? std::optional(page.substr(0, 1000))
             : std::nullopt;
  };
  bed.m_store.m_wholeSize = page.size();
  bed.RunFor(Millis(800));
  CHECK_FALSE(bed.m_reader.Refresh());
  CHECK(bed.m_troubles == 0);
}

TEST_CASE("a reader that the store does not serve takes what is passed on",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  // While it follows the topic by itself, its own reads bring the records.
  CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) ==
        RelayOutcome::Reading);
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>("not a page");
  };
  bed.m_reader.Probe();
  bed.RunFor(Millis(100));
  REQUIRE(bed.m_troubles > 0);
  CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) == RelayOutcome::Taken);
  CHECK(bed.m_given.back() == "b=x");
  // Once it is served again it goes on behind them. A call that was under way
  // is given up; what the store has read of it comes first.
  bed.RunFor(Millis(20));
  bed.m_store.m_asked.clear();
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional(Page(8, { { "c", "1" } }));
  };
  bed.RunFor(Millis(800));
  REQUIRE_FALSE(bed.m_store.m_asked.empty());
  CHECK(bed.m_store.m_asked.front().find("7") != std::string::npos);
  CHECK(bed.m_given.back() == "c=1");
  CHECK(bed.m_reader.Accept(8, 9, { { 8, "d", "x" } }) != RelayOutcome::Taken);
}

TEST_CASE("an answer that comes slowly is read to its end", "[store]")
{
  Bed bed;
  const auto page = Page(6, { { "b", std::string(4000, 'x') } });
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  // A crowded link: a piece each 200 ms, 4 s in all.
  bed.m_store.m_pieces = { page, 200, Millis(200) };
  REQUIRE(bed.m_reader.Refresh());
  bed.RunFor(Millis(4700));
  CHECK(bed.m_troubles == 0);
  CHECK(bed.m_reader.End() == 6);
}

TEST_CASE("an answer without end is given up", "[store]")
{
  Bed bed;
  const auto page = Page(6, { { "b", std::string(100'000, 'x') } });
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  bed.m_store.m_pieces = { page, 1, Millis(100) };
  REQUIRE(bed.m_reader.Refresh());
  bed.RunFor(Millis(12'000));
  CHECK(bed.m_troubles > 0);
}

TEST_CASE("a reader whose own call brings nothing takes what peers have",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  CHECK_FALSE(bed.m_reader.AcceptsRelays());
  bed.m_reader.DependOnRelays();
  CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) == RelayOutcome::Taken);
  CHECK(bed.m_troubles == 0);
  // Once a call has been served it follows the topic by itself again.
  bed.m_page = Page(8, { { "c", "1" } });
  bed.RunFor(Millis(400));
  CHECK(bed.m_given.back() == "c=1");
  CHECK_FALSE(bed.m_reader.AcceptsRelays());
}

TEST_CASE("a reader that starts without the store takes all keys from a peer",
          "[store]")
{
  Bed bed;
  bed.m_store.m_answer = [](const std::string&) {
    return std::optional<std::string>("not a page");
  };
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  CHECK_FALSE(bed.m_reader.IsCaughtUp());
  CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) == RelayOutcome::Gap);
  CHECK(bed.m_reader.Accept(0, 7, { { 6, "b", "x" } }) == RelayOutcome::Taken);
  CHECK(bed.m_reader.IsCaughtUp());
  CHECK(bed.m_reader.End() == 7);
}

TEST_CASE("a batch of all keys removes those that are not in it", "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  CHECK(bed.m_reader.Accept(0, 9, { { 8, "b", "x" } }) == RelayOutcome::Taken);
  CHECK(bed.m_given == std::vector<std::string>{ "a=1", "a=-", "b=x" });
  CHECK(bed.m_reader.Compacted().Since(0).size() == 1);
}

TEST_CASE("a reader far behind reads the newest records, not the history",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  const auto newest = [&] {
    return std::count_if(bed.m_store.m_asked.begin(),
                         bed.m_store.m_asked.end(),
                         [](const std::string& aTarget) {
                           return aTarget.find("log-newest") !=
                                  std::string::npos;
                         });
  };
  const auto before = newest();
  REQUIRE(bed.m_reader.Refresh(6));
  bed.RunFor(Millis(50));
  CHECK(newest() == before);
  bed.RunFor(Millis(700));
  REQUIRE(bed.m_reader.Refresh(8));
  bed.RunFor(Millis(50));
  CHECK(newest() == before + 1);
}

TEST_CASE("records that are passed on end a paused reader's own read",
          "[store]")
{
  Bed bed;
  bed.m_reader.Start();
  bed.RunFor(Millis(100));
  bed.m_reader.Pause();
  REQUIRE(bed.m_reader.Refresh());
  bed.RunFor(Millis(20)); // the call is under way
  CHECK(bed.m_reader.Accept(5, 7, { { 6, "b", "x" } }) == RelayOutcome::Taken);
  CHECK(bed.m_given.back() == "b=x");
}
