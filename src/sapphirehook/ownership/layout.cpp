#include "sapphirehook/ownership/layout.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>

namespace sapphirehook {

Placement::Placement(const Layout& aLayout)
  : m_layout(aLayout)
{
  m_owners.reserve(m_layout.m_domains.size());
  for (const auto& domain : m_layout.m_domains) {
    m_owners.push_back(std::make_shared<const Owners>(ComputeOwners(domain)));
  }
}

Placement::Placement(const Layout& aLayout, const Placement& aEarlier)
  : m_layout(aLayout)
{
  const auto& earlier = aEarlier.m_layout;
  const bool comparable = earlier.m_partitions == m_layout.m_partitions;
  m_owners.reserve(m_layout.m_domains.size());
  for (const auto& domain : m_layout.m_domains) {
    const auto found = std::find_if(
      earlier.m_domains.begin(),
      earlier.m_domains.end(),
      [&](const auto& aOld) { return aOld.m_prefix == domain.m_prefix; });
    if (!comparable || found == earlier.m_domains.end()) {
      m_owners.push_back(std::make_shared<const Owners>(ComputeOwners(domain)));
      continue;
    }
    const auto position =
      static_cast<std::size_t>(found - earlier.m_domains.begin());
    const auto& owners = aEarlier.m_owners[position];
    m_owners.push_back(domain == *found
                         ? owners
                         : std::make_shared<const Owners>(
                             UpdateOwners(domain, *found, *owners)));
  }
}

void
Placement::UpdateBest(Owners& aBest,
                      std::size_t aPartition,
                      std::uint64_t aDomainHash,
                      const std::vector<Candidate>& aCandidates)
{
  const auto item = MixHashes(aDomainHash, aPartition);
  auto& best = aBest[aPartition];
  for (const auto& candidate : aCandidates) {
    const auto score = static_cast<float>(
      RendezvousScore(item, candidate.m_hash, candidate.m_weight));
    // The lowest member index wins a tie, independent of the order of calls.
    const bool better =
      score > best.m_score ||
      (score == best.m_score && candidate.m_member < best.m_member);
    if (better) {
      best = { candidate.m_member, score };
    }
  }
}

Placement::Owners
Placement::ComputeOwners(const Domain& aDomain) const
{
  std::vector<Candidate> candidates;
  for (const auto& member : aDomain.m_members) {
    candidates.push_back({ static_cast<std::uint16_t>(candidates.size()),
                           StableHash(member.m_endpoint),
                           member.m_weight });
  }
  const auto domainHash = StableHash(aDomain.m_prefix);
  Owners owners(m_layout.m_partitions);
  for (std::size_t i = 0; i < owners.size(); ++i) {
    UpdateBest(owners, i, domainHash, candidates);
  }
  return owners;
}

Placement::Owners
Placement::UpdateOwners(const Domain& aDomain,
                        const Domain& aEarlier,
                        const Owners& aEarlierBest)
{
  std::vector<Candidate> all;
  std::vector<Candidate> added;
  // Maps the index of each earlier member to its index in aDomain; kNoOwner if
  // the member was removed or changed.
  std::vector<std::uint16_t> indices(aEarlier.m_members.size(), kNoOwner);
  std::size_t old = 0;
  for (const auto& member : aDomain.m_members) {
    const Candidate candidate{ static_cast<std::uint16_t>(all.size()),
                               StableHash(member.m_endpoint),
                               member.m_weight };
    all.push_back(candidate);
    // Members are sorted by name.
    while (old < aEarlier.m_members.size() &&
           aEarlier.m_members[old].m_endpoint < member.m_endpoint) {
      ++old;
    }
    if (old < aEarlier.m_members.size() && aEarlier.m_members[old] == member) {
      indices[old] = candidate.m_member;
    } else {
      added.push_back(candidate);
    }
  }
  const auto domainHash = StableHash(aDomain.m_prefix);
  auto owners = aEarlierBest;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    auto& best = owners[i];
    const bool stays =
      best.m_member != kNoOwner && indices[best.m_member] != kNoOwner;
    if (stays) {
      best.m_member = indices[best.m_member];
      UpdateBest(owners, i, domainHash, added);
    } else {
      best = {};
      UpdateBest(owners, i, domainHash, all);
    }
  }
  return owners;
}

PartitionId
Placement::PartitionOf(std::string_view aKey) const
{
  PartitionId partition;
  std::size_t longest = 0;
  for (std::uint32_t i = 0; i < m_layout.m_domains.size(); ++i) {
    const auto& prefix = m_layout.m_domains[i].m_prefix;
    if (prefix.size() >= longest && aKey.starts_with(prefix)) {
      longest = prefix.size();
      partition.m_domain = i;
    }
  }
  const std::uint64_t count = m_layout.m_partitions;
  partition.m_number =
    count == 0 ? 0 : static_cast<std::uint32_t>(StableHash(aKey) % count);
  return partition;
}

const std::string*
Placement::OwnerOf(PartitionId aPartition) const
{
  if (aPartition.m_domain >= m_owners.size()) {
    return nullptr;
  }
  const auto& owners = *m_owners[aPartition.m_domain];
  if (aPartition.m_number >= owners.size()) {
    return nullptr;
  }
  const auto index = owners[aPartition.m_number].m_member;
  if (index == kNoOwner) {
    return nullptr;
  }
  const auto& domain = m_layout.m_domains[aPartition.m_domain];
  return &domain.m_members[index].m_endpoint;
}

const std::string*
Placement::OwnerOfKey(std::string_view aKey) const
{
  if (!m_layout.m_pins.empty()) {
    const auto pin = m_layout.m_pins.find(std::string(aKey));
    if (pin != m_layout.m_pins.end()) {
      return &pin->second;
    }
  }
  return OwnerOf(PartitionOf(aKey));
}

bool
Placement::SamePartitions(const Placement& aOther) const
{
  const auto& left = m_layout;
  const auto& right = aOther.m_layout;
  if (left.m_partitions != right.m_partitions ||
      left.m_domains.size() != right.m_domains.size()) {
    return false;
  }
  for (std::size_t i = 0; i < left.m_domains.size(); ++i) {
    if (left.m_domains[i].m_prefix != right.m_domains[i].m_prefix) {
      return false;
    }
  }
  return true;
}

} // namespace sapphirehook
