#include "sapphirehook/keys/key_limits.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirehook {

namespace {

/** Part of an endpoint's capacity up to which its keys are admitted. The rest
    absorbs random variations, which would otherwise queue at the endpoint. */
constexpr double kUsedShare = 0.9;
/** A limited key always gets this share of its requests. */
constexpr double kMinShare = 0.02;
constexpr double kPermille = 1000.0;
/** A leader sets the limits several times a second, and a lost leader is
    replaced within about two seconds. */
constexpr Millis kLifetime{ 3000 };

} // namespace

std::vector<KeyLimit>
LimitHotKeys(double aCapacity, double aOtherRate, std::vector<KeyRate> aHotKeys)
{
  std::sort(aHotKeys.begin(),
            aHotKeys.end(),
            [](const KeyRate& aLeft, const KeyRate& aRight) {
              return aLeft.m_rate < aRight.m_rate;
            });
  double left = std::max(kUsedShare * aCapacity - aOtherRate, 0.0);
  std::vector<KeyLimit> limits;
  for (std::size_t i = 0; i < aHotKeys.size(); ++i) {
    const auto& [key, rate] = aHotKeys[i];
    const double admitted =
      std::min(rate, left / static_cast<double>(aHotKeys.size() - i));
    left -= admitted;
    if (admitted < rate) {
      const double share = std::max(admitted / rate, kMinShare);
      limits.push_back(
        { key, static_cast<std::uint32_t>(std::lround(share * kPermille)) });
    }
  }
  return limits;
}

void
KeyAdmission::Set(TimePoint aNow, const std::vector<KeyLimit>& aLimits)
{
  m_expiresAt = aNow + kLifetime;
  std::map<Key, Limit> limits;
  for (const auto& limit : aLimits) {
    const auto known = m_limits.find(limit.m_key);
    limits[limit.m_key] = { limit.m_admittedPermille,
                            known != m_limits.end() ? known->second.m_credit
                                                    : 0 };
  }
  m_limits = std::move(limits);
}

bool
KeyAdmission::Admit(TimePoint aNow, Key aKey)
{
  if (m_limits.empty()) {
    return true;
  }
  if (aNow >= m_expiresAt) {
    m_limits.clear();
    return true;
  }
  const auto found = m_limits.find(aKey);
  if (found == m_limits.end()) {
    return true;
  }
  auto& [permille, credit] = found->second;
  constexpr auto kOne = static_cast<std::uint32_t>(kPermille);
  credit += permille;
  if (credit < kOne) {
    return false;
  }
  credit -= kOne;
  return true;
}

} // namespace sapphirehook
