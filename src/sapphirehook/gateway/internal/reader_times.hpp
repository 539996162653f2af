#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** How a daemon spaces its reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force
    within 2 s. */
inline constexpr ReaderTimes kReads{ .m_wait = Millis(8000),
                                     .m_gather = Millis(60) };
/** Pause after the newest records have been read at the start, in which a
   daemon of a large fleet hears of the leader and need not read by itself any
   more; when all start for the first time, a leader has to be found first. */
inline constexpr Millis kHearLeader{ 400 };
inline constexpr Millis kFindLeader{ 1400 };

} // namespace sapphirehook::internal

#endif
