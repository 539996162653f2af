#include "sapphirehook/placement/download_limit.hpp"

#include <algorithm>
#include <limits>

namespace sapphirehook {

namespace {

constexpr double kMegabit = 1e6; // bits
constexpr double kByteBits = 8.0;
/** Assumed size of an answer, in bytes, while a route has too few: the mean of
    the users' downloads. */
constexpr double kTypicalBytes = 90'000.0;
constexpr std::size_t kEnoughAnswers = 5;
/** Number of answers over which the mean size extends. */
constexpr std::size_t kMeanAnswers = 100;
/** A limit of one would leave the link idle while the endpoint works. */
constexpr double kMinLimit = 2.0;

} // namespace

void
DownloadLimit::OnAnswer(const std::string& aRoute, std::uint64_t aBytes)
{
  auto& size = m_sizes[aRoute];
  size.m_samples = std::min(size.m_samples + 1, kMeanAnswers);
  size.m_mean += (static_cast<double>(aBytes) - size.m_mean) /
                 static_cast<double>(size.m_samples);
}

std::size_t
DownloadLimit::Limit(const std::string& aRoute,
                     std::chrono::nanoseconds aObjective) const
{
  if (m_linkMbps <= 0.0) {
    return std::numeric_limits<std::size_t>::max();
  }
  const auto found = m_sizes.find(aRoute);
  const bool isKnown =
    found != m_sizes.end() && found->second.m_samples >= kEnoughAnswers;
  const double bytes =
    std::max(isKnown ? found->second.m_mean : kTypicalBytes, 1.0);
  const double perSecond = m_linkMbps * kMegabit / kByteBits;
  const double seconds = std::chrono::duration<double>(aObjective).count();
  return static_cast<std::size_t>(
    std::max(perSecond * seconds / bytes, kMinLimit));
}

} // namespace sapphirehook
