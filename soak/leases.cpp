#include "soak/leases.hpp"

namespace sapphirehook::soak {

Leases::Leases()
  : m_rows(kKeyCount)
{
}

bool
Leases::Grant(const GrantCommand& aOrder, TimePoint aUntil)
{
  const auto& range = aOrder.m_range;
  for (std::uint32_t key = range.m_first; key <= range.m_last; ++key) {
    if (m_rows[key].m_highest > aOrder.m_fence) {
      return false;
    }
  }
  for (std::uint32_t key = range.m_first; key <= range.m_last; ++key) {
    m_rows[key] = { aOrder.m_fence, aUntil };
  }
  return true;
}

void
Leases::Release(KeyRange aRange)
{
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    m_rows[key].m_until = {};
  }
}

std::optional<Fence>
Leases::Holds(TimePoint aNow, Key aKey) const
{
  const auto& row = m_rows[aKey];
  return aNow < row.m_until ? std::optional(row.m_highest) : std::nullopt;
}

} // namespace sapphirehook::soak
