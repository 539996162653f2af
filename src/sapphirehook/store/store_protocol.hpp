#ifndef SAPPHIREHOOK_STORE_STORE_PROTOCOL_HPP
#define SAPPHIREHOOK_STORE_STORE_PROTOCOL_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <string>
#include <vector>

namespace sapphirehook {

/** Functions that build the calls to a store and parse its answers. */
struct StoreProtocol
{
  /** Reads the newest record of each key that follows aAfter. */
  HttpCall (*m_newest)(const std::string& aTopic, const std::string& aAfter);
  KeyedPage (*m_parseNewest)(const CallResult& aResult);
  /** Reads the records from aFrom on. If there is none, the store waits up to
      aWait for one. */
  HttpCall (*m_read)(const std::string& aTopic, Offset aFrom, Millis aWait);
  KeyedPage (*m_parseRead)(const CallResult& aResult, Offset aFrom);
  /** Appends records. If aAt is given, the append succeeds only if the topic
      ends at that offset. */
  HttpCall (*m_append)(const std::string& aTopic,
                       std::optional<Offset> aAt,
                       const std::vector<KeyedRecord>& aRecords);
  AppendOutcome (*m_parseAppend)(const CallResult& aResult);
};

} // namespace sapphirehook

#endif
