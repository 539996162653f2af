#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** How a daemon spaces its reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force
    within 2 s. */
inline constexpr ReaderTimes kReads{ Millis(8000), Millis(60) };
/** The same at the start, when a daemon of a large fleet has not heard the
   leader yet, and need not read by itself once it has. */
inline constexpr ReaderTimes kFirstReads{ Millis(8000), Millis(400) };

} // namespace sapphirehook::internal

#endif
