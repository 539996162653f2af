#include "sapphirehook/core/byte_pipe.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace sapphirehook;

namespace {

std::string
ReadAll(BytePipe& aPipe)
{
  std::string text;
  char buffer[1000];
  while (true) {
    const auto result = aPipe.Read(buffer, sizeof(buffer), [] {}, {});
    text.append(buffer, result.m_bytes);
    if (result.m_bytes == 0 && result.m_end != PipeEnd::Open) {
      return text;
    }
  }
}

} // namespace

TEST_CASE("a pipe passes all bytes in order between two threads", "[pipe]")
{
  BytePipe pipe;
  std::string sent;
  for (int i = 0; i < 300'000; ++i) {
    sent += std::to_string(i);
  }
  std::thread writer([&] {
    std::size_t position = 0;
    while (position < sent.size()) {
      const std::string_view rest = std::string_view(sent).substr(position);
      position += pipe.Write(rest.substr(0, 5000), [] {}, {});
    }
    pipe.Close(PipeEnd::Complete);
  });
  const auto received = ReadAll(pipe);
  writer.join();
  CHECK(received == sent);
}

TEST_CASE("a full pipe blocks its writer and resumes it after a read", "[pipe]")
{
  BytePipe pipe;
  const std::string bytes(kPipeCapacityBytes + 10, 'x');
  bool blocked = false;
  int resumed = 0;
  const auto taken = pipe.Write(
    bytes, [&] { blocked = true; }, [&] { ++resumed; });
  CHECK(taken == kPipeCapacityBytes);
  CHECK(blocked);
  CHECK(resumed == 0);
  char buffer[100];
  CHECK(pipe.Read(buffer, sizeof(buffer), [] {}, {}).m_bytes == 100);
  CHECK(resumed == 1);
}

TEST_CASE("a pipe rewinds while it still buffers all bytes read", "[pipe]")
{
  BytePipe pipe;
  char buffer[kRewindBytes];
  CHECK(pipe.Write("hello", [] {}, {}) == 5);
  CHECK(pipe.Read(buffer, 3, [] {}, {}).m_bytes == 3);
  CHECK(pipe.Rewind());
  CHECK(pipe.Read(buffer, 5, [] {}, {}).m_bytes == 5);
  CHECK(std::string_view(buffer, 5) == "hello");
  const std::string more(kRewindBytes, 'y');
  CHECK(pipe.Write(more, [] {}, {}) == more.size());
  CHECK(pipe.Read(buffer, sizeof(buffer), [] {}, {}).m_bytes == sizeof(buffer));
  CHECK_FALSE(pipe.Rewind());
}

TEST_CASE("an aborted pipe does not report a complete end", "[pipe]")
{
  BytePipe pipe;
  char buffer[10];
  CHECK(pipe.Write("ab", [] {}, {}) == 2);
  pipe.Close(PipeEnd::Aborted);
  pipe.Close(PipeEnd::Complete);
  CHECK(pipe.Read(buffer, sizeof(buffer), [] {}, {}).m_bytes == 2);
  CHECK(pipe.Read(buffer, sizeof(buffer), [] {}, {}).m_end == PipeEnd::Aborted);
}
