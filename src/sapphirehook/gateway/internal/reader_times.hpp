#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** Intervals of a daemon's reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after received records, which gathers the next ones. Changes have to be in
    force within 2 s. During the pause after the first read, the daemon receives
    heartbeats that show whether other daemons read. */
inline constexpr ReaderTimes kTopicReaderTimes{ .m_wait = Millis(1000),
                                                .m_gather = Millis(60),
                                                .m_afterNewest = Millis(400) };

} // namespace sapphirehook::internal

#endif
