#ifndef SAPPHIREHOOK_STORE_TOPIC_READER_HPP
#define SAPPHIREHOOK_STORE_TOPIC_READER_HPP

#include "sapphirehook/core/backoff.hpp"
#include "sapphirehook/store/store_protocol.hpp"
#include "sapphirehook/store/topic_image.hpp"

#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** A call that the store did not serve. */
struct ReadTrouble
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  /** Time since the call was made. */
  std::chrono::nanoseconds m_took{};
  /** Bytes of the answer that had come by then. */
  std::size_t m_bytes = 0;
};

/** What became of records that another daemon passed on. */
enum class RelayOutcome : unsigned char
{
  Taken,
  /** They are known already. */
  Known,
  /** Records before them are missing. */
  Gap,
  /** The reader reads the newest records by itself, and is served. */
  ReadingNewest,
  /** It follows the topic by itself, and is served. */
  Reading,
};

/** Returns an outcome as logs have it. */
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
    case RelayOutcome::ReadingNewest:
      return "reading-newest";
    case RelayOutcome::Reading:
      return "reading";
  }
  return "unknown";
}

/** What a reader tells its owner. */
struct TopicEvents
{
  /** A key has a new value, or none any more. */
  std::function<void(const KeyedRecord&)> m_onRecord;
  /** A read has brought all records between two offsets; of each key the newest
      is given. Optional. */
  std::function<
    void(Offset aFrom, Offset aNext, const std::vector<KeyedRecord>& aRecords)>
    m_onBatch;
  /** All records up to the end of the topic have been given. */
  std::function<void(const EndProof& aProof)> m_onCaughtUp;
  /** The store did not serve a call; it is tried again. */
  std::function<void(const ReadTrouble&)> m_onTrouble;
  /** Records were passed over, since they can't be read. Optional. */
  std::function<void(std::size_t aRecords)> m_onUnreadable = {};
};

/** How a reader spaces its calls. */
struct ReaderTimes
{
  /** How long calls wait for a record: the end of the topic is proved anew that
      often. */
  Millis m_wait{};
  /** Pause after records have come, which gathers those that follow. */
  Millis m_gather{};
  /** First and longest pause after calls that were not served. */
  Millis m_firstPause{ 100 };
  Millis m_longestPause{ 500 };
  /** Pause after the newest records have been read for the first time. */
  Millis m_afterNewest{};
};

/** Follows one keyed topic: the newest record of each key first, then each
    record as it comes. */
class TopicReader
{
public:
  static constexpr std::size_t kAnyValue =
    std::numeric_limits<std::size_t>::max();

  /** A value of more than aMostValue bytes is given, and passed on, as an empty
      one: it is none of those that the topic is for. */
  TopicReader(EventLoop& aLoop,
              const StoreProtocol& aProtocol,
              sockaddr_in aStore,
              std::string aTopic,
              ReaderTimes aTimes,
              TopicEvents aEvents,
              std::size_t aMostValue = kAnyValue);

  void Start();

  /** Ends the call under way, if any, and makes the next one on a new
      connection at once. Returns false, and does nothing, while an answer to
      that call may still come. The newest records are read in place of the
      history when that is less up to aKnownEnd, the end of the topic as far as
      it is known. */
  bool Refresh(Offset aKnownEnd = 0);

  /** Makes a call that does not wait, in place of one that does, to learn
      whether the store answers. */
  void Probe();

  void Stop();

  /** Makes no more calls by itself, while others pass records on. Refresh
      makes a single one. */
  void Pause();

  /** Follows the topic by itself again, at first by a call that does not wait.
   */
  void Resume();

  /** Takes the newest records between two offsets, which another daemon has
      passed on, when they follow on what has been given and TakesRelays holds.
      From 0 on they are all keys that are left: others that are known are
      removed. They end the call under way, which would bring the same. */
  RelayOutcome Accept(Offset aFrom,
                      Offset aNext,
                      const std::vector<KeyedRecord>& aRecords);

  /** Changes the spacing of calls from the next one on. */
  void SetTimes(ReaderTimes aTimes) noexcept
  {
    m_times = aTimes;
    m_backoff.SetLimits(aTimes.m_firstPause, aTimes.m_longestPause);
  }

  [[nodiscard]] bool IsPaused() const noexcept { return m_paused; }

  /** Takes what others pass on until the store has served a call, since they
      have records that this reader's own call does not bring. */
  void DependOnRelays() noexcept { m_unserved = true; }

  /** Whether this reader depends on what others pass on: it is paused, or the
      store did not serve its last call. */
  [[nodiscard]] bool TakesRelays() const noexcept
  {
    return m_paused || m_unserved;
  }

  /** What is known of the topic. */
  [[nodiscard]] const TopicImage& Image() const noexcept { return m_image; }

  /** Offset behind the last record that was given. */
  [[nodiscard]] Offset End() const noexcept { return m_from; }

  /** Whether the newest records have been read once. */
  [[nodiscard]] bool IsCaughtUp() const noexcept { return m_caughtUp; }

private:
  void ReadNewest();
  void OnNewest(const KeyedPage& aPage, const CallResult& aResult);
  void ReadOn();
  void OnRead(const KeyedPage& aPage, const CallResult& aResult);
  void RemoveUnlisted(const std::vector<KeyedRecord>& aListed, Offset aOffset);
  void Give(const KeyedRecord& aRecord);
  void TellUnreadable(const KeyedPage& aPage) const;
  void FinishNewest();
  void Prove(TimePoint aAt, TimePoint aAskedAt);
  void OnFault(StoreAnswer aAnswer, const CallResult& aResult);
  void Next(Millis aAfter);
  [[nodiscard]] Millis WaitOfNextCall();

  const StoreProtocol& m_protocol;
  std::string m_topic;
  ReaderTimes m_times;
  TopicEvents m_events;
  std::size_t m_mostValue;
  HttpClient m_client;
  Timer m_timer;
  Backoff m_backoff;
  bool m_caughtUp = false;
  bool m_paused = false;
  bool m_probing = false;
  /** The last call was not served, or does not bring what there is. */
  bool m_unserved = false;
  bool m_readingNewest = true;
  Offset m_from = 0;
  Offset m_newestEnd = 0;
  std::string m_after;
  TimePoint m_newestAskedAt{};
  TimePoint m_calledAt{};
  /** How long the call under way, or the last one, waits for a record. */
  Millis m_calledWait{};
  /** The end of the topic was last proved for this moment. */
  TimePoint m_provenAt{};
  TopicImage m_image;
  std::vector<KeyedRecord> m_listed;
};

} // namespace sapphirehook

#endif
