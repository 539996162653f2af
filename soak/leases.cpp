#include "soak/leases.hpp"

namespace sapphirehook::soak {

Leases::Leases()
  : m_keyLeases(kKeyCount)
{
}

bool
Leases::Grant(const GrantCommand& aCommand, TimePoint aUntil)
{
  const auto& range = aCommand.m_range;
  for (std::uint32_t key = range.m_first; key <= range.m_last; ++key) {
    if (m_keyLeases[key].m_highestFence > aCommand.m_fence) {
      return false;
    }
  }
  for (std::uint32_t key = range.m_first; key <= range.m_last; ++key) {
    m_keyLeases[key] = { aCommand.m_fence, aUntil };
  }
  return true;
}

void
Leases::Release(KeyRange aRange)
{
  for (std::uint32_t key = aRange.m_first; key <= aRange.m_last; ++key) {
    m_keyLeases[key].m_until = {};
  }
}

std::optional<Fence>
Leases::HeldFence(TimePoint aNow, Key aKey) const
{
  const auto& row = m_keyLeases[aKey];
  return aNow < row.m_until ? std::optional(row.m_highestFence) : std::nullopt;
}

} // namespace sapphirehook::soak
