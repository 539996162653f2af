#ifndef SAPPHIREHOOK_ENDPOINT_FWD_HPP
#define SAPPHIREHOOK_ENDPOINT_FWD_HPP

/** Requests and lease calls to endpoints. */
namespace sapphirehook {

struct SendRequest;
struct RequestEnded;
struct LeaseResult;
class EndpointClient;

} // namespace sapphirehook

#endif
