#include "sapphirehook/dispatch/exchange.hpp"

#include <utility>

namespace sapphirehook {

namespace {

void
CallIfSet(const std::function<void()>& aFunction)
{
  if (aFunction) {
    aFunction();
  }
}

} // namespace

bool
Exchange::Respond(ResponseHead aHead)
{
  std::function<void()> resume;
  {
    const std::lock_guard lock(m_mutex);
    if (m_response || m_failure) {
      return false;
    }
    m_response = std::move(aHead);
    resume = std::exchange(m_answerResume, nullptr);
  }
  CallIfSet(resume);
  return true;
}

void
Exchange::Fail(ErrorKind aKind)
{
  std::function<void()> resume;
  bool cut = false;
  {
    const std::lock_guard lock(m_mutex);
    cut = m_response.has_value();
    if (!cut && !m_failure) {
      m_failure = aKind;
      resume = std::exchange(m_answerResume, nullptr);
    }
  }
  m_requestBody.Discard();
  if (cut) {
    m_responseBody.Close(PipeEnd::Aborted);
  }
  CallIfSet(resume);
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
  std::function<void()> callback;
  {
    const std::lock_guard lock(m_mutex);
    m_canceled = true;
    callback = std::exchange(m_cancelCallback, nullptr);
  }
  m_requestBody.Close(PipeEnd::Aborted);
  m_responseBody.Discard();
  CallIfSet(callback);
}

void
Exchange::OnCancel(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!m_canceled) {
      m_cancelCallback = std::move(aCallback);
      return;
    }
  }
  CallIfSet(aCallback);
}

} // namespace sapphirehook
