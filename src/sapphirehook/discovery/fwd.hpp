#ifndef SAPPHIREHOOK_DISCOVERY_FWD_HPP
#define SAPPHIREHOOK_DISCOVERY_FWD_HPP

/** Which endpoints there are, in which life, and whether they may get work. */
namespace sapphirehook {

struct EndpointLife;
struct EndpointRecord;
struct KnownEndpoint;
class EndpointDirectory;

} // namespace sapphirehook

#endif
