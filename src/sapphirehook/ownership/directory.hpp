#ifndef SAPPHIREHOOK_OWNERSHIP_DIRECTORY_HPP
#define SAPPHIREHOOK_OWNERSHIP_DIRECTORY_HPP

#include "sapphirehook/ownership/state.hpp"

#include <functional>
#include <memory>

namespace sapphirehook {

/** Owner of a key as the log has it. */
struct KeyOwner
{
  /** Null when no endpoint may own the key at present. */
  const std::string* m_endpoint = nullptr;
  /** No other endpoint can still hold the key. */
  bool m_settled = false;
  PartitionId m_partition;
};

/** Owners of all keys, computed from the state and kept up to date with it. */
class Directory
{
public:
  /** Takes over the layouts that have changed since the last call. */
  void Refresh(const ClusterState& aState);

  /** Returns the name of the service whose prefix is the longest that starts
      a path, or null when there is none. */
  [[nodiscard]] const std::string* FindService(const ClusterState& aState,
                                               std::string_view aPath) const;

  /** Returns the owner of a service's key. */
  [[nodiscard]] KeyOwner OwnerOf(const ClusterState& aState,
                                 const std::string& aService,
                                 std::string_view aKey) const;

  /** Returns the packed partitions that an endpoint owns and no other can
      still hold, in ascending order. */
  [[nodiscard]] std::vector<std::uint64_t> HeldBy(
    const ClusterState& aState,
    const std::string& aEndpoint) const;

  /** Returns the version of a service's newest layout; 0 without one. */
  [[nodiscard]] Version NewestLayout(const std::string& aService) const;

  /** Returns a number that changes whenever the owners of a service's keys, or
      what its endpoints may still hold, have changed. */
  [[nodiscard]] std::uint64_t StampOf(const std::string& aService) const;

private:
  /** Placements of a service's layouts, the oldest first. */
  using Placements = std::vector<std::shared_ptr<const Placement>>;

  /** Returns whether no other endpoint can hold what an owner function names
      in each of the older layouts. */
  template<typename OwnerIn>
  [[nodiscard]] bool IsSettled(const ClusterState& aState,
                               const std::string& aService,
                               const Placements& aPlacements,
                               const std::string& aOwner,
                               PartitionId aPartition,
                               OwnerIn aOwnerIn) const;

  /** A partition of an older layout that an endpoint still uses. */
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
