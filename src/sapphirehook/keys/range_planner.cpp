#include "sapphirehook/keys/range_planner.hpp"

#include <algorithm>
#include <array>

namespace sapphirehook {

namespace {

/** A count that has decayed below this value is set to 0. */
constexpr float kNegligible = 0.01F;
/** Lower bound of the seconds that counts represent, which applies just after
    the first report. */
constexpr double kMinSeconds = 0.2;
/** Number of key blocks in which the short-window load is compared with the
    long-window load. */
constexpr std::size_t kLevelBlocks = 256;
/** A difference of one request is never significant. */
constexpr double kOneRequest = 1.0;

/** A key is hot from this share of its endpoint's capacity on. Keys below it
    move to other endpoints. */
constexpr double kHotKeyShare = 0.4;

/** Lower bound of a capacity that is used as a divisor, in requests a second.
 */
constexpr double kMinCapacity = 0.1;
/** An endpoint without a range receives at least this part of the mean load. */
constexpr double kMinNewEndpointShare = 0.5;
/** Above the rate of any range, in requests a second. */
constexpr double kUnlimitedRate = 1e12;
/** Base rate that is added for each key, in requests a second, so that keys
    without traffic are distributed too. */
constexpr double kIdleKeyRate = 2e-5;

} // namespace

void
RangePlanner::DecayingCounts::Advance(std::chrono::duration<double> aPassed,
                                      const std::vector<KeyCount>& aNew)
{
  const double kept = std::exp(-aPassed / m_window);
  m_age += aPassed;
  for (auto& count : m_counts) {
    if (count != 0.0F) {
      count = count < kNegligible ? 0.0F : count * static_cast<float>(kept);
    }
  }
  // New counts are on average half as old as the time that has passed.
  const auto keptOfNew = static_cast<float>(std::sqrt(kept));
  for (const auto& one : aNew) {
    m_counts[one.m_key] += static_cast<float>(one.m_count) * keptOfNew;
  }
}

double
RangePlanner::DecayingCounts::Count(KeyRange aRange) const
{
  double count = 0.0;
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    count += static_cast<double>(m_counts[key]);
  }
  return count;
}

double
RangePlanner::DecayingCounts::Seconds() const noexcept
{
  return std::max(m_window.count() * (1.0 - std::exp(-m_age / m_window)),
                  kMinSeconds);
}

void
RangePlanner::Add(const std::vector<KeyCount>& aCounts)
{
  m_new.insert(m_new.end(), aCounts.begin(), aCounts.end());
}

void
RangePlanner::Advance(TimePoint aNow)
{
  if (m_advancedAt == TimePoint{}) {
    m_advancedAt = aNow;
  }
  const std::chrono::duration<double> passed = aNow - m_advancedAt;
  m_advancedAt = aNow;
  m_short.Advance(passed, m_new);
  m_long.Advance(passed, m_new);
  m_new.clear();
  UpdateLoadLevel();
}

/** Computes the ratio of the short-window counts to the long-window counts over
    all keys, then again without the blocks that are hot. A load peak raises the
    rates of all keys alike, so it must not make ranges count as hot. */
void
RangePlanner::UpdateLoadLevel()
{
  const double scale = m_short.Seconds() / m_long.Seconds();
  std::array<double, kLevelBlocks> seen{};
  std::array<double, kLevelBlocks> usual{};
  double allSeen = 0.0;
  double allUsual = 0.0;
  constexpr std::uint32_t kLevelKeys = kKeyCount / kLevelBlocks;
  for (std::uint32_t block = 0; block < kLevelBlocks; ++block) {
    const KeyRange range{ static_cast<Key>(block * kLevelKeys),
                          static_cast<Key>((block + 1) * kLevelKeys - 1) };
    seen[block] = m_short.Count(range);
    usual[block] = m_long.Count(range) * scale;
    allSeen += seen[block];
    allUsual += usual[block];
  }
  if (allUsual <= 0.0) {
    m_loadLevel = 1.0;
    return;
  }
  const double all = allSeen / allUsual;
  for (std::size_t block = 0; block < kLevelBlocks; ++block) {
    if (Differs(seen[block], usual[block] * all)) {
      allSeen -= seen[block];
      allUsual -= usual[block];
    }
  }
  m_loadLevel = allUsual > 0.0 ? allSeen / allUsual : all;
}

bool
RangePlanner::Differs(double aSeen, double aExpected) const noexcept
{
  // A decaying count has half the variance of a count over a window of the same
  // length.
  const double deviation = std::sqrt(std::max(aSeen, aExpected) / 2.0);
  return std::abs(aSeen - aExpected) >
         m_config.m_deviations * deviation + kOneRequest;
}

RangePlanner::Basis
RangePlanner::BasisFor(KeyRange aRange) const
{
  const double factor = m_loadLevel / m_long.Seconds();
  const double expected = m_long.Count(aRange) * factor * m_short.Seconds();
  if (Differs(m_short.Count(aRange), expected)) {
    return { &m_short, 1.0 / m_short.Seconds() };
  }
  return { &m_long, factor };
}

double
RangePlanner::Rate(KeyRange aRange) const
{
  const auto basis = BasisFor(aRange);
  return kIdleKeyRate * aRange.Size() +
         basis.m_counts->Count(aRange) * basis.m_factor;
}

std::vector<RangePlanner::Piece>
RangePlanner::SplitRange(KeyRange aRange, double aMaxRate) const
{
  const auto basis = BasisFor(aRange);
  std::vector<Piece> pieces;
  Piece piece{ { aRange.m_first, aRange.m_first }, 0.0 };
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    const double rate =
      kIdleKeyRate +
      basis.m_counts->Count(static_cast<Key>(key)) * basis.m_factor;
    if (piece.m_rate > 0.0 && piece.m_rate + rate > aMaxRate) {
      piece.m_range.m_last = static_cast<Key>(key - 1);
      pieces.push_back(piece);
      piece = { { static_cast<Key>(key), static_cast<Key>(key) }, 0.0 };
    }
    piece.m_rate += rate;
  }
  piece.m_range.m_last = aRange.m_last;
  pieces.push_back(piece);
  return pieces;
}

std::vector<PlannedMove>
RangePlanner::Plan(const std::vector<RangeManager::Held>& aRanges,
                   const std::vector<PlannerEndpoint>& aEndpoints) const
{
  std::map<std::string, Load> loads;
  double capacity = 0.0;
  for (const auto& endpoint : aEndpoints) {
    loads[endpoint.m_name].m_capacity =
      std::max(endpoint.m_capacity, kMinCapacity);
    capacity += endpoint.m_capacity;
  }
  if (capacity <= 0.0 || loads.size() < 2) {
    return {};
  }
  double total = 0.0;
  for (const auto& range : aRanges) {
    const double rate = Rate(range.m_range);
    total += rate;
    const auto holder = loads.find(range.m_endpoint);
    if (holder != loads.end()) {
      holder->second.m_rate += rate;
      holder->second.m_variance +=
        rate * BasisFor(range.m_range).m_factor / 2.0;
      holder->second.m_isNew = false;
      if (!range.m_moving) {
        holder->second.m_ranges.push_back(range.m_range);
      }
    }
  }
  const bool maySplit = aRanges.size() <= m_config.m_maxRanges;
  const double busyShare =
    maySplit ? m_config.m_busyShare : m_config.m_overloadedShare;
  const double maxShare =
    std::max(busyShare, total / capacity * m_config.m_maxMeanRatio);
  std::vector<PlannedMove> moves;
  const double mean = total / capacity;
  while (moves.size() < m_config.m_maxMoves) {
    auto* busiest = Busiest(loads);
    // A new endpoint receives its part even if no endpoint is busy.
    const auto* newcomer = SmallestNewcomer(loads, mean);
    if (busiest == nullptr ||
        (busiest->LowerBoundShare() <= maxShare && newcomer == nullptr)) {
      break;
    }
    double maxRate = kUnlimitedRate;
    if (maySplit) {
      maxRate = busiest->m_capacity * m_config.m_pieceShare;
      maxRate = newcomer == nullptr
                  ? maxRate
                  : std::min(maxRate, newcomer->m_capacity * mean);
    }
    if (!MoveOne(*busiest, maxRate, loads, moves)) {
      busiest->m_settled = true;
    }
  }
  return moves;
}

std::vector<KeyLimit>
RangePlanner::Limits(const std::vector<RangeManager::Held>& aRanges,
                     const std::vector<PlannerEndpoint>& aEndpoints) const
{
  struct Holder
  {
    double m_rate = 0.0;
    std::vector<KeyRange> m_ranges;
  };
  std::map<std::string, Holder> holders;
  for (const auto& range : aRanges) {
    auto& holder = holders[range.m_endpoint];
    holder.m_rate += Rate(range.m_range);
    holder.m_ranges.push_back(range.m_range);
  }
  std::vector<KeyLimit> limits;
  for (const auto& endpoint : aEndpoints) {
    const double capacity = std::max(endpoint.m_capacity, kMinCapacity);
    const auto& holder = holders[endpoint.m_name];
    if (holder.m_rate <= capacity) {
      continue;
    }
    std::vector<KeyRate> hot;
    double hotRate = 0.0;
    for (const auto& range : holder.m_ranges) {
      for (std::uint32_t key = range.m_first; key <= range.m_last; ++key) {
        const auto one = static_cast<Key>(key);
        const double rate = Rate({ one, one });
        if (rate >= capacity * kHotKeyShare) {
          hot.push_back({ one, rate });
          hotRate += rate;
        }
      }
    }
    const auto keys = LimitHotKeys(
      capacity, std::max(holder.m_rate - hotRate, 0.0), std::move(hot));
    limits.insert(limits.end(), keys.begin(), keys.end());
  }
  return limits;
}

/** Returns the endpoint of the lowest capacity among those that hold no range
    and are to receive less than their part, or null if there is none. */
const RangePlanner::Load*
RangePlanner::SmallestNewcomer(const std::map<std::string, Load>& aLoads,
                               double aMeanShare)
{
  const Load* smallest = nullptr;
  for (const auto& [name, load] : aLoads) {
    if (load.m_isNew && load.Share() < aMeanShare * kMinNewEndpointShare &&
        (smallest == nullptr || load.m_capacity < smallest->m_capacity)) {
      smallest = &load;
    }
  }
  return smallest;
}

RangePlanner::Load*
RangePlanner::Busiest(std::map<std::string, Load>& aLoads)
{
  Load* busiest = nullptr;
  for (auto& [name, load] : aLoads) {
    if (!load.m_settled &&
        (busiest == nullptr || load.Share() > busiest->Share())) {
      busiest = &load;
    }
  }
  return busiest;
}

/** Moves one piece off an endpoint: the busiest piece that another endpoint can
    take without becoming as busy. The first call splits the endpoint's ranges
    into pieces of at most aMaxPieceRate. Returns false if there is none. */
bool
RangePlanner::MoveOne(Load& aFrom,
                      double aMaxPieceRate,
                      std::map<std::string, Load>& aLoads,
                      std::vector<PlannedMove>& aMoves) const
{
  if (!aFrom.m_isSplit) {
    aFrom.m_isSplit = true;
    for (const auto& range : aFrom.m_ranges) {
      const auto pieces = SplitRange(range, aMaxPieceRate);
      aFrom.m_pieces.insert(aFrom.m_pieces.end(), pieces.begin(), pieces.end());
    }
    std::sort(aFrom.m_pieces.begin(),
              aFrom.m_pieces.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.m_rate > aRight.m_rate;
              });
  }
  for (auto piece = aFrom.m_pieces.begin(); piece != aFrom.m_pieces.end();
       ++piece) {
    const auto shareAfter = [&](const Load& aLoad) {
      return (aLoad.m_rate + piece->m_rate) / aLoad.m_capacity;
    };
    const auto to = std::min_element(
      aLoads.begin(), aLoads.end(), [&](const auto& aLeft, const auto& aRight) {
        return shareAfter(aLeft.second) < shareAfter(aRight.second);
      });
    const bool exceedsHolder =
      piece->m_rate >= aFrom.m_capacity &&
      to->second.m_capacity < aFrom.m_capacity * m_config.m_minCapacityRatio;
    if (&to->second == &aFrom || piece->m_rate <= 0.0 || exceedsHolder ||
        shareAfter(to->second) > aFrom.Share() * m_config.m_maxLoadRatio) {
      continue;
    }
    to->second.m_rate += piece->m_rate;
    aFrom.m_rate -= piece->m_rate;
    aMoves.push_back({ piece->m_range, to->first });
    aFrom.m_pieces.erase(piece);
    return true;
  }
  return false;
}

} // namespace sapphirehook
