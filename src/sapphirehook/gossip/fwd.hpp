#ifndef SAPPHIREHOOK_GOSSIP_FWD_HPP
#define SAPPHIREHOOK_GOSSIP_FWD_HPP

/** Short datagrams between daemons: liveness, load, and where keys are. Each
    may be lost; what matters is said again or asked for. */
namespace sapphirehook {

struct Beat;
struct ToldEnd;
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
