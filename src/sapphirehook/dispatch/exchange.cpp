#include "sapphirehook/dispatch/exchange.hpp"

#include <utility>

namespace sapphirehook {

namespace {

void
Call(const std::function<void()>& aFunction)
{
  if (aFunction) {
    aFunction();
  }
}

} // namespace

bool
Exchange::Respond(ResponseHead aHead)
{
  std::function<void()> wake;
  {
    const std::lock_guard lock(m_mutex);
    if (m_response || m_failure) {
      return false;
    }
    m_response = std::move(aHead);
    wake = std::exchange(m_answerResume, nullptr);
  }
  Call(wake);
  return true;
}

void
Exchange::Fail(ErrorKind aKind)
{
  std::function<void()> wake;
  bool cut = false;
  {
    const std::lock_guard lock(m_mutex);
    cut = m_response.has_value();
    if (!cut && !m_failure) {
      m_failure = aKind;
      wake = std::exchange(m_answerResume, nullptr);
    }
  }
  m_requestBody.Discard();
  if (cut) {
    m_responseBody.Close(PipeEnd::Aborted);
  }
  Call(wake);
}

bool
Exchange::IsAnswered() const
{
  const std::lock_guard lock(m_mutex);
  return m_response || m_failure;
}

std::optional<ResponseHead>
Exchange::Response() const
{
  const std::lock_guard lock(m_mutex);
  return m_response;
}

std::optional<ErrorKind>
Exchange::Failure() const
{
  const std::lock_guard lock(m_mutex);
  return m_failure;
}

void
Exchange::Cancel()
{
  std::function<void()> hook;
  {
    const std::lock_guard lock(m_mutex);
    m_canceled = true;
    hook = std::exchange(m_cancelHook, nullptr);
  }
  m_requestBody.Close(PipeEnd::Aborted);
  m_responseBody.Discard();
  Call(hook);
}

void
Exchange::OnCancel(std::function<void()> aHook)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!m_canceled) {
      m_cancelHook = std::move(aHook);
      return;
    }
  }
  Call(aHook);
}

} // namespace sapphirehook
