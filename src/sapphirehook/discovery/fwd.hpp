#ifndef SAPPHIREHOOK_DISCOVERY_FWD_HPP
#define SAPPHIREHOOK_DISCOVERY_FWD_HPP

/** The known endpoints, their incarnations, and whether they may get work. */
namespace sapphirehook {

struct EndpointIncarnation;
struct EndpointRecord;
struct KnownEndpoint;
class EndpointDirectory;
class EndpointLiveness;
struct LivenessTimes;

} // namespace sapphirehook

#endif
