#include "sapphirehook/core/byte_pipe.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace sapphirehook {

void
BytePipe::Invoke(const std::function<void()>& aFunction)
{
  if (aFunction) {
    aFunction();
  }
}

std::size_t
BytePipe::Append(std::string_view aBytes)
{
  if (m_discarding) {
    return aBytes.size();
  }
  if (m_end != PipeEnd::Open) {
    return 0;
  }
  const std::size_t unread = m_buffer.size() - m_position;
  const std::size_t freeBytes = kPipeCapacityBytes - unread;
  const std::size_t accepted = std::min(freeBytes, aBytes.size());
  m_buffer.append(aBytes.substr(0, accepted));
  return accepted;
}

BytePipe::ReadResult
BytePipe::Consume(char* aBuffer, std::size_t aSize)
{
  const std::size_t unread = m_buffer.size() - m_position;
  const std::size_t bytes = std::min(unread, aSize);
  if (bytes == 0) {
    return { 0, m_end };
  }
  std::memcpy(aBuffer, m_buffer.data() + m_position, bytes);
  m_position += bytes;
  DiscardConsumed();
  return { bytes, PipeEnd::Open };
}

void
BytePipe::DiscardConsumed()
{
  if (m_rewindable && m_position > kRewindBytes) {
    m_rewindable = false;
  }
  if (m_rewindable) {
    return;
  }
  const bool shouldCompact = m_position * 2 >= m_buffer.size();
  if (shouldCompact) {
    m_buffer.erase(0, m_position);
    m_position = 0;
  }
}

bool
BytePipe::WriteWhole(std::string_view aBytes, std::function<void()> aResume)
{
  std::function<void()> wake;
  {
    const std::lock_guard lock(m_mutex);
    const std::size_t unread = m_buffer.size() - m_position;
    const bool fits =
      m_discarding || unread + aBytes.size() <= kPipeCapacityBytes;
    if (!fits) {
      m_writerResume = std::move(aResume);
      return false;
    }
    Append(aBytes);
    wake = std::exchange(m_readerResume, nullptr);
  }
  Invoke(wake);
  return true;
}

void
BytePipe::Close(PipeEnd aEnd)
{
  std::function<void()> wakeReader;
  std::function<void()> wakeWriter;
  {
    const std::lock_guard lock(m_mutex);
    if (m_end != PipeEnd::Open) {
      return;
    }
    m_end = aEnd;
    wakeReader = std::exchange(m_readerResume, nullptr);
    wakeWriter = std::exchange(m_writerResume, nullptr);
  }
  Invoke(wakeReader);
  Invoke(wakeWriter);
}

void
BytePipe::Discard()
{
  std::function<void()> wake;
  {
    const std::lock_guard lock(m_mutex);
    m_discarding = true;
    m_rewindable = false;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_position = 0;
    wake = std::exchange(m_writerResume, nullptr);
  }
  Invoke(wake);
}

bool
BytePipe::Rewind()
{
  const std::lock_guard lock(m_mutex);
  if (!m_rewindable) {
    return false;
  }
  m_position = 0;
  return true;
}

std::size_t
BytePipe::UnreadWithCallback(std::function<void()> aResume)
{
  const std::lock_guard lock(m_mutex);
  const std::size_t unread = m_buffer.size() - m_position;
  if (unread > 0) {
    m_writerResume = std::move(aResume);
  }
  return unread;
}

} // namespace sapphirehook
