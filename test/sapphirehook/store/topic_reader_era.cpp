#include "platform/protocol.hpp"
#include "platform/standin_formats.hpp"
#include "sapphirehook/store/topic_reader.hpp"
#include "soak/delayed_calls.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace sapphirehook;

namespace {

/** A store on loopback that holds one topic and can be restored. */
class RestorableStore
{
public:
  explicit RestorableStore(EventLoop& aLoop)
    : m_address(support::FreeAddress())
    , m_server(aLoop,
               [this](const HttpExchangePtr& aExchange) { OnCall(aExchange); })
  {
    REQUIRE(m_server.Listen(m_address));
  }

  void Append(const std::string& aKey, const std::string& aValue)
  {
    m_records.push_back({ m_records.size(), aKey, aValue });
    AnswerReaders();
  }

  /** Restores the store to the first records. Reads that wait stay open. */
  void Restore(std::size_t aRecords)
  {
    m_records.resize(aRecords);
    ++m_era;
  }

  /** Answers the reads that wait, as of an era. */
  void AnswerReaders()
  {
    for (const auto& [exchange, from] : std::exchange(m_waiting, {})) {
      Answer(exchange, Read(from));
    }
  }

  /** Returns the page of records from an offset on. */
  HttpReply Read(Offset aFrom) const
  {
    return aFrom > m_records.size()
             ? platform::ForgottenReply(0)
             : platform::ReadReply(
                 m_records.size(),
                 0,
                 { m_records.begin() + static_cast<std::ptrdiff_t>(aFrom),
                   m_records.end() });
  }

  StoreEra m_era = 1;
  /** Whether the store rejects calls. */
  bool m_isBusy = false;
  /** Era in answers, if it is not m_era. */
  std::optional<StoreEra> m_answeredEra;
  unsigned m_newestCalls = 0;
  sockaddr_in m_address;

private:
  void Answer(const HttpExchangePtr& aExchange, HttpReply aReply) const
  {
    platform::AddStoreEra(aReply, m_answeredEra.value_or(m_era));
    aExchange->Answer(aReply);
  }

  void OnCall(const HttpExchangePtr& aExchange)
  {
    if (m_isBusy) {
      Answer(aExchange, { 503 });
      return;
    }
    const auto call =
      platform::ReadStoreCall(aExchange->m_head, aExchange->m_body);
    REQUIRE(call.ok());
    if (call->m_kind == platform::StoreCallKind::Newest) {
      ++m_newestCalls;
      std::map<std::string, KeyedRecord> newest;
      for (const auto& record : m_records) {
        newest[record.m_key] = record;
      }
      std::vector<KeyedRecord> items;
      for (const auto& [key, record] : newest) {
        items.push_back(record);
      }
      Answer(aExchange, platform::NewestReply(m_records.size(), false, items));
    } else if (call->m_from == m_records.size() && call->m_wait > Millis(0)) {
      m_waiting.emplace_back(aExchange, call->m_from);
    } else {
      Answer(aExchange, Read(call->m_from));
    }
  }

  std::vector<KeyedRecord> m_records;
  std::vector<std::pair<HttpExchangePtr, Offset>> m_waiting;
  HttpServer m_server;
};

/** A reader of a store that is restored, and the state that it delivers. */
class Fixture
{
public:
  explicit Fixture(StoreEra aFirstEra = 1)
    : m_protocol(platform::Protocol())
    , m_store(m_loop)
    , m_reader(m_loop,
               m_protocol.m_store,
               m_store.m_address,
               "keyed.t",
               { .m_wait = Millis(2000), .m_gather = Millis(5) },
               Events())
  {
    m_store.m_era = aFirstEra;
    m_store.Append("a", "1");
    m_store.Append("b", "1");
    m_store.Append("c", "1");
    m_store.Append("a", "2");
    m_reader.Start();
    support::RunFor(m_loop, Millis(100));
    REQUIRE(m_state.size() == 3);
    REQUIRE(m_reader.Position() == StorePosition{ aFirstEra, 4 });
    m_confirmations.clear();
    m_eras.clear();
  }

  void RunFor(Millis aTime) { support::RunFor(m_loop, aTime); }

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  RestorableStore m_store;
  std::map<std::string, std::string> m_state;
  std::vector<EndConfirmation> m_confirmations;
  std::vector<Offset> m_batches;
  std::vector<StoreAnswer> m_failures;
  std::vector<StoreEra> m_eras;
  TopicReader m_reader;

private:
  TopicEvents Events()
  {
    TopicEvents events;
    events.m_onRecord = [this](const KeyedRecord& aRecord) {
      if (aRecord.m_value) {
        m_state[aRecord.m_key] = *aRecord.m_value;
      } else {
        m_state.erase(aRecord.m_key);
      }
    };
    events.m_onBatch =
      [this](Offset aFrom, Offset, const std::vector<KeyedRecord>&) {
        m_batches.push_back(aFrom);
      };
    events.m_onCaughtUp = [this](const EndConfirmation& aConfirmation) {
      m_confirmations.push_back(aConfirmation);
    };
    events.m_onFailure = [this](const ReadFailure& aFailure) {
      m_failures.push_back(aFailure.m_answer);
    };
    events.m_onEra = [this](StoreEra aEra) { m_eras.push_back(aEra); };
    return events;
  }
};

const std::map<std::string, std::string> kRestored{ { "a", "1" },
                                                    { "b", "3" } };

} // namespace

TEST_CASE("a reader reads a restored store again", "[store][era]")
{
  // Guards against a reader that continues at its offset of the earlier era:
  // it keeps keys that the store has lost and misses those written since.
  Fixture fixture;
  SECTION("upon an answer to a read from a reused offset")
  {
    fixture.m_store.Restore(2);
    fixture.m_store.Append("b", "3");
    fixture.m_store.Append("b", "3"); // the end is as before
  }
  SECTION("upon an answer to a read beyond the end")
  {
    fixture.m_store.Restore(2);
    fixture.m_store.Append("b", "3");
  }
  SECTION("upon a failed answer, once the store answers")
  {
    fixture.m_store.Restore(2);
    fixture.m_store.m_isBusy = true;
    fixture.m_reader.Probe();
    fixture.RunFor(Millis(100));
    CHECK(fixture.m_eras == std::vector<StoreEra>{
                              2,
                            });
    CHECK_FALSE(fixture.m_reader.IsCurrent());
    CHECK(fixture.m_state.size() == 3);
    fixture.m_store.m_isBusy = false;
    fixture.m_store.Append("b", "3");
  }
  SECTION("upon what a peer reports")
  {
    fixture.m_store.Restore(2);
    fixture.m_reader.OnEra(2);
    fixture.m_store.Append("b", "3");
  }
  fixture.RunFor(Millis(700));
  CHECK(fixture.m_state == kRestored);
  CHECK(fixture.m_reader.Era() == 2);
  CHECK(fixture.m_reader.IsCurrent());
  CHECK(fixture.m_eras == std::vector<StoreEra>{ 2 });
  CHECK(fixture.m_reader.RestoredEnd() >= 2);
  // The peers get the whole set.
  REQUIRE_FALSE(fixture.m_batches.empty());
  CHECK(fixture.m_batches.front() == 0);
  for (const auto& confirmation : fixture.m_confirmations) {
    CHECK(confirmation.m_end.m_era == 2);
  }
}

TEST_CASE("a reader follows two restores in a row", "[store][era]")
{
  // Guards against keys of the first era that stay known when the second
  // restore comes before the reader has read all keys of the era between.
  Fixture fixture;
  fixture.m_store.Restore(3);
  fixture.m_store.m_isBusy = true;
  fixture.m_reader.Probe();
  fixture.RunFor(Millis(50));
  CHECK(fixture.m_reader.Era() == 2);
  fixture.m_store.Restore(1);
  fixture.m_store.m_isBusy = false;
  fixture.m_store.Append("b", "3");
  fixture.RunFor(Millis(700));
  CHECK(fixture.m_state == kRestored);
  CHECK(fixture.m_eras == std::vector<StoreEra>{ 2, 3 });
}

TEST_CASE("a reader does not use an answer of an earlier era", "[store][era]")
{
  // Guards against records and confirmations of before the restore that arrive
  // after a peer has reported it.
  Fixture fixture;
  SECTION("that is on its way when the era becomes known")
  {
    fixture.m_store.Append("d", "old");
    fixture.m_reader.OnEra(2);
    fixture.m_store.Restore(2);
    fixture.m_store.Append("b", "3");
  }
  SECTION("that the store still gives")
  {
    fixture.m_store.m_answeredEra = 1;
    fixture.m_reader.OnEra(2);
    fixture.RunFor(Millis(300));
    CHECK_FALSE(fixture.m_reader.IsCurrent());
    CHECK(fixture.m_confirmations.empty());
    REQUIRE_FALSE(fixture.m_failures.empty());
    CHECK(fixture.m_failures.back() == StoreAnswer::EarlierEra);
    CHECK(fixture.m_state.size() == 3);
    fixture.m_store.Restore(2);
    fixture.m_store.m_answeredEra.reset();
    fixture.m_store.Append("b", "3");
  }
  fixture.RunFor(Millis(1000));
  CHECK(fixture.m_state == kRestored);
}

TEST_CASE("a host that the store rejects gets a later era from its peers as a "
          "whole set only",
          "[store][era]")
{
  // Guards against records of the restored store that are taken as the
  // continuation of those of before.
  Fixture fixture;
  fixture.m_reader.Pause();
  CHECK(fixture.m_reader.Accept(4, { 2, 5 }, { { 4, "d", "x" } }) ==
        RelayOutcome::Gap);
  CHECK(fixture.m_state.size() == 3);
  CHECK(fixture.m_reader.Position() == StorePosition{ 2, 0 });
  CHECK(fixture.m_reader.Accept(
          0, { 2, 3 }, { { 0, "a", "1" }, { 2, "b", "3" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_state == kRestored);
  CHECK(fixture.m_reader.RestoredEnd() == 3);
  // Records of the earlier era are refused, also those of higher offsets.
  CHECK(fixture.m_reader.Accept(4, { 1, 9 }, { { 8, "d", "old" } }) ==
        RelayOutcome::EarlierEra);
  CHECK(fixture.m_reader.Accept(0, { 1, 9 }, { { 8, "d", "old" } }) ==
        RelayOutcome::EarlierEra);
  CHECK(fixture.m_state == kRestored);
  CHECK(fixture.m_reader.Accept(3, { 2, 4 }, { { 3, "b", "4" } }) ==
        RelayOutcome::Taken);
  CHECK(fixture.m_state.at("b") == "4");
  CHECK(fixture.m_reader.RestoredEnd() == 3);
}

TEST_CASE("a store without an era is read as before", "[store][era]")
{
  // Guards against a second read of all keys where nothing was restored.
  Fixture fixture(0);
  CHECK(fixture.m_eras.empty());
  CHECK(fixture.m_reader.RestoredEnd() == 0);
  CHECK(fixture.m_batches.empty());
  fixture.m_store.Append("d", "1");
  fixture.RunFor(Millis(100));
  CHECK(fixture.m_batches == std::vector<Offset>{ 4 });
  CHECK(fixture.m_store.m_newestCalls == 1);
}
