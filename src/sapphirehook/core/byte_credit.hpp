#ifndef SAPPHIREHOOK_CORE_BYTE_CREDIT_HPP
#define SAPPHIREHOOK_CORE_BYTE_CREDIT_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sapphirehook {

/** Limits the rate of what is sent (a token bucket). A message may be sent
    whole while any credit is left, so that it may go below zero. */
class ByteCredit
{
public:
  /** Credit is gathered for aMost at the longest. */
  ByteCredit(double aBytesPerSecond, std::chrono::duration<double> aMost)
    : m_bytesPerSecond(aBytesPerSecond)
    , m_most(aBytesPerSecond * aMost.count())
  {
  }

  [[nodiscard]] bool MaySpend(TimePoint aNow) noexcept
  {
    const std::chrono::duration<double> passed =
      aNow - std::exchange(m_at, aNow);
    m_credit = std::min(m_credit + passed.count() * m_bytesPerSecond, m_most);
    return m_credit > 0.0;
  }

  void Spend(std::size_t aBytes) noexcept
  {
    m_credit -= static_cast<double>(aBytes);
  }

private:
  double m_bytesPerSecond;
  double m_most;
  double m_credit = 0.0;
  TimePoint m_at{};
};

} // namespace sapphirehook

#endif
