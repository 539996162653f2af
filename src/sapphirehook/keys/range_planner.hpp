#ifndef SAPPHIREHOOK_KEYS_RANGE_PLANNER_HPP
#define SAPPHIREHOOK_KEYS_RANGE_PLANNER_HPP

#include "sapphirehook/keys/hot_key_counter.hpp"
#include "sapphirehook/keys/key_limits.hpp"
#include "sapphirehook/keys/range_manager.hpp"

#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** Settings that decide when the planner balances the load, and how far. */
struct PlannerConfig
{
  /** Windows over which request rates are averaged: the short one shows a hot
      range at once, the long one gives the usual rate of the other ranges. */
  std::chrono::nanoseconds m_shortWindow = std::chrono::milliseconds(600);
  std::chrono::nanoseconds m_longWindow = std::chrono::milliseconds(4000);
  /** The planner uses the short-window rate of a range where that rate differs
      from the long-window rate by more than this many standard deviations.
      Without this threshold a few more requests would move ranges. */
  double m_deviations = 2.5;
  /** The planner moves load off an endpoint only above this share of its
      capacity. */
  double m_busyShare = 0.55;
  /** The same share while no range may be split: whole ranges fit less often,
      and would move back and forth. */
  double m_overloadedShare = 0.9;
  /** The planner moves load off an endpoint only above this many times the mean
      load. */
  double m_maxMeanRatio = 1.25;
  /** Ranges are split into pieces of at most this share of an endpoint's
      capacity. */
  double m_pieceShare = 0.12;
  /** A piece moves only to an endpoint whose load after the move is at most
      this part of the load of the endpoint that the piece leaves. */
  double m_maxLoadRatio = 0.9;
  /** Largest number of ranges that move in one round. */
  std::size_t m_maxMoves = 48;
  /** A piece with more load than its endpoint can serve moves only to an
      endpoint with at least this many times the capacity. Its backlog has to
      end before the endpoint releases it, so that a move interrupts it. */
  double m_minCapacityRatio = 1.5;
  /** Number of ranges above which none is split. Whole ranges then move only
      off overloaded endpoints, and to endpoints without any. */
  std::size_t m_maxRanges = kMaxSplitRanges;
};

/** An endpoint and its capacity. */
struct PlannerEndpoint
{
  std::string m_name;
  /** Requests a second that the endpoint can serve. */
  double m_capacity = 0.0;
};

/** A planned move of a range to another endpoint. */
struct PlannedMove
{
  KeyRange m_range;
  std::string m_to;
};

/** Finds busy ranges from the daemons' request counts and spreads them. A range
    with more load than one endpoint can serve is split between its keys, and
    the pieces go to the least loaded endpoints. The planner handles a hot range
    of 60 to 200 adjacent keys that suddenly takes a third of all requests. */
class RangePlanner
{
public:
  explicit RangePlanner(PlannerConfig aConfig)
    : m_config(aConfig)
    , m_short(aConfig.m_shortWindow)
    , m_long(aConfig.m_longWindow)
  {
  }

  /** Adds the counts that a daemon reported. */
  void Add(const std::vector<KeyCount>& aCounts);

  /** Decays older counts and adds the new ones. Call before Plan. */
  void Advance(TimePoint aNow);

  /** Returns the moves that balance the load. */
  [[nodiscard]] std::vector<PlannedMove> Plan(
    const std::vector<RangeManager::Held>& aRanges,
    const std::vector<PlannerEndpoint>& aEndpoints) const;

  /** Returns the limits of the keys for which callers send more requests than
      their endpoints can serve. */
  [[nodiscard]] std::vector<KeyLimit> Limits(
    const std::vector<RangeManager::Held>& aRanges,
    const std::vector<PlannerEndpoint>& aEndpoints) const;

  /** Returns the requests a second on a range. */
  [[nodiscard]] double Rate(KeyRange aRange) const;

private:
  /** Exponentially decaying request count of each key. */
  class DecayingCounts
  {
  public:
    explicit DecayingCounts(std::chrono::nanoseconds aWindow)
      : m_window(aWindow)
      , m_counts(kKeyCount, 0.0F)
    {
    }

    /** Decays the counts by the time that has passed, and adds the counts of
        that time. */
    void Advance(std::chrono::duration<double> aPassed,
                 const std::vector<KeyCount>& aNew);

    [[nodiscard]] double Count(KeyRange aRange) const;
    [[nodiscard]] double Count(Key aKey) const
    {
      return static_cast<double>(m_counts[aKey]);
    }
    /** Returns the seconds that the counts represent: the window, or less at
        first. */
    [[nodiscard]] double Seconds() const noexcept;

  private:
    std::chrono::duration<double> m_window;
    std::chrono::duration<double> m_age{};
    std::vector<float> m_counts;
  };

  struct Piece
  {
    KeyRange m_range;
    double m_rate = 0.0;
  };

  /** Load of an endpoint, and the pieces that could be moved off it. */
  struct Load
  {
    double m_rate = 0.0;
    /** Variance of the rate, which comes from a limited number of requests. */
    double m_variance = 0.0;
    double m_capacity = 0.0;
    std::vector<KeyRange> m_ranges;
    std::vector<Piece> m_pieces;
    bool m_isSplit = false;
    /** The endpoint holds no range yet. */
    bool m_isNew = true;
    /** No further piece can usefully be moved off the endpoint. */
    bool m_settled = false;

    [[nodiscard]] double Share() const noexcept { return m_rate / m_capacity; }
    /** Lower confidence bound of the share: one standard deviation below it. */
    [[nodiscard]] double LowerBoundShare() const noexcept
    {
      return (m_rate - std::sqrt(m_variance)) / m_capacity;
    }
  };

  /** The counts to use for a range, and the factor that converts them to
      requests a second. */
  struct Basis
  {
    const DecayingCounts* m_counts = nullptr;
    double m_factor = 0.0;
  };
  [[nodiscard]] Basis BasisFor(KeyRange aRange) const;
  /** Whether a short-window count differs significantly from the count that is
      expected from the long window. */
  [[nodiscard]] bool Differs(double aSeen, double aExpected) const noexcept;
  void UpdateLoadLevel();
  [[nodiscard]] std::vector<Piece> SplitRange(KeyRange aRange,
                                              double aMaxRate) const;
  [[nodiscard]] static Load* Busiest(std::map<std::string, Load>& aLoads);
  [[nodiscard]] static const Load* SmallestNewcomer(
    const std::map<std::string, Load>& aLoads,
    double aMeanShare);
  bool MoveOne(Load& aFrom,
               double aMaxPieceRate,
               std::map<std::string, Load>& aLoads,
               std::vector<PlannedMove>& aMoves) const;

  PlannerConfig m_config;
  /** Counts added since the last Advance. */
  std::vector<KeyCount> m_new;
  DecayingCounts m_short;
  DecayingCounts m_long;
  /** Ratio of the current load of the service to its long-window load, without
      the hot keys. */
  double m_loadLevel = 1.0;
  TimePoint m_advancedAt{};
};

} // namespace sapphirehook

#endif
