#ifndef SAPPHIREHOOK_CORE_BYTE_PIPE_HPP
#define SAPPHIREHOOK_CORE_BYTE_PIPE_HPP

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirehook {

/** Most bytes that a pipe holds for its reader. */
inline constexpr std::size_t kPipeCapacityBytes = std::size_t{ 256 } * 1024;

/** Most bytes already read that a pipe keeps so that it can be rewound. */
inline constexpr std::size_t kReplayBytes = std::size_t{ 64 } * 1024;

/** How the writing side of a pipe ended. */
enum class PipeEnd : unsigned char
{
  Open,
  Complete,
  Cut,
};

/** Bounded stream of body bytes from one thread to another. */
class BytePipe
{
public:
  /** What a read returned: a count of bytes, and the end once it is reached
      and no byte remains. */
  struct ReadResult
  {
    std::size_t m_bytes = 0;
    PipeEnd m_end = PipeEnd::Open;
  };

  /** Writes as many bytes as fit and returns their number. When fewer fit
      than offered, aBlocked is called under the pipe's lock and aResume is
      called once when room is made. */
  template<typename Blocked>
  std::size_t Write(std::string_view aBytes,
                    Blocked&& aBlocked,
                    std::function<void()> aResume)
  {
    std::function<void()> wake;
    std::size_t taken = 0;
    {
      const std::lock_guard lock(m_mutex);
      taken = Append(aBytes);
      if (taken < aBytes.size()) {
        aBlocked();
        m_writerResume = std::move(aResume);
      }
      if (taken > 0) {
        wake = std::exchange(m_readerResume, nullptr);
      }
    }
    Call(wake);
    return taken;
  }

  /** Writes all bytes or none. When they do not fit, aResume is called once
      when room is made, and false is returned. */
  [[nodiscard]] bool WriteWhole(std::string_view aBytes,
                                std::function<void()> aResume);

  /** Reads up to aSize bytes. When there are none and the pipe is open,
      aBlocked is called under the pipe's lock and aResume is called once when
      bytes or the end arrive. */
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
      result = Take(aBuffer, aSize);
      if (result.m_bytes == 0 && result.m_end == PipeEnd::Open) {
        aBlocked();
        m_readerResume = std::move(aResume);
      }
      if (result.m_bytes > 0) {
        wake = std::exchange(m_writerResume, nullptr);
      }
    }
    Call(wake);
    return result;
  }

  /** Ends the writing side; the first call decides how. */
  void Close(PipeEnd aEnd);

  /** Makes every further write succeed and vanish, and frees the memory. */
  void Discard();

  /** Makes the next read start from the first byte again. Returns false when
      bytes that were read are no longer held. */
  [[nodiscard]] bool Rewind();

  /** Returns how many bytes wait for the reader; when there are any, aResume
      is called once after the next read. */
  [[nodiscard]] std::size_t UnreadThen(std::function<void()> aResume);

private:
  std::size_t Append(std::string_view aBytes);
  ReadResult Take(char* aBuffer, std::size_t aSize);
  void Trim();
  static void Call(const std::function<void()>& aFunction);

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
