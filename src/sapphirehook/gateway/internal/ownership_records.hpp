#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_OWNERSHIP_RECORDS_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_OWNERSHIP_RECORDS_HPP

#include "sapphirehook/core/time.hpp"

/** Keys of the ownership topic, and the timeout of store calls for it. */
namespace sapphirehook::internal {

/** Topic of the leader's record and of the range assignments. */
inline constexpr const char* kTopic = "keyed.ownership";
inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kRangePrefix = "ranges/";
inline constexpr Millis kStoreTimeout{ 1200 };

} // namespace sapphirehook::internal

#endif
