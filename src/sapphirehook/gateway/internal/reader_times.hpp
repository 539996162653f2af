#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** How a daemon spaces its reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force
    within 2 s. In the pause at the start a daemon hears whether others read. */
inline constexpr ReaderTimes kReads{ .m_wait = Millis(1000),
                                     .m_gather = Millis(60),
                                     .m_afterNewest = Millis(400) };

} // namespace sapphirehook::internal

#endif
