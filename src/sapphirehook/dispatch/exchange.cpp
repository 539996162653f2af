#include "sapphirehook/dispatch/exchange.hpp"

#include <algorithm>
#include <array>
#include <strings.h>
#include <utility>

namespace sapphirehook {

namespace {

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

void
Call(const std::function<void()>& aFunction)
{
  if (aFunction) {
    aFunction();
  }
}

} // namespace

const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  const auto found =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
      return SameName(aHeader.m_name, aName);
    });
  return found == aHeaders.end() ? nullptr : &found->m_value;
}

bool
IsHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 11> kHopHeaders{ "connection",
                                                          "keep-alive",
                                                          "proxy-connection",
                                                          "transfer-encoding",
                                                          "te",
                                                          "trailer",
                                                          "upgrade",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "expect",
                                                          "content-length" };
  return std::any_of(
    kHopHeaders.begin(), kHopHeaders.end(), [&](std::string_view aHop) {
      return SameName(aHop, aName);
    });
}

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
    m_responseBody.Close(PipeEnd::Cut);
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
  m_requestBody.Close(PipeEnd::Cut);
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
