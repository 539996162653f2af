#include "sapphirehook/keys/range_planner.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirehook {

namespace {

/** What faded below this count is dropped. */
constexpr float kNegligible = 0.01F;

/** Keeps a division by a capacity of nothing harmless, in requests a second. */
constexpr double kLeastCapacity = 0.1;
/** An endpoint without a range is given at least this part of the mean load. */
constexpr double kNewcomerPart = 0.5;
/** Requests a second that any key is reckoned to get, so that keys without
    traffic are dealt out too. */
constexpr double kIdleKeyRate = 2e-5;

} // namespace

void
RangePlanner::Add(const std::vector<KeyCount>& aCounts)
{
  for (const auto& one : aCounts) {
    m_rates[one.m_key] += static_cast<float>(one.m_count);
  }
}

void
RangePlanner::Advance(TimePoint aNow)
{
  if (m_advancedAt == TimePoint{}) {
    m_advancedAt = aNow;
  }
  const std::chrono::duration<double> passed = aNow - m_advancedAt;
  const std::chrono::duration<double> window = m_config.m_window;
  const auto kept = static_cast<float>(std::exp(-passed / window));
  m_advancedAt = aNow;
  for (auto& rate : m_rates) {
    if (rate != 0.0F) {
      rate = rate < kNegligible ? 0.0F : rate * kept;
    }
  }
}

double
RangePlanner::Rate(KeyRange aRange) const
{
  double count = 0.0;
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    count += static_cast<double>(m_rates[key]);
  }
  return kIdleKeyRate * aRange.Size() +
         count / std::chrono::duration<double>(m_config.m_window).count();
}

std::vector<RangePlanner::Piece>
RangePlanner::Cut(KeyRange aRange, double aMost) const
{
  const double window =
    std::chrono::duration<double>(m_config.m_window).count();
  std::vector<Piece> pieces;
  Piece piece{ { aRange.m_first, aRange.m_first }, 0.0 };
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    const double rate =
      kIdleKeyRate + static_cast<double>(m_rates[key]) / window;
    if (piece.m_rate > 0.0 && piece.m_rate + rate > aMost) {
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
RangePlanner::Plan(const std::vector<RangeKeeper::Held>& aRanges,
                   const std::vector<PlannerEndpoint>& aEndpoints) const
{
  std::map<std::string, Load> loads;
  double capacity = 0.0;
  for (const auto& endpoint : aEndpoints) {
    loads[endpoint.m_name].m_capacity =
      std::max(endpoint.m_capacity, kLeastCapacity);
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
      holder->second.m_isNew = false;
      if (!range.m_moving) {
        holder->second.m_ranges.push_back(range.m_range);
      }
    }
  }
  const double most =
    std::max(m_config.m_busyShare, total / capacity * m_config.m_excess);
  std::vector<PlannedMove> moves;
  const double mean = total / capacity;
  while (moves.size() < m_config.m_maxMoves) {
    auto* busiest = Busiest(loads);
    // An endpoint that has joined gets its part also while none is busy.
    const bool newcomer =
      std::any_of(loads.begin(), loads.end(), [&](const auto& aOne) {
        return aOne.second.m_isNew &&
               aOne.second.Share() < mean * kNewcomerPart;
      });
    if (busiest == nullptr || (busiest->Share() <= most && !newcomer)) {
      break;
    }
    if (!MoveOne(*busiest, loads, moves)) {
      busiest->m_settled = true;
    }
  }
  return moves;
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

/** Moves one piece off an endpoint: the busiest one that another endpoint can
    take without becoming as busy. Returns false when there is none. */
bool
RangePlanner::MoveOne(Load& aFrom,
                      std::map<std::string, Load>& aLoads,
                      std::vector<PlannedMove>& aMoves) const
{
  if (!aFrom.m_isCut) {
    aFrom.m_isCut = true;
    for (const auto& range : aFrom.m_ranges) {
      const auto pieces = Cut(range, aFrom.m_capacity * m_config.m_pieceShare);
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
    if (&to->second == &aFrom || piece->m_rate <= 0.0 ||
        shareAfter(to->second) > aFrom.Share() * m_config.m_gain) {
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
