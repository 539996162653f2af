#ifndef SAPPHIREHOOK_GOSSIP_FWD_HPP
#define SAPPHIREHOOK_GOSSIP_FWD_HPP

/** Short datagrams between daemons that carry liveness, load and key locations.
    Any datagram may be lost; important data is sent again or requested by the
    receiver. */
namespace sapphirehook {

struct GossipHeartbeat;
struct ReportedEnd;
struct KeyReport;
struct RouteUpdate;
struct RouteRequest;
struct Resignation;
struct TopicBatch;
struct TopicRelay;
struct TopicRequest;
struct PartialBatch;
struct CatchUpStep;
class BatchAssembler;
class TopicCatchUp;
class FleetSize;
class Gossip;

} // namespace sapphirehook

#endif
