#ifndef SAPPHIREHOOK_TEST_SUPPORT_GENERATE_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_GENERATE_HPP

#include "sapphirehook/ownership/state.hpp"

#include <random>

namespace support {

/** Returns a ticket with a random selection of a few services and endpoints. It
    sometimes removes an endpoint or is malformed. */
[[nodiscard]] std::string
RandomTicket(std::mt19937& aRandom, std::uint64_t aNumber);

/** Returns a random record, which may or may not be valid in a state. Ticket
    numbers repeat, so some tickets are stale. */
[[nodiscard]] sapphirehook::RecordBody
RandomBody(std::mt19937& aRandom,
           const sapphirehook::ClusterState& aState,
           std::uint64_t aRound);

/** Returns a random number from 0 to below aLimit. */
[[nodiscard]] std::uint64_t
Draw(std::mt19937& aRandom, std::uint64_t aLimit);

} // namespace support

#endif
