#ifndef SAPPHIREHOOK_KEYS_RANGE_KEEPER_HPP
#define SAPPHIREHOOK_KEYS_RANGE_KEEPER_HPP

#include "sapphirehook/keys/range_map.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

/** Durations of the leases on ranges. */
struct KeeperTimes
{
  /** How long a grant lasts, on the endpoint's clock. */
  Millis m_hold{ 4000 };
  /** A grant is renewed this long after it was answered. */
  Millis m_renewEvery{ 1500 };
  /** An order reaches its endpoint within this time of being sent, or not at
      all: its connection is reset then. */
  Millis m_orderLasts{ 400 };
  /** Wait before an order that failed is tried again. */
  Millis m_retryAfter{ 150 };
  /** An endpoint's clock may be slow by this much. */
  unsigned m_driftPpm = 20'000;
  /** Most grants in one round. A leader that begins has all ranges to grant,
     and others must hear it meanwhile. */
  std::size_t m_grantsPerRound = 40;
};

/** The safety rules of moves. Tests switch single rules off and show that
    the checks then find two holders. */
struct KeeperRules
{
  /** A range is given on only when its holder has released it, is known to
      be dead, or cannot hold it any more. */
  static constexpr bool kWaitForHold = true;
  /** A release is preceded by a grant with a fence above every grant that
      may still be carried out. */
  static constexpr bool kFenceBeforeRelease = true;
  /** A range is released only when no renewal of it is under way. */
  static constexpr bool kReleaseAlone = true;
  /** After a new connection the endpoint may be in another life, so its
      ranges get new fences. */
  static constexpr bool kFenceNewConnection = true;
  /** A leader that may have been replaced grants nothing to an endpoint that
      may have started again. */
  static constexpr bool kProofForNewConnection = true;
  /** An endpoint that has started again may hold what its earlier life was
      granted, until it has released it. */
  static constexpr bool kFollowOwner = true;
  /** Neighbouring ranges are joined only while no order for one of them is
      under way or may still be carried out. */
  static constexpr bool kJoinQuietOnly = true;
};

/** What the keeper knows of an endpoint that may hold ranges. */
struct KeeperEndpoint
{
  EndpointLife m_life;
  /** It may get more ranges, and keep those that it has. */
  bool m_usable = false;
  /** It has not answered for too long. */
  bool m_silent = false;
  /** This life has ended for certain. */
  bool m_dead = false;
  /** Work that it can do, relative to others. */
  double m_capacity = 1.0;
};

/** What tells whether an endpoint has ended. */
struct EndSigns
{
  /** Since when its port has refused connections, after all earlier ones broke
      unannounced. */
  std::optional<TimePoint> m_refusedSince;
  bool m_removed = false;
  bool m_draining = false;
  /** The list of endpoints was read at this time or later. */
  TimePoint m_listReadAt{};
};

/** Whether an endpoint has ended for certain, so that it holds nothing. One
    that leaves refuses connections while it still works, and a list read
    before the refusal does not show that it leaves; their holds are waited
    for. */
[[nodiscard]] constexpr bool
HasEnded(const EndSigns& aSigns) noexcept
{
  return aSigns.m_refusedSince &&
         aSigns.m_listReadAt >= *aSigns.m_refusedSince && !aSigns.m_removed &&
         !aSigns.m_draining;
}

/** An order that is to be sent to an endpoint. */
struct EndpointGrant
{
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  GrantOrder m_order;
};

struct EndpointRelease
{
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  ReleaseOrder m_order;
};

/** What the keeper wants done. */
struct KeeperActions
{
  std::vector<EndpointGrant> m_grants;
  std::vector<EndpointRelease> m_releases;
  /** Routes that all daemons should learn of. */
  std::vector<RangeRoute> m_routes;
};

/** Holds the assignments of one service's keys for the leader: renews leases,
    and moves ranges so that no key ever has two holders. It takes the time and
    events, and returns orders; it has no clock, socket or thread.

    A move goes through four steps: the old holder releases the range (or its
    hold runs out), the new assignment is stored, the new holder is granted
    the range with a higher fence, and daemons learn the route. The stored
    assignment thus names the only endpoint that may hold the range. */
template<typename Rules = KeeperRules>
class BasicRangeKeeper
{
public:
  /** aFirstFence is above every fence used before; aForeignEnds is when every
      grant of an earlier leader has run out. */
  BasicRangeKeeper(KeeperTimes aTimes,
                   Fence aFirstFence,
                   TimePoint aForeignEnds);

  /** Takes in a stored assignment. Its owner is taken to hold the range until
      a time, by the grants of an earlier leader, unless it says otherwise. */
  void Load(const RangeAssignment& aAssignment, TimePoint aPresumedUntil);

  /** Adds ranges for the keys that no assignment covers: at least as many as
      given, of equal size. */
  void CoverAll(unsigned aRanges);

  /** Replaces what is known of the endpoints. */
  void SetEndpoints(const std::vector<KeeperEndpoint>& aEndpoints);

  /** An endpoint was connected to anew: it may have started again. Its ranges
      wait for a proof of leadership that is younger than this, since another
      leader may have granted them with higher fences to the life before. */
  void OnNewConnection(TimePoint aNow, const std::string& aEndpoint);

  /** The grants of earlier leaders have run out by an earlier time than was
      thought. */
  void SetForeignEnds(TimePoint aNow, TimePoint aEnds);

  /** The store proved at a time that no later leader has claimed. */
  void SetProvenAt(TimePoint aProvenAt) noexcept { m_provenAt = aProvenAt; }

  void OnGrantEnd(TimePoint aNow,
                  std::uint64_t aId,
                  const OrderAnswer& aAnswer);
  void OnReleaseEnd(TimePoint aNow,
                    std::uint64_t aId,
                    const OrderAnswer& aAnswer);

  /** Moves the keys of a range to an endpoint; what covers them is cut at its
      ends. Ranges that are moving already are left alone. */
  void Move(TimePoint aNow, KeyRange aRange, const std::string& aTo);

  /** Returns what is due now. */
  [[nodiscard]] KeeperActions Tick(TimePoint aNow);

  /** The same for the ranges only that an answer or a move has changed since
      the last call; it costs nothing for all others. */
  [[nodiscard]] KeeperActions TickChanged(TimePoint aNow);

  /** Whether the last Tick left grants for the next, as there were too many. */
  [[nodiscard]] bool HasMoreGrants() const noexcept { return m_moreGrants; }

  /** Whether ranges wait for their new assignment to be stored. */
  [[nodiscard]] bool HasToStore() const;

  /** Starts to store: returns all assignments as they are to be stored, for
      the blocks of keys that have changed. Each block is a whole. */
  struct StoreBlock
  {
    unsigned m_block = 0;
    std::vector<RangeAssignment> m_assignments;
  };
  [[nodiscard]] std::vector<StoreBlock> BeginStore();

  /** The blocks from BeginStore have been stored. */
  void OnStored(TimePoint aNow);

  /** A view of a range for planning. */
  struct Held
  {
    KeyRange m_range;
    std::string m_endpoint;
    bool m_moving = false;
  };
  [[nodiscard]] std::vector<Held> Ranges() const;

  /** Routes of all ranges, for daemons that know none. */
  [[nodiscard]] std::vector<RangeRoute> Routes() const;

  /** When every grant that this keeper has sent has certainly run out. */
  [[nodiscard]] TimePoint AllGrantsEnd(TimePoint aNow) const;

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
    EndpointLife m_owner;
    EndpointLife m_target;
    Phase m_phase = Phase::Held;
    Fence m_fence = 0;
    /** Highest fence that the owner has answered, and highest that it may
        still carry out without having answered. */
    Fence m_answeredFence = 0;
    Fence m_unansweredFence = 0;
    TimePoint m_unansweredEnds{};
    /** The owner cannot hold the range after this, as far as is known. */
    TimePoint m_holdEnds{};
    TimePoint m_heldUntil{};
    TimePoint m_dueAt{};
    std::uint64_t m_grantId = 0;
    std::uint64_t m_releaseId = 0;
    bool m_needsFence = true;
    /** A grant needs a proof of leadership from this time or later. */
    TimePoint m_proofAfter{};
    bool m_granted = false;
    std::string m_handover;
  };

  [[nodiscard]] const KeeperEndpoint* Endpoint(const EndpointLife& aLife) const;
  /** Counts the keys that each endpoint holds or is to get, once a round. */
  void CountKeys();
  /** Returns the endpoint with the fewest keys for its capacity, and counts
      the range as its own; null when no endpoint may get one. */
  [[nodiscard]] const KeeperEndpoint* ChooseTarget(const Range& aRange);
  [[nodiscard]] bool OwnerStays(const Range& aRange) const;
  [[nodiscard]] bool OwnerIsDead(const Range& aRange) const;
  void FollowOwner(Range& aRange);
  void BeginMove(TimePoint aNow, Range& aRange, const EndpointLife& aTo);
  void TickRange(TimePoint aNow, Range& aRange, KeeperActions& aActions);
  void TickHeld(TimePoint aNow, Range& aRange, KeeperActions& aActions);
  void TickReleasing(TimePoint aNow, Range& aRange, KeeperActions& aActions);
  void SendGrant(Range& aRange, KeeperActions& aActions);
  [[nodiscard]] bool MayGrant(const Range& aRange) const noexcept
  {
    return !Rules::kProofForNewConnection || m_provenAt >= aRange.m_proofAfter;
  }
  void Publish(const Range& aRange);
  void CutBefore(Key aKey);
  void CutForDealing(KeyRange aRange);
  [[nodiscard]] bool CanJoin(TimePoint aNow,
                             const Range& aLower,
                             const Range& aUpper) const;
  static void Join(Range& aLower, const Range& aUpper);
  void JoinNeighbours(TimePoint aNow);
  /** Calls a function for each range that still waits for an order's end. */
  template<typename Function>
  void ForOrdered(std::uint64_t aId, Function aFunction);
  void SetGranted(Range& aRange, bool aGranted);
  [[nodiscard]] bool MayApplyLate(TimePoint aNow, const Range& aRange) const;

  KeeperTimes m_times;
  Fence m_nextFence;
  TimePoint m_foreignEnds;
  TimePoint m_provenAt{};
  std::uint64_t m_nextId = 1;
  std::map<Key, Range> m_ranges;
  std::map<EndpointLife, KeeperEndpoint> m_endpoints;
  std::map<EndpointLife, double> m_keyCounts;
  bool m_keysCounted = false;
  std::vector<RangeRoute> m_toPublish;
  /** Keys of the orders under way, by the order. */
  std::map<std::uint64_t, KeyRange> m_ordered;
  /** First key of the range at which the next round begins. */
  Key m_beginAt = 0;
  bool m_moreGrants = false;
  /** First keys of the ranges that TickChanged looks at. */
  std::set<Key> m_changed;
  /** Largest part of a lost endpoint's keys that goes to one other, in keys. */
  std::uint32_t m_dealtKeys = kKeyCount;
};

extern template class BasicRangeKeeper<KeeperRules>;

/** The keeper that daemons use. */
class RangeKeeper : public BasicRangeKeeper<KeeperRules>
{
  using BasicRangeKeeper::BasicRangeKeeper;
};

} // namespace sapphirehook

#endif
