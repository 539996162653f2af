#ifndef SAPPHIREHOOK_TEST_SUPPORT_GENERATE_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_GENERATE_HPP

#include "sapphirehook/ownership/state.hpp"

#include <random>

namespace support {

/** Returns a ticket with some of the services and endpoints of a small world,
    now and then a removal, a stale number or a fault. */
[[nodiscard]] std::string
RandomTicket(std::mt19937& aRandom, std::uint64_t aNumber);

/** Returns a record that may or may not fit a state. */
[[nodiscard]] sapphirehook::RecordBody
RandomBody(std::mt19937& aRandom,
           const sapphirehook::ClusterState& aState,
           std::uint64_t aRound);

/** Returns a number from 0 to below aLimit. */
[[nodiscard]] std::uint64_t
Draw(std::mt19937& aRandom, std::uint64_t aLimit);

} // namespace support

#endif
