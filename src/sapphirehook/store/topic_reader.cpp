#include "sapphirehook/store/topic_reader.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** An answer to a call that does not wait begins within this time. */
constexpr Millis kCallTimeout{ 1500 };
/** A call is given up after this time, though its answer still comes: 1 MB, the
    most that the store answers, over a tenth of a link of 10 Mbit/s. */
constexpr Millis kMostTransfer{ 10'000 };
/** A call that waits for a record is given up this long after its wait; a slow
    store has been seen to take 0.3 s. */
constexpr Millis kAnswerSlack{ 800 };
/** An answer to what the store has at hand begins within this time; a slow
   store has been seen to take 0.3 s. */
constexpr Millis kFirstBytesWithin{ 600 };

unsigned
SeedOf(const std::string& aTopic, const void* aReader)
{
  return static_cast<unsigned>(
    std::hash<std::string>{}(aTopic) ^
    reinterpret_cast<std::uintptr_t>(aReader) ^
    static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count()));
}

/** Returns the last record of each key; those before it are out of date. */
std::vector<KeyedRecord>
NewestOfEachKey(const std::vector<KeyedRecord>& aRecords)
{
  std::map<std::string, Offset> last;
  for (const auto& record : aRecords) {
    last[record.m_key] = record.m_offset;
  }
  std::vector<KeyedRecord> newest;
  for (const auto& record : aRecords) {
    if (last[record.m_key] == record.m_offset) {
      newest.push_back(record);
    }
  }
  return newest;
}

} // namespace

TopicReader::TopicReader(EventLoop& aLoop,
                         const StoreProtocol& aProtocol,
                         sockaddr_in aStore,
                         std::string aTopic,
                         ReaderTimes aTimes,
                         TopicEvents aEvents,
                         std::size_t aMostValue)
  : m_protocol(aProtocol)
  , m_topic(std::move(aTopic))
  , m_times(aTimes)
  , m_events(std::move(aEvents))
  , m_mostValue(aMostValue)
  , m_client(aLoop, aStore)
  , m_timer(aLoop,
            [this] {
              if (m_readingNewest) {
                ReadNewest();
              } else {
                ReadOn();
              }
            })
  , m_backoff(m_times.m_firstPause,
              m_times.m_longestPause,
              SeedOf(m_topic, this))
{
}

void
TopicReader::Start()
{
  Next(Millis(0));
}

bool
TopicReader::Refresh(Offset aKnownEnd)
{
  const auto until = m_client.HasAnswerBegun()
                       ? m_client.LastBytesAt() + kAnswerIdleTimeout
                       : m_calledAt + kFirstBytesWithin;
  if (m_client.IsBusy() && BootClock::now() < until) {
    return false;
  }
  m_client.Abort();
  m_readingNewest =
    m_readingNewest ||
    (aKnownEnd > m_from && m_image.IsSmallerThan(aKnownEnd - m_from));
  Next(Millis(0));
  return true;
}

void
TopicReader::Probe()
{
  if (!m_readingNewest) {
    m_probing = true;
    m_client.Abort();
    Next(Millis(0));
  }
}

void
TopicReader::Stop()
{
  m_timer.Stop();
  m_client.Abort();
}

void
TopicReader::Pause()
{
  if (!m_paused && m_caughtUp && !m_readingNewest) {
    m_paused = true;
    Stop();
  }
}

void
TopicReader::Resume()
{
  if (m_paused) {
    m_paused = false;
    m_probing = true;
    m_timer.Start(Millis(0));
  }
}

RelayOutcome
TopicReader::Accept(Offset aFrom,
                    Offset aNext,
                    const std::vector<KeyedRecord>& aRecords)
{
  if (m_from >= aNext) {
    return RelayOutcome::Known;
  }
  if (!TakesRelays()) {
    return m_readingNewest ? RelayOutcome::ReadingNewest
                           : RelayOutcome::Reading;
  }
  if (m_from < aFrom) {
    return RelayOutcome::Gap;
  }
  if (m_paused) {
    Stop();
  } else if (m_client.IsBusy()) {
    // What that call brings would start before these records.
    m_client.Abort();
    Next(m_backoff.Next());
  }
  const Offset known = std::exchange(m_from, aNext);
  if (aFrom == 0) {
    RemoveUnlisted(aRecords, aNext - 1);
    m_image.OnWhole(aNext);
  }
  m_readingNewest = false;
  m_caughtUp = true;
  m_listed.clear();
  m_after.clear();
  for (const auto& record : aRecords) {
    if (record.m_offset >= known) {
      Give(record);
    }
  }
  return RelayOutcome::Taken;
}

void
TopicReader::Next(Millis aAfter)
{
  m_timer.Start(aAfter);
}

void
TopicReader::ReadNewest()
{
  m_calledAt = BootClock::now();
  if (m_after.empty()) {
    m_newestAskedAt = m_calledAt;
  }
  m_client.Call(
    m_protocol.m_newest(m_topic, m_after),
    kCallTimeout,
    [this](const CallResult& aResult) {
      OnNewest(m_protocol.m_parseNewest(aResult), aResult);
    },
    kMostTransfer);
}

void
TopicReader::OnNewest(const KeyedPage& aPage, const CallResult& aResult)
{
  if (aPage.m_answer != StoreAnswer::Ok) {
    m_after.clear();
    m_listed.clear();
    OnFault(aPage.m_answer, aResult);
    return;
  }
  TellUnreadable(aPage);
  if (m_after.empty()) {
    m_newestEnd = aPage.m_end;
  }
  for (const auto& record : aPage.m_records) {
    m_after = record.m_key;
    m_listed.push_back({ record.m_offset, record.m_key, std::nullopt });
    Give(record);
  }
  if (aPage.m_hasMore && !aPage.m_records.empty()) {
    ReadNewest();
    return;
  }
  FinishNewest();
}

void
TopicReader::FinishNewest()
{
  // A key that is no longer listed was removed by a forgotten record.
  RemoveUnlisted(m_listed, m_newestEnd);
  m_image.OnWhole(m_newestEnd);
  m_listed.clear();
  m_after.clear();
  // Pages are not a snapshot: what changed meanwhile is read again.
  m_from = std::max(m_from, m_newestEnd);
  m_readingNewest = false;
  const bool first = !std::exchange(m_caughtUp, true);
  m_backoff.Reset();
  m_unserved = false;
  Prove(m_newestAskedAt, m_newestAskedAt);
  Next(first ? std::max(m_times.m_afterNewest, m_times.m_gather)
             : m_times.m_gather);
}

void
TopicReader::Prove(TimePoint aAt, TimePoint aAskedAt)
{
  m_provenAt = std::max(m_provenAt, aAt);
  m_events.m_onCaughtUp({ m_from, aAt, aAskedAt });
}

/** After records the next call waits the less, so that the time between two
    proofs stays the same. */
Millis
TopicReader::WaitOfNextCall()
{
  if (m_paused || std::exchange(m_probing, false)) {
    return Millis(0);
  }
  const auto sinceProof =
    std::chrono::duration_cast<Millis>(m_calledAt - m_provenAt);
  return std::clamp(m_times.m_wait - sinceProof, Millis(0), m_times.m_wait);
}

void
TopicReader::ReadOn()
{
  m_calledAt = BootClock::now();
  m_calledWait = WaitOfNextCall();
  const Millis wait = m_calledWait;
  const Millis slack = m_paused ? kCallTimeout : kAnswerSlack;
  m_client.Call(
    m_protocol.m_read(m_topic, m_from, wait),
    wait + slack,
    [this](const CallResult& aResult) {
      OnRead(m_protocol.m_parseRead(aResult, m_from), aResult);
    },
    wait + kMostTransfer);
}

void
TopicReader::OnRead(const KeyedPage& aPage, const CallResult& aResult)
{
  if (aPage.m_answer == StoreAnswer::Forgotten) {
    m_readingNewest = true;
    Next(Millis(0));
    return;
  }
  if (aPage.m_answer != StoreAnswer::Ok) {
    OnFault(aPage.m_answer, aResult);
    return;
  }
  TellUnreadable(aPage);
  m_backoff.Reset();
  m_unserved = false;
  if (!aPage.m_records.empty()) {
    const Offset from =
      std::exchange(m_from, aPage.m_records.back().m_offset + 1);
    const auto newest = NewestOfEachKey(aPage.m_records);
    for (const auto& record : newest) {
      Give(record);
    }
    if (m_events.m_onBatch) {
      m_events.m_onBatch(from, m_from, newest);
    }
  }
  if (m_from >= aPage.m_end) {
    // An empty answer that came when the wait was over: there was no record
    // until then.
    const bool waited =
      aPage.m_records.empty() && BootClock::now() >= m_calledAt + m_calledWait;
    Prove(waited ? m_calledAt + m_calledWait : m_calledAt, m_calledAt);
  }
  if (m_paused && m_from >= aPage.m_end) {
    return;
  }
  Next(aPage.m_records.empty() ? Millis(0) : m_times.m_gather);
}

void
TopicReader::RemoveUnlisted(const std::vector<KeyedRecord>& aListed,
                            Offset aOffset)
{
  for (const auto& key : m_image.KeysBeside(aListed)) {
    Give({ aOffset, key, std::nullopt });
  }
}

void
TopicReader::Give(const KeyedRecord& aRecord)
{
  if (aRecord.m_value && aRecord.m_value->size() > m_mostValue) {
    Give({ aRecord.m_offset, aRecord.m_key, std::string() });
    return;
  }
  m_image.Add(aRecord);
  m_events.m_onRecord(aRecord);
}

void
TopicReader::TellUnreadable(const KeyedPage& aPage) const
{
  if (aPage.m_unreadable > 0 && m_events.m_onUnreadable) {
    m_events.m_onUnreadable(aPage.m_unreadable);
  }
}

void
TopicReader::OnFault(StoreAnswer aAnswer, const CallResult& aResult)
{
  m_unserved = true;
  m_events.m_onTrouble(
    { aAnswer, BootClock::now() - m_calledAt, aResult.m_answer.m_body.size() });
  Next(m_backoff.Next());
}

} // namespace sapphirehook
