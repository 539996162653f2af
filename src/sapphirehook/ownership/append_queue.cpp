#include "sapphirehook/ownership/append_queue.hpp"

namespace sapphirehook {

bool
AppendQueue::AppendOnce(const std::string& aPurpose,
                        RecordBody aBody,
                        Actions& aActions)
{
  if (!m_purposes.insert(aPurpose).second) {
    return false;
  }
  m_inFlight[++m_lastSequence] = aPurpose;
  aActions.emplace_back(
    AppendAction{ EncodeRecord({ m_self, m_lastSequence, std::move(aBody) }) });
  return true;
}

void
AppendQueue::OnRead(std::uint64_t aSequence)
{
  while (!m_inFlight.empty() && m_inFlight.begin()->first <= aSequence) {
    m_purposes.erase(m_inFlight.begin()->second);
    m_inFlight.erase(m_inFlight.begin());
  }
}

} // namespace sapphirehook
