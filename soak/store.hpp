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

/** How a store misbehaves towards the daemons. */
struct StoreFault
{
  /** What becomes of calls. */
  enum class Mode : unsigned char
  {
    Works,
    /** Turned away. */
    Busy,
    /** Never answered. */
    Silent,
    Reset,
  };
  Mode m_mode = Mode::Works;
  /** Answers take this much longer. */
  Millis m_delay{};
  /** Part of the appends that are done and not answered. */
  double m_loseShare = 0.0;
  /** Part of the appends that get no answer and are done seconds later, if
      their condition still holds. */
  double m_lateShare = 0.0;
};

/** Stand-in of the platform's store: keyed topics in memory, long reads, and
    faults that a test sets. Stand-ins of servers and of the operator write
    through calls of its own. */
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
    /** Records that are kept, by offset. */
    std::map<Offset, KeyedRecord> m_records;
    std::map<std::string, KeyedRecord> m_newest;
  };

  struct Reader
  {
    HttpExchangePtr m_exchange;
    platform::StoreCall m_call;
    TimePoint m_until{};
    bool m_gone = false;
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
  /** Entries that lapse unless they are written again, by topic and key. */
  std::map<std::pair<std::string, std::string>, TimePoint> m_lapses;
  /** Calls that are left without an answer. */
  std::vector<HttpExchangePtr> m_unanswered;
  DelayedCalls m_delayed;
};

/** Calls of the stand-in's own. */
[[nodiscard]] HttpCall
PutCall(const std::string& aTopic,
        const std::string& aKey,
        const std::string& aValue,
        Millis aLapsesAfter);

[[nodiscard]] HttpCall
StoreFaultCall(const StoreFault& aFault);

/** Drops the history of all topics but the newest record of each key. */
[[nodiscard]] HttpCall
CompactCall();

} // namespace sapphirehook::soak

#endif
