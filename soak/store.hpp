#ifndef SAPPHIREHOOK_SOAK_STORE_HPP
#define SAPPHIREHOOK_SOAK_STORE_HPP

#include "platform/standin_formats.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/delayed_calls.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sapphirehook::soak {

/** Faults of the stand-in store towards the daemons. */
struct StoreFault
{
  /** How the store treats calls. */
  enum class Mode : unsigned char
  {
    Normal,
    /** The store rejects calls. */
    Busy,
    /** The store never answers calls. */
    Unresponsive,
    Reset,
  };
  Mode m_mode = Mode::Normal;
  /** Additional delay of answers. */
  Millis m_delay{};
  /** Share of the appends that are applied but not answered. */
  double m_lostAnswerShare = 0.0;
  /** Share of the appends that get no answer and are applied seconds later, if
      their condition still holds. */
  double m_lateShare = 0.0;
};

/** Stand-in of the platform's store: keyed topics in memory, long polling
    reads, and faults that a test sets. The stand-ins of servers and of the
    operator write through calls that only this store has. */
class StandinStore
{
public:
  StandinStore(EventLoop& aLoop, unsigned aSeed);

  [[nodiscard]] bool Listen(const sockaddr_in& aAddress);

private:
  struct Topic
  {
    Offset m_first = 0;
    Offset m_end = 0;
    /** Records that the topic still stores, by offset. */
    std::map<Offset, KeyedRecord> m_records;
    std::map<std::string, KeyedRecord> m_newest;
  };

  /** An appended record, as it is needed to restore an older state. */
  struct Appended
  {
    TimePoint m_at{};
    std::string m_topic;
    Offset m_offset = 0;
    std::string m_key;
    /** The value, and the one that it replaced. */
    std::optional<std::string> m_value;
    std::optional<KeyedRecord> m_replaced;
    /** Whether the operator wrote it, who writes it again after a restore. The
        stand-ins of servers write their entries periodically. */
    bool m_isOfOperator = false;
  };

  struct Reader
  {
    HttpExchangePtr m_exchange;
    platform::StoreCall m_call;
    TimePoint m_until{};
    bool m_disconnected = false;
  };

  void OnCall(const HttpExchangePtr& aExchange);
  void OnStoreCall(const HttpExchangePtr& aExchange);
  void OnPut(const HttpExchangePtr& aExchange);
  void OnFault(const HttpExchangePtr& aExchange);
  void OnCompact(const HttpExchangePtr& aExchange);
  void OnRestore(const HttpExchangePtr& aExchange);
  void Restore(Millis aAge);
  [[nodiscard]] std::vector<Appended> UndoSince(TimePoint aTime);
  void WriteAgain(const Appended& aRecord, Millis aDelay);
  void RecordAppend(const platform::StoreCall& aCall,
                    const KeyedRecord& aRecord);
  void Serve(const HttpExchangePtr& aExchange,
             const platform::StoreCall& aCall);
  void ServeAppend(const HttpExchangePtr& aExchange,
                   const platform::StoreCall& aCall);
  void ServeNewest(const HttpExchangePtr& aExchange,
                   const platform::StoreCall& aCall);
  [[nodiscard]] bool ServeRead(const HttpExchangePtr& aExchange,
                               const platform::StoreCall& aCall,
                               bool aWaits);
  [[nodiscard]] HttpReply Append(const platform::StoreCall& aCall);
  /** Answers a call with the present era. */
  void Reply(const HttpExchangePtr& aExchange, HttpReply aReply);
  /** Rejects a call. */
  void Reject(const HttpExchangePtr& aExchange);
  void WakeReaders(const std::string& aTopic);
  void Tick();
  [[nodiscard]] double Draw();

  HttpServer m_server;
  Timer m_timer;
  std::mt19937 m_random;
  StoreFault m_fault;
  /** Era that answers report, and the records of the last seconds. */
  StoreEra m_era = 1;
  std::deque<Appended> m_appended;
  /** Whether the record that is being appended comes from the operator. */
  bool m_operatorWrites = false;
  std::map<std::string, Topic> m_topics;
  std::vector<std::shared_ptr<Reader>> m_readers;
  /** Expiry times of entries, by topic and key. An entry expires unless it is
      written again. */
  std::map<std::pair<std::string, std::string>, TimePoint> m_expiries;
  /** Number of values that the writers of an entry have put. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_puts;
  /** Times to live of entries, which hold for restored entries too. */
  std::map<std::pair<std::string, std::string>, Millis> m_timesToLive;
  /** Calls that are kept open and never answered. */
  std::vector<HttpExchangePtr> m_unanswered;
  DelayedCalls m_delayed;
};

/** Returns the call that writes a value, which expires after the given time
    unless that time is zero. This call and the two below exist only in the
    stand-in. */
[[nodiscard]] HttpCall
PutCall(const std::string& aTopic,
        const std::string& aKey,
        const std::string& aValue,
        Millis aTimeToLive);

[[nodiscard]] HttpCall
StoreFaultCall(const StoreFault& aFault);

/** Returns the call that makes the store unavailable for aAway and then
   restores the state that it had aAge before. The store gives the offsets after
   that state out again. It writes the lost records of the operator again, one
   after the other in a random order; the writers of the other records do so
    themselves. */
[[nodiscard]] HttpCall
RestoreCall(Millis aAge, Millis aAway);

/** Returns the call that deletes all records of all topics except the newest
    record of each key. */
[[nodiscard]] HttpCall
CompactCall();

} // namespace sapphirehook::soak

#endif
