#ifndef SAPPHIREHOOK_OWNERSHIP_LAYOUT_HPP
#define SAPPHIREHOOK_OWNERSHIP_LAYOUT_HPP

#include "sapphirehook/core/ids.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** A member endpoint of a layout. */
struct LayoutMember
{
  std::string m_endpoint;
  double m_weight = 1;
  MSGPACK_DEFINE_ARRAY(m_endpoint, m_weight)
  bool operator==(const LayoutMember&) const = default;
};

/** A key prefix and the endpoints that may own its keys. */
struct Domain
{
  std::string m_prefix;
  std::vector<LayoutMember> m_members;
  MSGPACK_DEFINE_ARRAY(m_prefix, m_members)
  bool operator==(const Domain&) const = default;
};

/** Assignment of a service's keys to endpoints. The owner of every key can be
    computed from it. */
struct Layout
{
  Version m_version = 0;
  std::uint32_t m_partitions = 0;
  /** The first domain has the empty prefix; it contains all keys that match no
      other domain. */
  std::vector<Domain> m_domains;
  /** Maps pinned keys to their endpoints. */
  std::map<std::string, std::string> m_pins;
  MSGPACK_DEFINE_ARRAY(m_version, m_partitions, m_domains, m_pins)
  bool operator==(const Layout&) const = default;
};

/** A hash bucket of the keys of one domain. */
struct PartitionId
{
  std::uint32_t m_domain = 0;
  std::uint32_t m_number = 0;
  auto operator<=>(const PartitionId&) const = default;
};

/** Encodes a partition as one number, the form used in records and grants. */
[[nodiscard]] constexpr std::uint64_t
PackPartition(PartitionId aPartition) noexcept
{
  constexpr unsigned kDomainShift = 32;
  return (std::uint64_t{ aPartition.m_domain } << kDomainShift) |
         aPartition.m_number;
}

/** Precomputed owners of all partitions of one layout. */
class Placement
{
public:
  /** Computes the owners of a layout by weighted rendezvous hashing. */
  explicit Placement(const Layout& aLayout);

  /** Computes the owners of a layout incrementally from an earlier placement of
      the same service. The result equals that of the other constructor; the
      cost depends only on the difference between the layouts. */
  Placement(const Layout& aLayout, const Placement& aEarlier);

  /** Returns the partition of a key. */
  [[nodiscard]] PartitionId PartitionOf(std::string_view aKey) const;

  /** Returns the owner of a partition, or null if no endpoint may own it. Pins
      are ignored. */
  [[nodiscard]] const std::string* OwnerOf(PartitionId aPartition) const;

  /** Returns the owner of a key, or null if it has none. Pins take precedence
      over the partition's owner. */
  [[nodiscard]] const std::string* OwnerOfKey(std::string_view aKey) const;

  /** Returns whether two layouts divide the keys into the same partitions. */
  [[nodiscard]] bool SamePartitions(const Placement& aOther) const;

  /** Returns the layout from which the owners were computed. */
  [[nodiscard]] const Layout& Source() const noexcept { return m_layout; }

private:
  static constexpr std::uint16_t kNoOwner = 0xFFFF;

  /** The candidate with the highest score for one partition. */
  struct Best
  {
    std::uint16_t m_member = kNoOwner;
    /** Rendezvous score. Single precision is sufficient to decide ties. */
    float m_score = -1;
  };

  /** A member with its precomputed hash. */
  struct Candidate
  {
    std::uint16_t m_member = 0;
    std::uint64_t m_hash = 0;
    double m_weight = 1;
  };

  /** Owners of one domain's partitions. */
  using Owners = std::vector<Best>;

  [[nodiscard]] Owners ComputeOwners(const Domain& aDomain) const;
  [[nodiscard]] static Owners UpdateOwners(const Domain& aDomain,
                                           const Domain& aEarlier,
                                           const Owners& aEarlierBest);
  static void UpdateBest(Owners& aBest,
                         std::size_t aPartition,
                         std::uint64_t aDomainHash,
                         const std::vector<Candidate>& aCandidates);

  Layout m_layout;
  /** Per domain, the index of each partition's owner among the
      domain's members. Placements share the owners of equal domains. */
  std::vector<std::shared_ptr<const Owners>> m_owners;
};

} // namespace sapphirehook

#endif
