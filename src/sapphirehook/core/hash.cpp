#include "sapphirehook/core/hash.hpp"

#include <cmath>
#include <xxhash.h>

namespace sapphirehook {

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
MixHashes(std::uint64_t aLeft, std::uint64_t aRight) noexcept
{
  std::uint64_t mixed = aLeft ^ (aRight * 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

double
RendezvousScore(std::uint64_t aItem,
                std::uint64_t aCandidate,
                double aWeight) noexcept
{
  constexpr unsigned kMantissaShift = 11;
  constexpr double kUnit = 0x1.0p-53;
  const auto bits = MixHashes(aItem, aCandidate) >> kMantissaShift;
  const double uniform = (static_cast<double>(bits) + 0.5) * kUnit;
  return -aWeight / std::log(uniform);
}

} // namespace sapphirehook
