#ifndef SAPPHIREHOOK_CORE_BYTE_PIPE_HPP
#define SAPPHIREHOOK_CORE_BYTE_PIPE_HPP

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirehook {

/** Maximum number of unread bytes in a pipe. */
inline constexpr std::size_t kPipeCapacityBytes = std::size_t{ 256 } * 1024;

/** Maximum number of bytes already read that a pipe keeps for Rewind. */
inline constexpr std::size_t kRewindBytes = std::size_t{ 64 } * 1024;

/** State of the writing side of a pipe. */
enum class PipeEnd : unsigned char
{
  Open,
  Complete,
  Aborted,
};

/** Bounded byte stream that passes a body from one thread to another. */
class BytePipe
{
public:
  /** Result of a read: the number of bytes and, once no byte remains, the state
      of the writing side. */
  struct ReadResult
  {
    std::size_t m_bytes = 0;
    PipeEnd m_end = PipeEnd::Open;
  };

  /** Writes as many bytes as fit and returns their number. If not all bytes
      fit, aBlocked is called under the pipe's lock, and aResume is called once
      when space becomes available. */
  template<typename Blocked>
  std::size_t Write(std::string_view aBytes,
                    Blocked&& aBlocked,
                    std::function<void()> aResume)
  {
    std::function<void()> wake;
    std::size_t accepted = 0;
    {
      const std::lock_guard lock(m_mutex);
      accepted = Append(aBytes);
      if (accepted < aBytes.size()) {
        aBlocked();
        m_writerResume = std::move(aResume);
      }
      if (accepted > 0) {
        wake = std::exchange(m_readerResume, nullptr);
      }
    }
    Invoke(wake);
    return accepted;
  }

  /** Writes all bytes or none. If they do not fit, returns false and calls
      aResume once when space becomes available. */
  [[nodiscard]] bool WriteWhole(std::string_view aBytes,
                                std::function<void()> aResume);

  /** Reads up to aSize bytes. If the pipe is open and empty, aBlocked is called
      under the pipe's lock, and aResume is called once when bytes are written
      or the pipe is closed. */
  template<typename Blocked>
  ReadResult Read(char* aBuffer,
                  std::size_t aSize,
                  Blocked&& aBlocked,
                  std::function<void()> aResume)
  {
    std::function<void()> wake;
    ReadResult result;
    {
      const std::lock_guard lock(m_mutex);
      result = Consume(aBuffer, aSize);
      if (result.m_bytes == 0 && result.m_end == PipeEnd::Open) {
        aBlocked();
        m_readerResume = std::move(aResume);
      }
      if (result.m_bytes > 0) {
        wake = std::exchange(m_writerResume, nullptr);
      }
    }
    Invoke(wake);
    return result;
  }

  /** Ends the writing side. Only the first call has an effect. */
  void Close(PipeEnd aEnd);

  /** Frees the buffer. Every further write succeeds and is discarded. */
  void Discard();

  /** Moves the read position back to the first byte. Returns false if bytes
      that were read are no longer in the buffer. */
  [[nodiscard]] bool Rewind();

  /** Returns the number of unread bytes. If there are any, aResume is called
      once after the next read. */
  [[nodiscard]] std::size_t UnreadWithCallback(std::function<void()> aResume);

private:
  std::size_t Append(std::string_view aBytes);
  ReadResult Consume(char* aBuffer, std::size_t aSize);
  void DiscardConsumed();
  static void Invoke(const std::function<void()>& aFunction);

  std::mutex m_mutex;
  std::string m_buffer;
  std::size_t m_position = 0;
  bool m_rewindable = true;
  bool m_discarding = false;
  PipeEnd m_end = PipeEnd::Open;
  std::function<void()> m_readerResume;
  std::function<void()> m_writerResume;
};

} // namespace sapphirehook

#endif
