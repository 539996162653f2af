#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_SERVICE_TIME_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_SERVICE_TIME_HPP

/** Bounds of what is reckoned with as the time of an answer. */
namespace sapphirehook::internal {

/** No answer is reckoned to take less than this, in seconds. */
inline constexpr double kLeastServiceSeconds = 0.001;

} // namespace sapphirehook::internal

#endif
