#ifndef SAPPHIREHOOK_CORE_BYTE_RATE_LIMITER_HPP
#define SAPPHIREHOOK_CORE_BYTE_RATE_LIMITER_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sapphirehook {

/** Limits the rate of sent bytes (a token bucket). A message may be sent whole
    while any credit is left, so the credit may become negative. */
class ByteRateLimiter
{
public:
  /** The credit accrues for at most aMaxAccrual. */
  ByteRateLimiter(double aBytesPerSecond,
                  std::chrono::duration<double> aMaxAccrual)
    : m_bytesPerSecond(aBytesPerSecond)
    , m_maxCredit(aBytesPerSecond * aMaxAccrual.count())
  {
  }

  /** Adds the credit since the last call, and returns whether any is left. */
  [[nodiscard]] bool HasCredit(TimePoint aNow) noexcept
  {
    const std::chrono::duration<double> elapsed =
      aNow - std::exchange(m_refilledAt, aNow);
    m_credit =
      std::min(m_credit + elapsed.count() * m_bytesPerSecond, m_maxCredit);
    return m_credit > 0.0;
  }

  void Spend(std::size_t aBytes) noexcept
  {
    m_credit -= static_cast<double>(aBytes);
  }

private:
  double m_bytesPerSecond;
  double m_maxCredit;
  double m_credit = 0.0;
  TimePoint m_refilledAt{};
};

} // namespace sapphirehook

#endif
