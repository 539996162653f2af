#ifndef SAPPHIREHOOK_CORE_FWD_HPP
#define SAPPHIREHOOK_CORE_FWD_HPP

/** Error kinds, clocks, identifiers, hashing, rings and byte pipes. */
namespace sapphirehook {

enum class ErrorKind : unsigned char;
struct BootClock;
struct HostId;
struct GroupId;
struct FencingToken;
class Waker;
class ArrivalClock;
class BytePipe;
class LatencyHistogram;
class MemoryBudget;
class BudgetedBytes;

template<typename Type>
class Ring;

} // namespace sapphirehook

#endif
