#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** How a daemon spaces its reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force within
    2 s. The pause at the start is the time in which a daemon hears how large its
    fleet is, so that it need not read by itself in a large one. */
inline constexpr ReaderTimes kReads{ .m_wait = Millis(8000),
                                     .m_gather = Millis(60),
                                     .m_afterNewest = Millis(400) };

} // namespace sapphirehook::internal

#endif
