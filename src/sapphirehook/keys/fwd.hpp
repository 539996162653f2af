#ifndef SAPPHIREHOOK_KEYS_FWD_HPP
#define SAPPHIREHOOK_KEYS_FWD_HPP

/** Exclusive ownership of ranges of keys, given to endpoints as leases. */
namespace sapphirehook {

struct KeyRange;
struct RangeAssignment;
struct GrantOrder;
struct ReleaseOrder;
struct OrderAnswer;
struct EarlierLeader;
class EarlierGrants;
class RangeMap;
class RangeKeeper;
class HotKeyCounter;

} // namespace sapphirehook

#endif
