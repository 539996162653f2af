#ifndef SAPPHIREHOOK_CORE_HASH_HPP
#define SAPPHIREHOOK_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace sapphirehook {

/** Returns a 64-bit hash that is the same on every host and build. */
[[nodiscard]] std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0) noexcept;

/** Combines two hashes into one. */
[[nodiscard]] std::uint64_t
MixHashes(std::uint64_t aLeft, std::uint64_t aRight) noexcept;

/** Returns the score of a candidate for an item in weighted rendezvous hashing,
    which selects the candidate with the highest score. The weight is
    positive. */
[[nodiscard]] double
RendezvousScore(std::uint64_t aItem,
                std::uint64_t aCandidate,
                double aWeight) noexcept;

} // namespace sapphirehook

#endif
