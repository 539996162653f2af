#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_READER_TIMES_HPP

#include "sapphirehook/store/topic_reader.hpp"

/** How a daemon spaces its reads of the followed topics. */
namespace sapphirehook::internal {

/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force
    within 2 s. */
inline constexpr ReaderTimes kReads{ Millis(8000), Millis(60) };

} // namespace sapphirehook::internal

#endif
