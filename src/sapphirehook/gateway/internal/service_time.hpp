#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_SERVICE_TIME_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_SERVICE_TIME_HPP

/** Bounds of the service time in capacity estimates. */
namespace sapphirehook::internal {

/** Minimum service time, in seconds, that estimates assume. */
inline constexpr double kMinServiceSeconds = 0.001;

} // namespace sapphirehook::internal

#endif
