#ifndef SAPPHIREHOOK_KEYS_RANGE_MANAGER_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MANAGER_HPP

#include "sapphirehook/keys/range_map.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

/** Number of ranges of a service from which on none is split further. Each
   range costs renewals, and a leader sends a limited number of grants a second.
 */
inline constexpr std::size_t kMaxSplitRanges = 1500;

/** Durations and limits of the leases on ranges. */
struct RangeManagerTimes
{
  /** Lease duration of a grant, on the endpoint's clock. */
  Millis m_leaseDuration{ 4000 };
  /** Time from the answer to a grant until its renewal. */
  Millis m_renewEvery{ 1500 };
  /** A command reaches its endpoint within this time after it is sent, or not
      at all: after this time the connection is reset. */
  Millis m_commandTimeout{ 400 };
  /** Delay before a failed command is retried. */
  Millis m_retryAfter{ 150 };
  /** Largest amount by which an endpoint's clock may run slow. */
  unsigned m_driftPpm = 20'000;
  /** Largest number of grants in one round. A new leader has all ranges to
      grant, and its heartbeats must still reach the other daemons meanwhile. */
  std::size_t m_grantsPerRound = 40;
  /** Time that the move of one range takes: its release, which waits for the
      work in progress, the append to the store and the grant. */
  Millis m_moveTime{ 500 };
  /** Smallest number of ranges of evacuated endpoints that move at a time. */
  std::size_t m_minEvacuationMoves = 4;
};

/** Safety rules for moving ranges. Tests switch off one rule at a time and show
    that the checks then find two holders. */
struct RangeManagerRules
{
  /** A range is transferred only when its holder has released it or has no
      lease that may still be valid. */
  static constexpr bool kWaitForLeaseExpiry = true;
  /** An endpoint that refuses connections may be cut off and still hold its
      ranges. */
  static constexpr bool kRefusalKeepsLease = true;
  /** A faulty endpoint may spoil the status of its answer to a grant that it
      has executed. Whatever it has answered, it may hold the range. */
  static constexpr bool kAnyAnswerKeepsLease = true;
  /** Before a release, the leader sends a grant with a fence above that of
      every grant that the endpoint may still execute. */
  static constexpr bool kFenceBeforeRelease = true;
  /** A range is released only while no renewal of it is in flight. */
  static constexpr bool kReleaseAfterRenewal = true;
  /** The ranges of an endpoint get new fences after a reconnect, since the
      endpoint may have restarted. */
  static constexpr bool kNewFenceAfterReconnect = true;
  /** After a reconnect the endpoint may have restarted. It gets grants only
      once the store has confirmed that this leader has not been replaced. */
  static constexpr bool kConfirmAfterReconnect = true;
  /** A restarted endpoint may hold the ranges that its earlier incarnation was
      granted, until it has released them. */
  static constexpr bool kTrackOwnerRestart = true;
  /** Only the answer of a range's owner to a grant of this leader ends the wait
      for the grants of earlier leaders on the range. */
  static constexpr bool kWaitForOwnAnswer = true;
  /** Adjacent ranges are merged only while no command for either of them is in
      flight or may still be executed. */
  static constexpr bool kMergeIdleOnly = true;
  /** A range whose stored assignment may be out of date has no holder only once
      the grants of all earlier leaders have expired. */
  static constexpr bool kWaitForUnknownHolder = true;
};

/** State of an endpoint that may hold ranges. */
struct RangeManagerEndpoint
{
  EndpointIncarnation m_incarnation;
  /** The endpoint may keep its ranges and receive more. */
  bool m_usable = false;
  /** The endpoint has not answered for too long. */
  bool m_unresponsive = false;
  /** Capacity relative to other endpoints. */
  double m_capacity = 1.0;
  /** The endpoint is evacuated: it is to get no more ranges, and those that it
      has move a few at a time, so that all have moved by this time. Each keeps
      its lease until its turn. */
  std::optional<TimePoint> m_evacuateBy{};
};

/** A grant that is to be sent to an endpoint. */
struct EndpointGrant
{
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  GrantCommand m_command;
};

/** A release that is to be sent to an endpoint. */
struct EndpointRelease
{
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  ReleaseCommand m_command;
};

/** Commands to send and routes to publish. */
struct RangeManagerActions
{
  std::vector<EndpointGrant> m_grants;
  std::vector<EndpointRelease> m_releases;
  /** Routes to send to all daemons. */
  std::vector<RangeRoute> m_routes;
};

/** Manages the assignments of one service's keys for the leader: renews leases,
    and moves ranges such that no key ever has two holders. The class receives
    the time and events and returns commands. It has no clock, socket or thread.

    A move has four steps: the old holder releases the range (or its lease
    expires), the store accepts the new assignment, the new holder is granted
    the range with a higher fence, and the daemons receive the route. The stored
    assignment thus names the only endpoint that may hold the range. */
template<typename Rules = RangeManagerRules>
class BasicRangeManager
{
public:
  /** aFirstFence is above every fence used before. aPreviousGrantsExpiry is the
      time by which every grant of an earlier leader has expired. */
  BasicRangeManager(RangeManagerTimes aTimes,
                    Fence aFirstFence,
                    TimePoint aPreviousGrantsExpiry);

  /** Declares that the stored assignments of a block may be out of date. Any
      endpoint may hold its keys until the grants of earlier leaders have
      expired. They then go to the endpoints that the assignments name, if
      possible. Precedes the calls of Load and CoverAll. */
  void SetHoldersUnknown(unsigned aBlock) { m_unknownBlocks.insert(aBlock); }

  /** Adds a stored assignment. The owner is presumed to hold the range until
      aPresumedUntil, by a grant of an earlier leader, unless it answers
      otherwise. */
  void Load(const RangeAssignment& aAssignment, TimePoint aPresumedUntil);

  /** Adds ranges of equal size for the keys that no assignment covers. Covering
      all keys takes at least aRanges of them. */
  void CoverAll(unsigned aRanges);

  /** Replaces the state of all endpoints. */
  void SetEndpoints(const std::vector<RangeManagerEndpoint>& aEndpoints);

  /** A new connection to an endpoint was opened, so the endpoint may have
      restarted. Its ranges get no grants until the store confirms this leader's
      term as of aNow or later, since another leader may have granted them with
      higher fences to the earlier incarnation. */
  void OnNewConnection(TimePoint aNow, const std::string& aEndpoint);

  /** Lowers the time by which the grants of earlier leaders have expired. A
      later time than the known one has no effect. */
  void SetPreviousGrantsExpiry(TimePoint aEnds);

  /** The store has confirmed that no later leader has claimed, as of
      aConfirmedAt. */
  void SetConfirmedAt(TimePoint aConfirmedAt) noexcept
  {
    m_confirmedAt = aConfirmedAt;
  }

  void OnGrantEnd(TimePoint aNow,
                  std::uint64_t aId,
                  const CommandResult& aAnswer);
  void OnReleaseEnd(TimePoint aNow,
                    std::uint64_t aId,
                    const CommandResult& aAnswer);

  /** Moves the keys of aRange to an endpoint. The managed ranges that overlap
      aRange are split at its ends. Ranges that are already moving stay as they
      are. */
  void Move(TimePoint aNow, KeyRange aRange, const std::string& aTo);

  /** Returns the actions that are due now. */
  [[nodiscard]] RangeManagerActions Tick(TimePoint aNow);

  /** Returns the actions that are due for the ranges that an answer or a move
      has changed since the last call. Unchanged ranges cost nothing. */
  [[nodiscard]] RangeManagerActions TickChanged(TimePoint aNow);

  /** Whether the last Tick deferred grants because of the limit per round. */
  [[nodiscard]] bool HasMoreGrants() const noexcept { return m_moreGrants; }

  /** Whether there are ranges whose new assignment is not stored yet. */
  [[nodiscard]] bool HasToStore() const;

  /** All assignments of one block, in stored form. */
  struct StoreBlock
  {
    unsigned m_block = 0;
    std::vector<RangeAssignment> m_assignments;
  };
  /** Begins to store the changed assignments: returns the blocks that contain a
      change, each with all its assignments. */
  [[nodiscard]] std::vector<StoreBlock> BeginStore();

  /** Returns all blocks, including the changes that BeginStore has returned and
      that are not stored yet. */
  [[nodiscard]] std::vector<StoreBlock> AllBlocks() const;

  /** Whether ranges wait because their stored assignment may be out of date. */
  [[nodiscard]] bool HasUnknownHolders(TimePoint aNow) const;

  /** The store has accepted the blocks that BeginStore or AllBlocks returned.
   */
  void OnStored(TimePoint aNow);

  /** Makes all further fences at least aFirst, the first one of a new term. */
  void RaiseFences(Fence aFirst) noexcept
  {
    m_nextFence = std::max(m_nextFence, aFirst);
  }

  /** A view of a range for planning. */
  struct Held
  {
    KeyRange m_range;
    std::string m_endpoint;
    bool m_moving = false;
  };
  [[nodiscard]] std::vector<Held> Ranges() const;

  /** Returns the number of ranges that evacuated endpoints still hold. */
  [[nodiscard]] std::size_t RangesToEvacuate() const;

  /** Returns the routes of all ranges, for daemons that have none. */
  [[nodiscard]] std::vector<RangeRoute> Routes() const;

  /** Returns the time by which every grant that this manager has sent has
      certainly expired. */
  [[nodiscard]] TimePoint AllGrantsExpiry(TimePoint aNow) const;

private:
  enum class Phase : unsigned char
  {
    Held,
    Releasing,
    ToStore,
    Storing,
  };

  struct Range
  {
    KeyRange m_range;
    EndpointIncarnation m_owner;
    EndpointIncarnation m_target;
    Phase m_phase = Phase::Held;
    Fence m_fence = 0;
    /** Highest fence whose grant the owner has answered, and highest fence of a
        grant that the owner did not answer but may still execute. */
    Fence m_answeredFence = 0;
    Fence m_unansweredFence = 0;
    TimePoint m_unansweredExpiry{};
    /** Upper bound of the expiry of the owner's lease by this leader's grants.
     */
    TimePoint m_latestExpiry{};
    /** Upper bound of the expiry of the owner's lease by earlier leaders'
        grants. Passed once the owner has answered a grant of this leader: it
        refuses lower fences from then on. */
    TimePoint m_earlierExpiry{};
    /** The range counts as granted until this time: the lease duration after
        the last answer, or the presumed end of an earlier leader's grant. */
    TimePoint m_expectedExpiry{};
    TimePoint m_dueAt{};
    std::uint64_t m_grantId = 0;
    std::uint64_t m_releaseId = 0;
    bool m_needsFence = true;
    /** A grant needs a confirmation of leadership as of this time or later. */
    TimePoint m_confirmAfter{};
    bool m_granted = false;
    std::string m_handover;
    /** Any endpoint may hold the range until m_earlierExpiry. m_owner is empty.
     */
    bool m_holderUnknown = false;
    /** Endpoint that the range should go to then. */
    EndpointIncarnation m_preferred;
  };

  [[nodiscard]] const RangeManagerEndpoint* Endpoint(
    const EndpointIncarnation& aIncarnation) const;
  /** Counts the keys that each endpoint holds or is to receive, once a round.
   */
  void CountKeys();
  /** Returns the endpoint with the fewest keys for its capacity and adds the
      range to its count. Returns null if no endpoint may receive a range. */
  [[nodiscard]] const RangeManagerEndpoint* ChooseTarget(const Range& aRange);
  [[nodiscard]] bool OwnerIsUsable(const Range& aRange) const;
  /** Returns when the owner of a range is to be evacuated by. Empty if it is
      not evacuated, or is unresponsive and thus lost. */
  [[nodiscard]] std::optional<TimePoint> EvacuateBy(const Range& aRange) const;
  /** Computes how many ranges may begin to move off evacuated endpoints in this
      round. */
  void PlanEvacuation(TimePoint aNow);
  [[nodiscard]] bool MayHaveHolder(const Range& aRange) const;
  /** Whether any endpoint may hold the range. */
  [[nodiscard]] static bool IsHolderUnknown(TimePoint aNow,
                                            const Range& aRange) noexcept
  {
    return Rules::kWaitForUnknownHolder && aRange.m_holderUnknown &&
           aNow < aRange.m_earlierExpiry;
  }
  void AppendBlock(std::vector<StoreBlock>& aBlocks, unsigned aBlock) const;
  [[nodiscard]] static TimePoint LeaseExpiry(const Range& aRange) noexcept
  {
    return std::max(aRange.m_latestExpiry, aRange.m_earlierExpiry);
  }
  void TrackOwnerRestart(Range& aRange);
  void BeginMove(TimePoint aNow, Range& aRange, const EndpointIncarnation& aTo);
  void TickRange(TimePoint aNow, Range& aRange, RangeManagerActions& aActions);
  void TickHeld(TimePoint aNow, Range& aRange, RangeManagerActions& aActions);
  void TickReleasing(TimePoint aNow,
                     Range& aRange,
                     RangeManagerActions& aActions);
  void SendGrant(Range& aRange, RangeManagerActions& aActions);
  [[nodiscard]] bool MayGrant(const Range& aRange) const noexcept
  {
    return !Rules::kConfirmAfterReconnect ||
           m_confirmedAt >= aRange.m_confirmAfter;
  }
  void Publish(const Range& aRange);
  [[nodiscard]] static RangeRoute RouteOf(const Range& aRange);
  void SplitBefore(Key aKey);
  void SplitForRedistribution(KeyRange aRange);
  [[nodiscard]] bool CanMerge(TimePoint aNow,
                              const Range& aLower,
                              const Range& aUpper) const;
  static void Merge(Range& aLower, const Range& aUpper);
  void MergeNeighbours(TimePoint aNow);
  /** Calls a function for each range that still waits for a command's result,
      and forgets the command. */
  template<typename Function>
  void ForCommandRanges(std::uint64_t aId, Function aFunction);
  void SetGranted(Range& aRange, bool aGranted);
  [[nodiscard]] bool MayApplyLate(TimePoint aNow, const Range& aRange) const;

  RangeManagerTimes m_times;
  Fence m_nextFence;
  TimePoint m_previousGrantsExpiry;
  TimePoint m_confirmedAt{};
  std::uint64_t m_nextId = 1;
  std::map<Key, Range> m_ranges;
  /** Blocks whose stored assignments may be out of date. */
  std::set<unsigned> m_unknownBlocks;
  std::map<EndpointIncarnation, RangeManagerEndpoint> m_endpoints;
  std::map<EndpointIncarnation, double> m_keyCounts;
  bool m_keysCounted = false;
  std::vector<RangeRoute> m_toPublish;
  /** Keys of the commands in flight, by command id. */
  std::map<std::uint64_t, KeyRange> m_commandKeys;
  /** First key of the range at which the next round begins. */
  Key m_beginAt = 0;
  bool m_moreGrants = false;
  /** First keys of the ranges that TickChanged processes. */
  std::set<Key> m_changed;
  /** Size of the parts into which the ranges of a lost endpoint are split, so
      that its keys go to several others. */
  std::uint32_t m_redistributionKeys = kKeyCount;
  /** Number of ranges that may still begin to move off evacuated endpoints in
      this round. */
  std::size_t m_evacuationMoves = 0;
  bool m_hasEvacuations = false;
};

extern template class BasicRangeManager<RangeManagerRules>;

/** The range manager that daemons use. */
class RangeManager : public BasicRangeManager<RangeManagerRules>
{
  using BasicRangeManager::BasicRangeManager;
};

} // namespace sapphirehook

#endif
