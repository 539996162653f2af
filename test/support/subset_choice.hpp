#ifndef SAPPHIREHOOK_TEST_SUPPORT_SUBSET_CHOICE_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_SUBSET_CHOICE_HPP

#include "sapphirehook/placement/endpoint_subset.hpp"
#include "support/fleet_replay.hpp"

namespace support {

/** Chooses like DrawnChoice in the daemon's subset of the endpoints while it
   has capacity. */
struct SubsetChoice : DrawnChoice
{
  SubsetChoice(std::uint32_t aSeed, std::size_t aDaemons)
    : DrawnChoice(aSeed, aDaemons)
    , m_seed(aSeed)
    , m_daemons(aDaemons)
  {
  }

  sapphirehook::EndpointLoad* operator()(
    const std::vector<sapphirehook::EndpointLoad*>& aLoads,
    sapphirehook::TimePoint aNow,
    std::chrono::nanoseconds aTypical)
  {
    if (m_subset.empty()) {
      std::map<const sapphirehook::EndpointLoad*, std::uint64_t> hashes;
      for (const auto* load : aLoads) {
        hashes.emplace(load, sapphirehook::MixHashes(hashes.size(), 1));
      }
      m_subset = sapphirehook::RankedFirst(
        aLoads,
        sapphirehook::SubsetSize(aLoads.size(), m_daemons),
        m_seed,
        [&](const auto& aLoad) { return hashes.at(&aLoad); });
    }
    auto* load = DrawnChoice::operator()(m_subset, aNow, aTypical);
    return load != nullptr ? load
                           : DrawnChoice::operator()(aLoads, aNow, aTypical);
  }

  std::uint32_t m_seed;
  std::size_t m_daemons;
  std::vector<sapphirehook::EndpointLoad*> m_subset;
};

} // namespace support

#endif
