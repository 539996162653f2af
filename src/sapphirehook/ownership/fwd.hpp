#ifndef SAPPHIREHOOK_OWNERSHIP_FWD_HPP
#define SAPPHIREHOOK_OWNERSHIP_FWD_HPP

/** The folded cluster state, dispatcher authority, endpoint leases and
    placement of keys. */
namespace sapphirehook {

struct Record;
struct Layout;
struct Domain;
struct Group;
struct EndpointState;
struct ServiceState;
struct ClusterState;
class Placement;
class GroupAuthority;
class EndpointLease;
class Coordinator;

} // namespace sapphirehook

#endif
