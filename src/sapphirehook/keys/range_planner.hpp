#ifndef SAPPHIREHOOK_KEYS_RANGE_PLANNER_HPP
#define SAPPHIREHOOK_KEYS_RANGE_PLANNER_HPP

#include "sapphirehook/keys/hot_key_counter.hpp"
#include "sapphirehook/keys/range_keeper.hpp"

#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** When and how far the planner levels the load. */
struct PlannerConfig
{
  /** Times over which request rates are averaged: a short one that shows a hot
      range at once, and a long one that says how busy the others are. */
  std::chrono::nanoseconds m_shortWindow = std::chrono::milliseconds(600);
  std::chrono::nanoseconds m_longWindow = std::chrono::milliseconds(4000);
  /** The short rate counts where it differs from the long one by this many
      standard deviations; else a few requests more would move ranges. */
  double m_deviations = 2.5;
  /** Endpoints are unburdened above this share of their capacity. */
  double m_busyShare = 0.55;
  /** An endpoint is unburdened when it has this many times the mean load. */
  double m_excess = 1.25;
  /** A range is cut when it makes up more than this share of what an endpoint
      can do. */
  double m_pieceShare = 0.12;
  /** A piece moves only where the load then is below this part of what it
      leaves. */
  double m_gain = 0.9;
  /** Most ranges that move in one round. */
  std::size_t m_maxMoves = 48;
};

/** An endpoint as the planner sees it. */
struct PlannerEndpoint
{
  std::string m_name;
  /** Requests a second that it can work off. */
  double m_capacity = 0.0;
};

/** A range that should go to another endpoint. */
struct PlannedMove
{
  KeyRange m_range;
  std::string m_to;
};

/** Finds busy ranges from the daemons' counts and spreads them: a range that
    is more than one endpoint can serve is cut between its keys, and the pieces
    go to the endpoints with the most room. Answers a hot range of 60 to 200
    neighbouring keys that takes a third of all requests at once. */
class RangePlanner
{
public:
  explicit RangePlanner(PlannerConfig aConfig)
    : m_config(aConfig)
    , m_short(aConfig.m_shortWindow)
    , m_long(aConfig.m_longWindow)
  {
  }

  /** Takes a daemon's counts in. */
  void Add(const std::vector<KeyCount>& aCounts);

  /** Lets older counts fade; call before Plan. */
  void Advance(TimePoint aNow);

  /** Returns the moves that level the load. */
  [[nodiscard]] std::vector<PlannedMove> Plan(
    const std::vector<RangeKeeper::Held>& aRanges,
    const std::vector<PlannerEndpoint>& aEndpoints) const;

  /** Requests a second on a range. */
  [[nodiscard]] double Rate(KeyRange aRange) const;

private:
  /** Requests of each key, of which older ones count ever less. */
  class FadingCounts
  {
  public:
    explicit FadingCounts(std::chrono::nanoseconds aWindow)
      : m_window(aWindow)
      , m_counts(kKeyCount, 0.0F)
    {
    }

    /** Lets the counts fade by a time, and adds those of that time. */
    void Advance(std::chrono::duration<double> aPassed,
                 const std::vector<KeyCount>& aNew);

    [[nodiscard]] double Count(KeyRange aRange) const;
    [[nodiscard]] double Count(Key aKey) const
    {
      return static_cast<double>(m_counts[aKey]);
    }
    /** Seconds that the counts stand for: the window, or less at first. */
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

  /** An endpoint's requests a second, and what could be moved off it. */
  struct Load
  {
    double m_rate = 0.0;
    /** Variance of the rate, as it was counted over a short time. */
    double m_variance = 0.0;
    double m_capacity = 0.0;
    std::vector<KeyRange> m_ranges;
    std::vector<Piece> m_pieces;
    bool m_isCut = false;
    /** It holds no range yet. */
    bool m_isNew = true;
    /** Nothing more can be gained by moving off it. */
    bool m_settled = false;

    [[nodiscard]] double Share() const noexcept { return m_rate / m_capacity; }
    /** Share that the load very likely has at least. */
    [[nodiscard]] double LeastShare() const noexcept
    {
      return (m_rate - std::sqrt(m_variance)) / m_capacity;
    }
  };

  /** Counts that say how busy a range is, and what turns them into requests a
      second. */
  struct Basis
  {
    const FadingCounts* m_counts = nullptr;
    double m_factor = 0.0;
  };
  [[nodiscard]] Basis BasisFor(KeyRange aRange) const;
  /** Whether a range is busier or less busy now than the long counts say. */
  [[nodiscard]] bool Differs(double aSeen, double aExpected) const noexcept;
  void FindLevel();
  [[nodiscard]] std::vector<Piece> Cut(KeyRange aRange, double aMost) const;
  [[nodiscard]] static Load* Busiest(std::map<std::string, Load>& aLoads);
  bool MoveOne(Load& aFrom,
               std::map<std::string, Load>& aLoads,
               std::vector<PlannedMove>& aMoves) const;

  PlannerConfig m_config;
  /** Counts since the last Advance. */
  std::vector<KeyCount> m_new;
  FadingCounts m_short;
  FadingCounts m_long;
  /** How much busier the service is now than over the long time, but for what
     is hot. */
  double m_level = 1.0;
  TimePoint m_advancedAt{};
};

} // namespace sapphirehook

#endif
