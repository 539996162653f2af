#ifndef SAPPHIREHOOK_BENCHMARK_ALLOCATION_COUNT_HPP
#define SAPPHIREHOOK_BENCHMARK_ALLOCATION_COUNT_HPP

#include <cstddef>

namespace benchmark {

/** Returns the number of bytes that the process has allocated and not freed. */
[[nodiscard]] std::size_t
LiveBytes() noexcept;

} // namespace benchmark

#endif
