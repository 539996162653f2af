#include "sapphirehook/keys/range_planner.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirehook {

namespace {

/** What faded below this count is dropped. */
constexpr float kNegligible = 0.01F;

struct Load
{
  double m_rate = 0.0;
  double m_capacity = 0.0;
  std::vector<std::size_t> m_ranges;

  [[nodiscard]] double Share() const noexcept { return m_rate / m_capacity; }
};

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
  return count / std::chrono::duration<double>(m_config.m_window).count();
}

std::vector<RangePlanner::Piece>
RangePlanner::Cut(KeyRange aRange, double aMost) const
{
  const double window =
    std::chrono::duration<double>(m_config.m_window).count();
  std::vector<Piece> pieces;
  Piece piece{ { aRange.m_first, aRange.m_first }, 0.0 };
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    const double rate = static_cast<double>(m_rates[key]) / window;
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
    loads[endpoint.m_name].m_capacity = std::max(endpoint.m_capacity, 0.1);
    capacity += endpoint.m_capacity;
  }
  std::vector<double> rates(aRanges.size());
  double total = 0.0;
  for (std::size_t i = 0; i < aRanges.size(); ++i) {
    rates[i] = Rate(aRanges[i].m_range);
    total += rates[i];
    const auto holder = loads.find(aRanges[i].m_endpoint);
    if (holder != loads.end()) {
      holder->second.m_rate += rates[i];
      if (!aRanges[i].m_moving) {
        holder->second.m_ranges.push_back(i);
      }
    }
  }
  if (capacity <= 0.0 || loads.size() < 2) {
    return {};
  }
  const double mean = total / capacity;
  const double most = std::max(m_config.m_busyShare, mean * m_config.m_excess);
  std::vector<Piece> pieces;
  for (auto& [name, load] : loads) {
    if (load.Share() <= most) {
      continue;
    }
    std::sort(load.m_ranges.begin(),
              load.m_ranges.end(),
              [&](std::size_t aLeft, std::size_t aRight) {
                return rates[aLeft] > rates[aRight];
              });
    const double goal = std::max(mean, m_config.m_busyShare / 2);
    for (const std::size_t i : load.m_ranges) {
      const double pieceMost = load.m_capacity * m_config.m_pieceShare;
      for (const auto& piece : Cut(aRanges[i].m_range, pieceMost)) {
        const bool isExcess =
          load.m_rate - piece.m_rate / 2 > goal * load.m_capacity;
        if (piece.m_rate > 0.0 && isExcess) {
          load.m_rate -= piece.m_rate;
          pieces.push_back(piece);
        }
      }
    }
  }
  std::sort(pieces.begin(), pieces.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.m_rate > aRight.m_rate;
  });
  pieces.resize(std::min(pieces.size(), m_config.m_maxMoves));
  std::vector<PlannedMove> moves;
  for (const auto& piece : pieces) {
    const auto to = std::min_element(
      loads.begin(), loads.end(), [&](const auto& aLeft, const auto& aRight) {
        const auto after = [&](const Load& aLoad) {
          return (aLoad.m_rate + piece.m_rate) / aLoad.m_capacity;
        };
        return after(aLeft.second) < after(aRight.second);
      });
    to->second.m_rate += piece.m_rate;
    moves.push_back({ piece.m_range, to->first });
  }
  return moves;
}

} // namespace sapphirehook
