#ifndef SAPPHIREHOOK_STORE_TOPIC_READER_HPP
#define SAPPHIREHOOK_STORE_TOPIC_READER_HPP

#include "sapphirehook/core/backoff.hpp"
#include "sapphirehook/store/compacted_topic.hpp"
#include "sapphirehook/store/store_protocol.hpp"

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** Details of a call that failed. */
struct ReadFailure
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  /** Time since the call was made. */
  std::chrono::nanoseconds m_took{};
  /** Bytes of the answer that had been received by then. */
  std::size_t m_bytes = 0;
};

/** Outcome of offering relayed records to a reader. */
enum class RelayOutcome : unsigned char
{
  Taken,
  /** The reader has the records already. */
  Known,
  /** The reader lacks records before these. */
  Gap,
  /** Refused: the records are of an earlier era of the store. */
  EarlierEra,
  /** Refused: the reader successfully reads the newest records from the
      store. */
  ReadingNewest,
  /** Refused: the reader successfully follows the topic in the store. */
  Reading,
};

/** Returns the name of an outcome in log lines. */
[[nodiscard]] constexpr std::string_view
RelayOutcomeName(RelayOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case RelayOutcome::Taken:
      return "taken";
    case RelayOutcome::Known:
      return "known";
    case RelayOutcome::Gap:
      return "gap";
    case RelayOutcome::EarlierEra:
      return "earlier-era";
    case RelayOutcome::ReadingNewest:
      return "reading-newest";
    case RelayOutcome::Reading:
      return "reading";
  }
  return "unknown";
}

/** Callbacks of a reader. */
struct TopicEvents
{
  /** A key has a new value or was removed. */
  std::function<void(const KeyedRecord&)> m_onRecord;
  /** A read returned all records between two offsets. aRecords contains the
      newest one of each key. After the store was restored, the first batch
      begins at offset 0 and contains all keys. Optional. */
  std::function<
    void(Offset aFrom, Offset aNext, const std::vector<KeyedRecord>& aRecords)>
    m_onBatch;
  /** All records up to the end of the topic have been delivered. */
  std::function<void(const EndConfirmation& aConfirmation)> m_onCaughtUp;
  /** A call failed. The reader retries it. */
  std::function<void(const ReadFailure&)> m_onFailure;
  /** Records were skipped because they could not be parsed. Optional. */
  std::function<void(std::size_t aRecords)> m_onUnreadable = {};
  /** The reader has learned of a later era of the store. Called before any
      record of that era is delivered. Optional. */
  std::function<void(StoreEra aEra)> m_onEra = {};
};

/** Wait and pause durations of a reader's calls. */
struct ReaderTimes
{
  /** How long calls wait for a record. This is also the interval between two
      confirmations of the topic's end. */
  Millis m_wait{};
  /** Pause after records have been received. Records that are appended during
      the pause are read by one call. */
  Millis m_gather{};
  /** First and longest pause after failed calls. */
  Millis m_firstPause{ 100 };
  Millis m_longestPause{ 500 };
  /** Pause after the newest records have been read for the first time. */
  Millis m_afterNewest{};
};

/** Follows one keyed topic. Reads the newest record of each key first, then the
    records as they are appended. Offsets are valid within one era of the store.
    When the reader learns of a later era, it reads the newest records again and
    reports the keys that the store has lost as removed. */
class TopicReader
{
public:
  static constexpr std::size_t kNoValueLimit =
    std::numeric_limits<std::size_t>::max();

  /** A value larger than aMaxValueBytes is delivered, and relayed, as an empty
      value, because it is no valid value of the topic. */
  TopicReader(EventLoop& aLoop,
              const StoreProtocol& aProtocol,
              sockaddr_in aStore,
              std::string aTopic,
              ReaderTimes aTimes,
              TopicEvents aEvents,
              std::size_t aMaxValueBytes = kNoValueLimit);

  void Start();

  /** Aborts the call in flight, if any, and immediately makes the next one on a
      new connection. Does nothing and returns false while an answer to the call
      in flight can still arrive. Reads the newest record of each key instead of
      the history if that takes fewer bytes up to aKnownEnd, the known end of
      the topic. */
  bool Refresh(StorePosition aKnownEnd = {});

  /** Takes an era of the store that this reader has not necessarily seen
      itself. If it is later than the known one, discards the call in flight and
      all offsets, and reads the newest records again unless the reader is
      paused. */
  void OnEra(StoreEra aEra);

  /** Replaces the call in flight by a call without a wait, which shows whether
      the store answers. */
  void Probe();

  void Stop();

  /** Stops making calls while other daemons relay the records. Refresh() makes
      a single call. */
  void Pause();

  /** Follows the topic in the store again, beginning with a call without a
      wait. */
  void Resume();

  /** Accepts the newest records between two offsets of the era of aNext,
      relayed by another daemon, if they continue the delivered records and
      AcceptsRelays() is true. If aFrom is 0, the records are those of all
      existing keys, and all other known keys are removed. The first records of
      a later era have to be such a whole set. Aborts the call in flight, which
      would return the same records. */
  RelayOutcome Accept(Offset aFrom,
                      StorePosition aNext,
                      const std::vector<KeyedRecord>& aRecords);

  /** Sets the durations, beginning with the next call. */
  void SetTimes(ReaderTimes aTimes) noexcept
  {
    m_times = aTimes;
    m_backoff.SetLimits(aTimes.m_firstPause, aTimes.m_longestPause);
  }

  [[nodiscard]] bool IsPaused() const noexcept { return m_paused; }

  /** Accepts relayed records until the next successful call. Used when other
      daemons have records that this reader's own call does not return. */
  void DependOnRelays() noexcept { m_dependsOnRelays = true; }

  /** Returns whether this reader accepts relayed records: it is paused, its
      last call failed, or DependOnRelays() was called since. */
  [[nodiscard]] bool AcceptsRelays() const noexcept
  {
    return m_paused || m_dependsOnRelays;
  }

  /** Returns the newest known record of each key. */
  [[nodiscard]] const CompactedTopic& Compacted() const noexcept
  {
    return m_compacted;
  }

  /** Returns the offset after the last delivered record of the present era. */
  [[nodiscard]] Offset End() const noexcept { return m_nextOffset; }

  /** Returns the position after the last delivered record. */
  [[nodiscard]] StorePosition Position() const noexcept
  {
    return { m_era, m_nextOffset };
  }

  /** Returns the latest known era of the store. */
  [[nodiscard]] StoreEra Era() const noexcept { return m_era; }

  /** Returns whether all keys that exist in the present era are known. */
  [[nodiscard]] bool IsCurrent() const noexcept
  {
    return m_compacted.IsComplete();
  }

  /** Returns the offset before which records of the present era may come from
      the copy that the store was restored from. 0 if the reader has delivered
      no record of an earlier era. */
  [[nodiscard]] Offset RestoredEnd() const noexcept { return m_restoredEnd; }

  /** Returns whether the newest records have been read or accepted at least
      once. */
  [[nodiscard]] bool IsCaughtUp() const noexcept { return m_caughtUp; }

private:
  void BeginEra(StoreEra aEra);
  [[nodiscard]] bool IsEarlierEra(const KeyedPage& aPage) const noexcept;
  void ReadNewest();
  void OnNewest(const KeyedPage& aPage, const CallResult& aResult);
  void ReadNextRecords();
  void OnRead(const KeyedPage& aPage, const CallResult& aResult);
  void RemoveUnlisted(const std::vector<KeyedRecord>& aListed, Offset aOffset);
  void Deliver(const KeyedRecord& aRecord);
  void ReportUnreadable(const KeyedPage& aPage) const;
  void FinishNewest();
  void ConfirmEnd(TimePoint aAt, TimePoint aAskedAt);
  void OnReadFailed(StoreAnswer aAnswer, const CallResult& aResult);
  void Next(Millis aAfter);
  [[nodiscard]] Millis WaitOfNextCall();

  const StoreProtocol& m_protocol;
  std::string m_topic;
  ReaderTimes m_times;
  TopicEvents m_events;
  std::size_t m_maxValueBytes;
  HttpClient m_client;
  Timer m_timer;
  Backoff m_backoff;
  bool m_caughtUp = false;
  bool m_paused = false;
  bool m_probing = false;
  /** Whether the last call failed or does not return the available records. */
  bool m_dependsOnRelays = false;
  bool m_readingNewest = true;
  StoreEra m_era = 0;
  /** Keys that existed in earlier eras, until the keys of the present era are
      known. */
  std::set<std::string> m_earlierKeys;
  bool m_hasEarlierEra = false;
  Offset m_restoredEnd = 0;
  Offset m_nextOffset = 0;
  Offset m_newestEnd = 0;
  std::string m_lastListedKey;
  TimePoint m_newestAskedAt{};
  TimePoint m_calledAt{};
  /** How long the call in flight, or the last one, waits for a record. */
  Millis m_calledWait{};
  /** Latest time for which the end of the topic is confirmed. */
  TimePoint m_confirmedAt{};
  CompactedTopic m_compacted;
  std::vector<KeyedRecord> m_listed;
};

} // namespace sapphirehook

#endif
