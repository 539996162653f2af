#ifndef SAPPHIREHOOK_KEYS_FWD_HPP
#define SAPPHIREHOOK_KEYS_FWD_HPP

/** Exclusive ownership of key ranges, granted to endpoints as leases. */
namespace sapphirehook {

struct KeyRange;
struct RangeAssignment;
struct GrantCommand;
struct ReleaseCommand;
struct CommandResult;
struct EarlierLeader;
class EarlierGrants;
class RangeMap;
class RangeManager;
class HotKeyCounter;
class ArrivalWindow;
struct KeyLimit;
class KeyAdmission;

} // namespace sapphirehook

#endif
