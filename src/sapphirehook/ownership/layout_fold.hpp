#ifndef SAPPHIREHOOK_OWNERSHIP_LAYOUT_FOLD_HPP
#define SAPPHIREHOOK_OWNERSHIP_LAYOUT_FOLD_HPP

#include "sapphirehook/ownership/state.hpp"

/** Internal functions of the fold that update layouts when endpoints change. */
namespace sapphirehook::internal {

/** Returns the status of a record that was ignored. */
[[nodiscard]] absl::Status
Ignored(std::string_view aReason);

/** Removes old layouts under which no endpoint can still hold a partition. */
void
PruneLayouts(const ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState);

/** Appends a layout if it differs from the newest one, then prunes old
    layouts. */
void
AppendLayout(ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState,
             Layout aLayout);

/** Computes the layout of a service from its current endpoints and rules, and
    appends it. */
void
RebuildLayout(ClusterState& aState, const std::string& aService);

/** Removes leaving endpoints that have released their partitions, and removed
    services without endpoints. */
void
RemoveDeparted(ClusterState& aState);

} // namespace sapphirehook::internal

#endif
