#ifndef SAPPHIREHOOK_PEER_FWD_HPP
#define SAPPHIREHOOK_PEER_FWD_HPP

/** Messages and forwarded requests between daemons. */
namespace sapphirehook {

struct Heartbeat;
struct HeartbeatAnswer;
struct FetchRequest;
struct FetchAnswer;
class PeerMesh;

} // namespace sapphirehook

#endif
