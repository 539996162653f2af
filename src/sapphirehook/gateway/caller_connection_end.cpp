#include "sapphirehook/gateway/caller_connection.hpp"

#include "sapphirehook/gateway/internal/answers.hpp"

// When a connection from a caller ends: its timers, and how it is closed.

namespace sapphirehook {

void
CallerConnection::RestartIdleTimer()
{
  if (m_answers.IsEmpty() && !m_parser.IsInMessage() && !m_finishing) {
    m_timer.Start(m_events.Limits().m_idleTimeout);
  }
}

void
CallerConnection::OnEnd()
{
  const auto self = shared_from_this();
  Close();
}

void
CallerConnection::OnTimer()
{
  const auto self = shared_from_this();
  if (!m_readsNothing && m_parser.IsInMessage() && !m_parser.IsHeadComplete()) {
    Refuse(internal::kTimeout, "request head took too long");
  } else if (!IsBusy()) {
    CloseIdle();
  } else {
    RestartIdleTimer();
  }
}

void
CallerConnection::CloseIdle()
{
  m_finishing = true;
  m_readsNothing = true;
  m_timer.Stop();
  m_stream.CloseAfterWrite({}, LateBytes::LeftUnread);
}

void
CallerConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_readsNothing = true;
  m_timer.Stop();
  DisconnectAll();
  m_stream.Close();
  m_events.OnClosed(*this);
}

} // namespace sapphirehook
