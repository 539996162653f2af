#ifndef SAPPHIREHOOK_STORE_STORE_PROTOCOL_HPP
#define SAPPHIREHOOK_STORE_STORE_PROTOCOL_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/http1/client.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <string>
#include <vector>

namespace sapphirehook {

/** How calls to a store and their answers are written. */
struct StoreProtocol
{
  /** Reads the newest record of each key, after a key. */
  HttpCall (*m_newest)(const std::string& aTopic, const std::string& aAfter);
  KeyedPage (*m_parseNewest)(const CallResult& aResult);
  /** Reads the records from an offset on, waiting for one to come. */
  HttpCall (*m_read)(const std::string& aTopic, Offset aFrom, Millis aWait);
  KeyedPage (*m_parseRead)(const CallResult& aResult, Offset aFrom);
  /** Appends records, provided that the topic ends at an offset, if one is
      given. */
  HttpCall (*m_append)(const std::string& aTopic,
                       std::optional<Offset> aAt,
                       const std::vector<KeyedRecord>& aRecords);
  AppendOutcome (*m_parseAppend)(const CallResult& aResult);
};

} // namespace sapphirehook

#endif
