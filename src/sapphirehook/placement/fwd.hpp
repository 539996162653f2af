#ifndef SAPPHIREHOOK_PLACEMENT_FWD_HPP
#define SAPPHIREHOOK_PLACEMENT_FWD_HPP

/** Decides which endpoint a request is sent to, how long it waits, and when it
    is refused or retried. This code uses no clock, socket or thread. */
namespace sapphirehook {

class ColdStart;
class EndpointLoad;
class ServiceRetryBudget;
class EndpointChooser;
class KnownHosts;
struct AttemptState;
enum class AttemptEnd : unsigned char;

} // namespace sapphirehook

#endif
