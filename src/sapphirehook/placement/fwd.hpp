#ifndef SAPPHIREHOOK_PLACEMENT_FWD_HPP
#define SAPPHIREHOOK_PLACEMENT_FWD_HPP

/** Which endpoint a request is sent to, how long it waits, and when it is
    refused or tried again. Nothing here has a clock, socket or thread. */
namespace sapphirehook {

class EndpointLoad;
class ArrivalBudget;
class EndpointChooser;
struct AttemptState;
enum class AttemptEnd : unsigned char;

} // namespace sapphirehook

#endif
