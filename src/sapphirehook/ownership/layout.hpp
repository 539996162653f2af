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

/** An endpoint that takes part in a layout. */
struct LayoutMember
{
  std::string m_endpoint;
  double m_weight = 1;
  MSGPACK_DEFINE_ARRAY(m_endpoint, m_weight)
  bool operator==(const LayoutMember&) const = default;
};

/** The keys of one prefix and the endpoints that may own them. */
struct Domain
{
  std::string m_prefix;
  std::vector<LayoutMember> m_members;
  MSGPACK_DEFINE_ARRAY(m_prefix, m_members)
  bool operator==(const Domain&) const = default;
};

/** Assignment of a service's keys, from which every owner can be computed. */
struct Layout
{
  Version m_version = 0;
  std::uint32_t m_partitions = 0;
  /** The first domain has the empty prefix and holds all other keys. */
  std::vector<Domain> m_domains;
  /** Keys with an endpoint of their own. */
  std::map<std::string, std::string> m_pins;
  MSGPACK_DEFINE_ARRAY(m_version, m_partitions, m_domains, m_pins)
  bool operator==(const Layout&) const = default;
};

/** A hash bucket of a service's keys. */
struct PartitionId
{
  std::uint32_t m_domain = 0;
  std::uint32_t m_number = 0;
  auto operator<=>(const PartitionId&) const = default;
};

/** Returns one number for a partition, as records and grants carry it. */
[[nodiscard]] constexpr std::uint64_t
PackPartition(PartitionId aPartition) noexcept
{
  constexpr unsigned kDomainShift = 32;
  return (std::uint64_t{ aPartition.m_domain } << kDomainShift) |
         aPartition.m_number;
}

/** Owners of all partitions of one layout, computed once. */
class Placement
{
public:
  /** Computes the owners of a layout by weighted rendezvous hashing. */
  explicit Placement(const Layout& aLayout);

  /** Computes the owners of a layout from those of an earlier one of the same
      service. The result is that of the other constructor; the cost grows
      with the difference between the layouts only. */
  Placement(const Layout& aLayout, const Placement& aEarlier);

  /** Returns the partition of a key. */
  [[nodiscard]] PartitionId PartitionOf(std::string_view aKey) const;

  /** Returns the owner of a partition, or nothing when no endpoint may own
      it. Pins are not considered. */
  [[nodiscard]] const std::string* OwnerOf(PartitionId aPartition) const;

  /** Returns the owner of a key, pins included. */
  [[nodiscard]] const std::string* OwnerOfKey(std::string_view aKey) const;

  /** Returns whether two layouts divide keys into the same partitions. */
  [[nodiscard]] bool SamePartitions(const Placement& aOther) const;

  /** Returns the layout that the owners were computed from. */
  [[nodiscard]] const Layout& Source() const noexcept { return m_layout; }

private:
  static constexpr std::uint16_t kNoOwner = 0xFFFF;

  /** The best candidate of one partition so far. */
  struct Best
  {
    std::uint16_t m_member = kNoOwner;
    /** Its rendezvous score, as precise as ties need. */
    float m_score = -1;
  };

  /** A member with its hash, ready for scoring. */
  struct Candidate
  {
    std::uint16_t m_member = 0;
    std::uint64_t m_hash = 0;
    double m_weight = 1;
  };

  /** Owners of one domain's partitions. */
  using Owners = std::vector<Best>;

  [[nodiscard]] Owners FillDomain(const Domain& aDomain) const;
  [[nodiscard]] static Owners UpdateDomain(const Domain& aDomain,
                                           const Domain& aEarlier,
                                           const Owners& aEarlierBest);
  static void Offer(Owners& aBest,
                    std::size_t aPartition,
                    std::uint64_t aDomainHash,
                    const std::vector<Candidate>& aCandidates);

  Layout m_layout;
  /** The owner's place in the domain's members, for each partition of each
      domain; layouts share the owners of domains that they have in common. */
  std::vector<std::shared_ptr<const Owners>> m_owners;
};

} // namespace sapphirehook

#endif
