#ifndef SAPPHIREHOOK_OWNERSHIP_LAYOUT_FOLD_HPP
#define SAPPHIREHOOK_OWNERSHIP_LAYOUT_FOLD_HPP

#include "sapphirehook/ownership/state.hpp"

/** The parts of the fold that keep layouts in step with endpoints. */
namespace sapphirehook::internal {

/** Returns the status of a record that has no effect. */
[[nodiscard]] absl::Status
Ignored(std::string_view aReason);

/** Drops layouts by which no endpoint can hold a partition any more. */
void
PruneLayouts(const ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState);

/** Appends a layout when it differs from the newest one, and prunes. */
void
AppendLayout(ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState,
             Layout aLayout);

/** Appends the layout that a service's endpoints and rules now give. */
void
RebuildLayout(ClusterState& aState, const std::string& aService);

/** Forgets endpoints that have left and services without endpoints. */
void
CollectLeaving(ClusterState& aState);

} // namespace sapphirehook::internal

#endif
