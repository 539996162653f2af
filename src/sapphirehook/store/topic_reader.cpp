#include "sapphirehook/store/topic_reader.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** Time until the answer to a call without a wait has to begin. */
constexpr Millis kCallTimeout{ 1500 };
/** A call is aborted after this time even if its answer is still arriving. The
    time covers 1 MB, the largest answer of the store, over a tenth of a 10
    Mbit/s link. */
constexpr Millis kMaxTransferTime{ 10'000 };
/** A call that waits for a record is aborted this long after the end of its
    wait. A slow store has been observed to take 0.3 s. */
constexpr Millis kAnswerMargin{ 800 };
/** Time within which the store begins to answer with available records. A slow
    store has been observed to take 0.3 s. */
constexpr Millis kFirstByteTimeout{ 600 };

unsigned
SeedOf(const std::string& aTopic, const void* aReader)
{
  return static_cast<unsigned>(
    std::hash<std::string>{}(aTopic) ^
    reinterpret_cast<std::uintptr_t>(aReader) ^
    static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count()));
}

/** Returns the last record of each key, without the records it supersedes. */
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
                         std::size_t aMaxValueBytes)
  : m_protocol(aProtocol)
  , m_topic(std::move(aTopic))
  , m_times(aTimes)
  , m_events(std::move(aEvents))
  , m_maxValueBytes(aMaxValueBytes)
  , m_client(aLoop, aStore)
  , m_timer(aLoop,
            [this] {
              if (m_readingNewest) {
                ReadNewest();
              } else {
                ReadNextRecords();
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

void
TopicReader::OnEra(StoreEra aEra)
{
  if (aEra <= m_era) {
    return;
  }
  m_client.Abort();
  BeginEra(aEra);
  if (!m_paused) {
    Next(Millis(0));
  }
}

/** Discards what is valid only within an era. The keys stay known, so that the
    ones that the store has lost can be reported as removed. */
void
TopicReader::BeginEra(StoreEra aEra)
{
  m_era = aEra;
  if (m_events.m_onEra) {
    m_events.m_onEra(aEra);
  }
  m_hasEarlierEra = m_hasEarlierEra || m_caughtUp;
  for (auto& key : m_compacted.KeysNotIn({})) {
    m_earlierKeys.insert(std::move(key));
  }
  m_compacted = {};
  m_nextOffset = 0;
  m_newestEnd = 0;
  m_restoredEnd = 0;
  m_listed.clear();
  m_lastListedKey.clear();
  m_readingNewest = true;
}

/** Returns whether a page has to be discarded because it is of an earlier era
    than the present one. */
bool
TopicReader::IsEarlierEra(const KeyedPage& aPage) const noexcept
{
  return aPage.m_era < m_era && (aPage.m_answer == StoreAnswer::Ok ||
                                 aPage.m_answer == StoreAnswer::Forgotten);
}

bool
TopicReader::Refresh(StorePosition aKnownEnd)
{
  const auto until = m_client.HasAnswerBegun()
                       ? m_client.LastBytesAt() + kAnswerIdleTimeout
                       : m_calledAt + kFirstByteTimeout;
  if (m_client.IsBusy() && BootClock::now() < until) {
    return false;
  }
  m_client.Abort();
  if (aKnownEnd.m_era > m_era) {
    BeginEra(aKnownEnd.m_era);
  }
  m_readingNewest =
    m_readingNewest ||
    (aKnownEnd > Position() &&
     m_compacted.IsSmallerThan(aKnownEnd.m_offset - m_nextOffset));
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
                    StorePosition aNext,
                    const std::vector<KeyedRecord>& aRecords)
{
  if (aNext.m_era < m_era) {
    return RelayOutcome::EarlierEra;
  }
  OnEra(aNext.m_era);
  if (Position() >= aNext) {
    return RelayOutcome::Known;
  }
  if (!AcceptsRelays()) {
    return m_readingNewest ? RelayOutcome::ReadingNewest
                           : RelayOutcome::Reading;
  }
  if (m_nextOffset < aFrom) {
    return RelayOutcome::Gap;
  }
  if (m_paused) {
    Stop();
  } else if (m_client.IsBusy()) {
    // The answer to that call would start before these records.
    m_client.Abort();
    Next(m_backoff.Next());
  }
  const Offset known = std::exchange(m_nextOffset, aNext.m_offset);
  if (aFrom == 0) {
    if (m_hasEarlierEra && !IsCurrent()) {
      m_restoredEnd = aNext.m_offset;
    }
    RemoveUnlisted(aRecords, aNext.m_offset - 1);
    m_compacted.OnAllKeysKnown(aNext.m_offset);
  }
  m_readingNewest = false;
  m_caughtUp = true;
  m_listed.clear();
  m_lastListedKey.clear();
  for (const auto& record : aRecords) {
    if (record.m_offset >= known) {
      Deliver(record);
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
  if (m_lastListedKey.empty()) {
    m_newestAskedAt = m_calledAt;
  }
  m_client.Call(
    m_protocol.m_newest(m_topic, m_lastListedKey),
    kCallTimeout,
    [this](const CallResult& aResult) {
      OnNewest(m_protocol.m_parseNewest(aResult), aResult);
    },
    kMaxTransferTime);
}

void
TopicReader::OnNewest(const KeyedPage& aPage, const CallResult& aResult)
{
  if (IsEarlierEra(aPage)) {
    m_lastListedKey.clear();
    m_listed.clear();
    OnReadFailed(StoreAnswer::EarlierEra, aResult);
    return;
  }
  if (aPage.m_era > m_era) {
    const bool isFirstPage = m_lastListedKey.empty();
    BeginEra(aPage.m_era);
    if (aPage.m_answer == StoreAnswer::Ok && !isFirstPage) {
      // The pages before this one are of the earlier era.
      Next(Millis(0));
      return;
    }
  }
  if (aPage.m_answer != StoreAnswer::Ok) {
    m_lastListedKey.clear();
    m_listed.clear();
    OnReadFailed(aPage.m_answer, aResult);
    return;
  }
  ReportUnreadable(aPage);
  if (m_lastListedKey.empty()) {
    m_newestEnd = aPage.m_end;
    if (m_hasEarlierEra && !IsCurrent()) {
      m_restoredEnd = m_newestEnd;
    }
  }
  for (const auto& record : aPage.m_records) {
    m_lastListedKey = record.m_key;
    m_listed.push_back({ record.m_offset, record.m_key, std::nullopt });
    Deliver(record);
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
  // A known key that is not listed was removed by a record that the store no
  // longer keeps.
  const bool isFirstOfEra = m_hasEarlierEra && !IsCurrent();
  RemoveUnlisted(m_listed, m_newestEnd);
  m_compacted.OnAllKeysKnown(m_newestEnd);
  m_listed.clear();
  m_lastListedKey.clear();
  // The pages are not a consistent snapshot. Reading continues at the end of
  // the first page, which returns the changes made while paging.
  m_nextOffset = std::max(m_nextOffset, m_newestEnd);
  m_readingNewest = false;
  const bool first = !std::exchange(m_caughtUp, true);
  m_backoff.Reset();
  m_dependsOnRelays = false;
  ConfirmEnd(m_newestAskedAt, m_newestAskedAt);
  if (isFirstOfEra && m_events.m_onBatch) {
    // The other daemons need all keys, which no continuation contains.
    m_events.m_onBatch(0, m_nextOffset, m_compacted.Since(0));
  }
  Next(first ? std::max(m_times.m_afterNewest, m_times.m_gather)
             : m_times.m_gather);
}

void
TopicReader::ConfirmEnd(TimePoint aAt, TimePoint aAskedAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aAt);
  m_events.m_onCaughtUp({ Position(), aAt, aAskedAt });
}

/** Returns how long the next call waits. The time since the last confirmation
    is subtracted, so that the interval between two confirmations stays constant
    when records arrive. */
Millis
TopicReader::WaitOfNextCall()
{
  if (m_paused || std::exchange(m_probing, false)) {
    return Millis(0);
  }
  const auto sinceConfirmation =
    std::chrono::duration_cast<Millis>(m_calledAt - m_confirmedAt);
  return std::clamp(
    m_times.m_wait - sinceConfirmation, Millis(0), m_times.m_wait);
}

void
TopicReader::ReadNextRecords()
{
  m_calledAt = BootClock::now();
  m_calledWait = WaitOfNextCall();
  const Millis wait = m_calledWait;
  const Millis slack = m_paused ? kCallTimeout : kAnswerMargin;
  m_client.Call(
    m_protocol.m_read(m_topic, m_nextOffset, wait),
    wait + slack,
    [this](const CallResult& aResult) {
      OnRead(m_protocol.m_parseRead(aResult, m_nextOffset), aResult);
    },
    wait + kMaxTransferTime);
}

void
TopicReader::OnRead(const KeyedPage& aPage, const CallResult& aResult)
{
  if (IsEarlierEra(aPage)) {
    OnReadFailed(StoreAnswer::EarlierEra, aResult);
    return;
  }
  if (aPage.m_era > m_era) {
    BeginEra(aPage.m_era);
    if (aPage.m_answer == StoreAnswer::Ok) {
      // The offset of the call means nothing in this era.
      Next(Millis(0));
      return;
    }
  }
  if (aPage.m_answer == StoreAnswer::Forgotten) {
    m_readingNewest = true;
    Next(Millis(0));
    return;
  }
  if (aPage.m_answer != StoreAnswer::Ok) {
    OnReadFailed(aPage.m_answer, aResult);
    return;
  }
  ReportUnreadable(aPage);
  m_backoff.Reset();
  m_dependsOnRelays = false;
  if (!aPage.m_records.empty()) {
    const Offset from =
      std::exchange(m_nextOffset, aPage.m_records.back().m_offset + 1);
    const auto newest = NewestOfEachKey(aPage.m_records);
    for (const auto& record : newest) {
      Deliver(record);
    }
    if (m_events.m_onBatch) {
      m_events.m_onBatch(from, m_nextOffset, newest);
    }
  }
  if (m_nextOffset >= aPage.m_end) {
    // An empty answer after the full wait confirms that no record had been
    // appended by the end of the wait.
    const bool waited =
      aPage.m_records.empty() && BootClock::now() >= m_calledAt + m_calledWait;
    ConfirmEnd(waited ? m_calledAt + m_calledWait : m_calledAt, m_calledAt);
  }
  if (m_paused && m_nextOffset >= aPage.m_end) {
    return;
  }
  Next(aPage.m_records.empty() ? Millis(0) : m_times.m_gather);
}

void
TopicReader::RemoveUnlisted(const std::vector<KeyedRecord>& aListed,
                            Offset aOffset)
{
  for (const auto& record : aListed) {
    m_earlierKeys.erase(record.m_key);
  }
  for (const auto& key : m_compacted.KeysNotIn(aListed)) {
    m_earlierKeys.insert(key);
  }
  for (const auto& key : std::exchange(m_earlierKeys, {})) {
    Deliver({ aOffset, key, std::nullopt });
  }
}

void
TopicReader::Deliver(const KeyedRecord& aRecord)
{
  if (aRecord.m_value && aRecord.m_value->size() > m_maxValueBytes) {
    Deliver({ aRecord.m_offset, aRecord.m_key, std::string() });
    return;
  }
  m_compacted.Add(aRecord);
  m_events.m_onRecord(aRecord);
}

void
TopicReader::ReportUnreadable(const KeyedPage& aPage) const
{
  if (aPage.m_unreadable > 0 && m_events.m_onUnreadable) {
    m_events.m_onUnreadable(aPage.m_unreadable);
  }
}

void
TopicReader::OnReadFailed(StoreAnswer aAnswer, const CallResult& aResult)
{
  m_dependsOnRelays = true;
  m_events.m_onFailure(
    { aAnswer, BootClock::now() - m_calledAt, aResult.m_answer.m_body.size() });
  Next(m_backoff.Next());
}

} // namespace sapphirehook
