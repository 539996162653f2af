#include "sapphirehook/dispatch/repeat_window.hpp"

namespace sapphirehook {

void
RepeatWindow::EvictOldest()
{
  const auto full = [this] {
    return m_states.size() >= m_capacity || m_order.size() >= 2 * m_capacity;
  };
  // Keys in progress are moved to the back instead of evicted. Each entry is
  // checked at most once per call.
  auto left = m_order.size();
  while (full() && left > 0) {
    --left;
    auto entry = std::move(m_order.front());
    m_order.pop_front();
    const auto found = m_states.find(entry.m_key);
    if (found == m_states.end() || found->second.m_number != entry.m_number) {
      continue;
    }
    if (found->second.m_state == RepeatState::InProgress) {
      m_order.push_back(std::move(entry));
    } else {
      m_states.erase(found);
    }
  }
}

std::optional<RepeatState>
RepeatWindow::Admit(const std::string& aKey)
{
  const auto found = m_states.find(aKey);
  if (found != m_states.end()) {
    return found->second.m_state;
  }
  EvictOldest();
  m_states[aKey] = { RepeatState::InProgress, ++m_lastNumber };
  m_order.push_back({ aKey, m_lastNumber });
  return std::nullopt;
}

void
RepeatWindow::OnEnded(const std::string& aKey, RepeatState aState)
{
  const auto found = m_states.find(aKey);
  if (found != m_states.end()) {
    found->second.m_state = aState;
  }
  if (m_states.size() > m_capacity) {
    EvictOldest();
  }
}

void
RepeatWindow::Forget(const std::string& aKey)
{
  m_states.erase(aKey);
}

} // namespace sapphirehook
