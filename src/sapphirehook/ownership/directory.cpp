#include "sapphirehook/ownership/directory.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Returns whether an endpoint may still hold partitions that a layout assigned
    to it. */
bool
MayHold(const ClusterState& aState,
        const std::string& aEndpoint,
        Version aLayout)
{
  const auto found = aState.m_endpoints.find(aEndpoint);
  return found != aState.m_endpoints.end() && found->second.m_up &&
         found->second.m_ack <= aLayout;
}

bool
SameLayouts(const std::vector<Layout>& aLayouts,
            const std::vector<std::shared_ptr<const Placement>>& aPlacements)
{
  return std::equal(aLayouts.begin(),
                    aLayouts.end(),
                    aPlacements.begin(),
                    aPlacements.end(),
                    [](const auto& aLayout, const auto& aPlacement) {
                      return aLayout.m_version ==
                             aPlacement->Source().m_version;
                    });
}

} // namespace

void
Directory::Refresh(const ClusterState& aState)
{
  m_kept.clear();
  m_stamps.clear();
  for (const auto& [name, service] : aState.m_services) {
    const auto& layouts = service.m_layouts;
    m_stamps[name] = layouts.empty() ? 0
                                     : MixHashes(layouts.front().m_version,
                                                 layouts.back().m_version);
  }
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    auto& stamp = m_stamps[endpoint.m_config.m_service];
    stamp = MixHashes(stamp, endpoint.m_up ? endpoint.m_ack + 1 : 0);
    for (const auto partition : endpoint.m_kept) {
      stamp = MixHashes(stamp, partition + 1);
      if (endpoint.m_up) {
        m_kept[endpoint.m_config.m_service].push_back({ name, partition });
      }
    }
  }
  std::erase_if(m_placements, [&](const auto& aEntry) {
    return !aState.m_services.contains(aEntry.first);
  });
  for (const auto& [name, service] : aState.m_services) {
    auto& placements = m_placements[name];
    if (SameLayouts(service.m_layouts, placements)) {
      continue;
    }
    Placements renewed;
    for (const auto& layout : service.m_layouts) {
      const auto known = std::find_if(
        placements.begin(), placements.end(), [&](const auto& aPlacement) {
          return aPlacement->Source().m_version == layout.m_version;
        });
      const auto& earlier = renewed.empty() ? placements : renewed;
      if (known != placements.end()) {
        renewed.push_back(*known);
      } else if (earlier.empty()) {
        renewed.push_back(std::make_shared<const Placement>(layout));
      } else {
        renewed.push_back(
          std::make_shared<const Placement>(layout, *earlier.back()));
      }
    }
    placements = std::move(renewed);
  }
}

bool
Directory::IsKept(const std::string& aService,
                  const std::string& aOwner,
                  PartitionId aPartition) const
{
  const auto kept = m_kept.find(aService);
  if (kept == m_kept.end()) {
    return false;
  }
  const auto packed = PackPartition(aPartition);
  return std::any_of(
    kept->second.begin(), kept->second.end(), [&](const auto& aKept) {
      return aKept.m_partition == packed && aKept.m_endpoint != aOwner;
    });
}

const std::string*
Directory::FindService(const ClusterState& aState, std::string_view aPath) const
{
  const std::string* best = nullptr;
  std::size_t longest = 0;
  for (const auto& [name, service] : aState.m_services) {
    const auto& prefix = service.m_config.m_prefix;
    if (!service.m_removed && prefix.size() > longest &&
        aPath.starts_with(prefix)) {
      best = &name;
      longest = prefix.size();
    }
  }
  return best;
}

template<typename OwnerIn>
bool
Directory::IsSettled(const ClusterState& aState,
                     const std::string& aService,
                     const Placements& aPlacements,
                     const std::string& aOwner,
                     PartitionId aPartition,
                     OwnerIn aOwnerIn) const
{
  if (IsKept(aService, aOwner, aPartition)) {
    return false;
  }
  const auto& newest = *aPlacements.back();
  for (std::size_t i = 0; i + 1 < aPlacements.size(); ++i) {
    const auto& older = *aPlacements[i];
    const auto version = older.Source().m_version;
    if (newest.SamePartitions(older)) {
      const auto* previous = aOwnerIn(older);
      const bool other = previous != nullptr && *previous != aOwner;
      if (other && MayHold(aState, *previous, version)) {
        return false;
      }
      continue;
    }
    for (const auto& [name, endpoint] : aState.m_endpoints) {
      if (name != aOwner && endpoint.m_config.m_service == aService &&
          (MayHold(aState, name, version) || !endpoint.m_kept.empty())) {
        return false;
      }
    }
  }
  return true;
}

KeyOwner
Directory::OwnerOf(const ClusterState& aState,
                   const std::string& aService,
                   std::string_view aKey) const
{
  KeyOwner owner;
  const auto found = m_placements.find(aService);
  if (found == m_placements.end() || found->second.empty()) {
    return owner;
  }
  const auto& newest = *found->second.back();
  owner.m_partition = newest.PartitionOf(aKey);
  owner.m_endpoint = newest.OwnerOfKey(aKey);
  if (owner.m_endpoint != nullptr) {
    owner.m_settled = IsSettled(
      aState,
      aService,
      found->second,
      *owner.m_endpoint,
      owner.m_partition,
      [&](const Placement& aOlder) { return aOlder.OwnerOfKey(aKey); });
  }
  return owner;
}

std::vector<std::uint64_t>
Directory::SettledPartitions(const ClusterState& aState,
                             const std::string& aEndpoint) const
{
  std::vector<std::uint64_t> held;
  const auto endpoint = aState.m_endpoints.find(aEndpoint);
  if (endpoint == aState.m_endpoints.end()) {
    return held;
  }
  const auto& service = endpoint->second.m_config.m_service;
  const auto found = m_placements.find(service);
  if (found == m_placements.end() || found->second.empty()) {
    return held;
  }
  const auto& newest = *found->second.back();
  const auto& source = newest.Source();
  for (std::uint32_t domain = 0; domain < source.m_domains.size(); ++domain) {
    for (std::uint32_t i = 0; i < source.m_partitions; ++i) {
      const PartitionId partition{ domain, i };
      const auto* owner = newest.OwnerOf(partition);
      const bool settled = owner != nullptr && *owner == aEndpoint &&
                           IsSettled(aState,
                                     service,
                                     found->second,
                                     aEndpoint,
                                     partition,
                                     [&](const Placement& aOlder) {
                                       return aOlder.OwnerOf(partition);
                                     });
      if (settled) {
        held.push_back(PackPartition(partition));
      }
    }
  }
  return held;
}

std::uint64_t
Directory::StampOf(const std::string& aService) const
{
  const auto found = m_stamps.find(aService);
  return found == m_stamps.end() ? 0 : found->second;
}

Version
Directory::NewestLayout(const std::string& aService) const
{
  const auto found = m_placements.find(aService);
  if (found == m_placements.end() || found->second.empty()) {
    return 0;
  }
  return found->second.back()->Source().m_version;
}

} // namespace sapphirehook
