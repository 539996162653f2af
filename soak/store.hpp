#ifndef SAPPHIREHOOK_SOAK_STORE_HPP
#define SAPPHIREHOOK_SOAK_STORE_HPP

#include "platform/standin_formats.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/delayed_calls.hpp"

#include <map>
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
  void Reply(const HttpExchangePtr& aExchange, const HttpReply& aReply);
  void WakeReaders(const std::string& aTopic);
  void Tick();
  [[nodiscard]] double Draw();

  HttpServer m_server;
  Timer m_timer;
  std::mt19937 m_random;
  StoreFault m_fault;
  std::map<std::string, Topic> m_topics;
  std::vector<std::shared_ptr<Reader>> m_readers;
  /** Expiry times of entries, by topic and key. An entry expires unless it is
      written again. */
  std::map<std::pair<std::string, std::string>, TimePoint> m_expiries;
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

/** Returns the call that deletes all records of all topics except the newest
    record of each key. */
[[nodiscard]] HttpCall
CompactCall();

} // namespace sapphirehook::soak

#endif
