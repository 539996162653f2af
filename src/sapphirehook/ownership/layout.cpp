#include "sapphirehook/ownership/layout.hpp"

#include "sapphirehook/core/hash.hpp"

namespace sapphirehook {

Placement::Placement(const Layout& aLayout)
  : m_layout(aLayout)
{
  m_owners.reserve(m_layout.m_domains.size());
  for (const auto& domain : m_layout.m_domains) {
    FillDomain(domain);
  }
}

void
Placement::FillDomain(const Domain& aDomain)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aDomain.m_members.size());
  for (const auto& member : aDomain.m_members) {
    hashes.push_back(StableHash(member.m_endpoint));
  }
  const auto domainHash = StableHash(aDomain.m_prefix);
  auto& owners = m_owners.emplace_back(m_layout.m_partitions, kNoOwner);
  for (std::uint32_t number = 0; number < m_layout.m_partitions; ++number) {
    const auto item = MixHashes(domainHash, number);
    double best = -1;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
      const double score =
        RendezvousScore(item, hashes[i], aDomain.m_members[i].m_weight);
      if (score > best) {
        best = score;
        owners[number] = static_cast<std::uint16_t>(i);
      }
    }
  }
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
  const auto& owners = m_owners[aPartition.m_domain];
  if (aPartition.m_number >= owners.size()) {
    return nullptr;
  }
  const auto index = owners[aPartition.m_number];
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
