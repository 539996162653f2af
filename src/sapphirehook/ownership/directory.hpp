#ifndef SAPPHIREHOOK_OWNERSHIP_DIRECTORY_HPP
#define SAPPHIREHOOK_OWNERSHIP_DIRECTORY_HPP

#include "sapphirehook/ownership/state.hpp"

#include <functional>
#include <memory>

namespace sapphirehook {

/** Owner of a key in the folded state. */
struct KeyOwner
{
  /** Null if no endpoint is eligible to own the key. */
  const std::string* m_endpoint = nullptr;
  /** True if no other endpoint can still hold the key under an older layout. */
  bool m_settled = false;
  PartitionId m_partition;
};

/** Index of the owners of all keys, computed from the cluster state. */
class Directory
{
public:
  /** Updates the index for the layouts that have changed since the last
      call. */
  void Refresh(const ClusterState& aState);

  /** Returns the name of the service with the longest prefix of a path, or null
      if no service matches. */
  [[nodiscard]] const std::string* FindService(const ClusterState& aState,
                                               std::string_view aPath) const;

  /** Returns the owner of a key of a service. */
  [[nodiscard]] KeyOwner OwnerOf(const ClusterState& aState,
                                 const std::string& aService,
                                 std::string_view aKey) const;

  /** Returns the packed partitions that an endpoint owns and that no other
      endpoint can still hold, in ascending order. */
  [[nodiscard]] std::vector<std::uint64_t> SettledPartitions(
    const ClusterState& aState,
    const std::string& aEndpoint) const;

  /** Returns the version of a service's newest layout, or 0 if it has none. */
  [[nodiscard]] Version NewestLayout(const std::string& aService) const;

  /** Returns a hash that changes whenever the owners of a service's keys change
      or the partitions that its endpoints may still hold. */
  [[nodiscard]] std::uint64_t StampOf(const std::string& aService) const;

private:
  /** Placements of a service's layouts, oldest first. */
  using Placements = std::vector<std::shared_ptr<const Placement>>;

  /** Returns whether aOwner is the only endpoint that can hold a partition.
      aOwnerIn returns the owner of the key or partition in a placement; it is
      called for older layouts with the same partitions as the newest one. */
  template<typename OwnerIn>
  [[nodiscard]] bool IsSettled(const ClusterState& aState,
                               const std::string& aService,
                               const Placements& aPlacements,
                               const std::string& aOwner,
                               PartitionId aPartition,
                               OwnerIn aOwnerIn) const;

  /** A partition of an older layout on which an endpoint still runs
      requests. */
  struct KeptPartition
  {
    std::string m_endpoint;
    std::uint64_t m_partition = 0;
  };

  [[nodiscard]] bool IsKept(const std::string& aService,
                            const std::string& aOwner,
                            PartitionId aPartition) const;

  std::map<std::string, Placements> m_placements;
  std::map<std::string, std::vector<KeptPartition>> m_kept;
  std::map<std::string, std::uint64_t> m_stamps;
};

} // namespace sapphirehook

#endif
