#include "sapphirehook/placement/kind_work.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Number of answers of a kind from which on its mean is used. A few long
    requests dominate the mean of fewer answers. */
constexpr std::size_t kEnoughAnswers = 20;
/** Number of answers over which a mean extends: the work of a kind changes
    slowly, and long requests distort the mean of few answers. */
constexpr std::size_t kMeanAnswers = 200;
/** Bounds of the relative work, which limit the effect of a wrong mean. */
constexpr double kMinRelative = 0.1;
constexpr double kMaxRelative = 10.0;

} // namespace

void
KindWork::Mean::Add(double aSeconds) noexcept
{
  m_samples = std::min(m_samples + 1, kMeanAnswers);
  m_seconds += (aSeconds - m_seconds) / static_cast<double>(m_samples);
}

void
KindWork::OnAnswer(const KindKey& aKind, std::chrono::nanoseconds aService)
{
  const double seconds = std::chrono::duration<double>(aService).count();
  m_kinds[aKind].Add(seconds);
  m_all.Add(seconds);
}

double
KindWork::Relative(const KindKey& aKind) const
{
  const auto found = m_kinds.find(aKind);
  if (found == m_kinds.end() || found->second.m_samples < kEnoughAnswers ||
      m_all.m_seconds <= 0.0) {
    return 1.0;
  }
  return std::clamp(
    found->second.m_seconds / m_all.m_seconds, kMinRelative, kMaxRelative);
}

} // namespace sapphirehook
