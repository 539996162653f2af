#include "sapphirehook/net/tcp_stream.hpp"

#include "support/loopback.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <memory>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace sapphirehook;

namespace {

constexpr int kBufferBytes = 16'384;
constexpr std::size_t kAnswerBytes = 400'000;

/** A stream that writes an answer to a peer with a small receive window. */
class Fixture
{
public:
  /** The peer may pause for aPatience in all. */
  explicit Fixture(Millis aPatience = Millis(0))
  {
    const sockaddr_in address = support::FreeAddress();
    TcpListener listener(m_loop, [&](int aSocket) {
      setsockopt(
        aSocket, SOL_SOCKET, SO_SNDBUF, &kBufferBytes, sizeof kBufferBytes);
      m_stream = std::make_shared<TcpStream>(
        m_loop, StreamEvents{ nullptr, nullptr, nullptr, [this](StreamEnd) {
                               m_ended = true;
                             } });
      m_stream->Adopt(aSocket, Millis(0));
    });
    REQUIRE(listener.Listen(address));
    m_peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
    setsockopt(
      m_peer, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof kBufferBytes);
    REQUIRE(connect(m_peer,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) == 0);
    fcntl(m_peer, F_SETFL, O_NONBLOCK);
    REQUIRE(support::RunUntil(
      m_loop, [&] { return m_stream != nullptr; }, Millis(1000)));
    m_stream->Write(std::string(kAnswerBytes, 'x'));
    m_stream->CloseAfterWrite(BootClock::now() + aPatience);
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() { close(m_peer); }

  /** Reads at most a number of bytes that have arrived at the peer. */
  std::size_t Read(std::size_t aMost)
  {
    std::string buffer(aMost, '\0');
    const auto count = recv(m_peer, buffer.data(), buffer.size(), 0);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  EventLoop m_loop;
  std::shared_ptr<TcpStream> m_stream;
  bool m_ended = false;
  int m_peer = -1;
};

} // namespace

// Guards against answers that were cut in a planned stop 1 s after they had
// been queued, while their callers were still receiving them.
TEST_CASE("a closing connection sends its answer to a slow peer to the end",
          "[net]")
{
  Fixture fixture;
  std::size_t received = 0;
  // About 2.7 s in all.
  for (int i = 0; i < 200 && received < kAnswerBytes; ++i) {
    received += fixture.Read(6'000);
    support::RunFor(fixture.m_loop, Millis(40));
  }
  CHECK(received == kAnswerBytes);
}

// Guards against answers that were cut in a planned stop when their callers
// paused for more than 1 s (review/14).
TEST_CASE(
  "a closing connection waits for a peer that pauses until the deadline",
  "[net]")
{
  Fixture fixture(Millis(6000));
  std::size_t received = 0;
  const auto read = [&](std::size_t aUntil) {
    for (int i = 0; i < 400 && received < aUntil; ++i) {
      received += fixture.Read(20'000);
      support::RunFor(fixture.m_loop, Millis(2));
    }
  };
  read(kAnswerBytes / 4);
  REQUIRE(received < kAnswerBytes);
  support::RunFor(fixture.m_loop, Millis(2300));
  CHECK_FALSE(fixture.m_ended);
  read(kAnswerBytes);
  CHECK(received == kAnswerBytes);
}

TEST_CASE("a closing connection ends when its peer reads nothing", "[net]")
{
  const auto patience = GENERATE(Millis(0), Millis(2500));
  Fixture fixture(patience);
  support::RunFor(fixture.m_loop, patience);
  CHECK_FALSE(fixture.m_ended);
  CHECK(support::RunUntil(
    fixture.m_loop, [&] { return fixture.m_ended; }, Millis(3000)));
}

// A reset would discard the answer that the peer has not read yet.
TEST_CASE("a closing connection stays open while its peer sends the rest of a "
          "request",
          "[net]")
{
  Fixture fixture(Millis(6000));
  std::size_t received = 0;
  for (int i = 0; i < 400 && received < kAnswerBytes; ++i) {
    received += fixture.Read(20'000);
    support::RunFor(fixture.m_loop, Millis(2));
  }
  for (int i = 0; i < 60; ++i) {
    static_cast<void>(send(fixture.m_peer, "x", 1, MSG_NOSIGNAL));
    support::RunFor(fixture.m_loop, Millis(40));
  }
  CHECK(received == kAnswerBytes);
  CHECK_FALSE(fixture.m_ended);
  shutdown(fixture.m_peer, SHUT_WR);
  CHECK(support::RunUntil(
    fixture.m_loop, [&] { return fixture.m_ended; }, Millis(500)));
}

// Guards against an answer without a length that is cut by a reset and passed
// on as complete: a send during the answer takes the error from the socket.
TEST_CASE("a reset that a send has met first does not look like a close",
          "[net]")
{
  EventLoop loop;
  const sockaddr_in address = support::FreeAddress();
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
  REQUIRE(bind(listener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0);
  REQUIRE(listen(listener, 1) == 0);
  std::string received;
  std::optional<StreamEnd> end;
  TcpStream stream(
    loop,
    StreamEvents{ nullptr,
                  [&](std::string_view aBytes) { received.append(aBytes); },
                  nullptr,
                  [&](StreamEnd aEnd) { end = aEnd; } });
  stream.Connect(address, Millis(500), Millis(500));
  const int peer = accept(listener, nullptr, nullptr);
  REQUIRE(peer >= 0);
  REQUIRE(support::RunUntil(
    loop, [&] { return stream.IsConnected(); }, Millis(1000)));
  REQUIRE(send(peer, "part", 4, 0) == 4);
  REQUIRE(support::RunUntil(
    loop, [&] { return received == "part"; }, Millis(1000)));
  const linger abortive{ 1, 0 };
  setsockopt(peer, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
  close(peer);
  close(listener);
  for (int i = 0; i < 3; ++i) {
    stream.Write("more of a long upload");
  }
  REQUIRE(support::RunUntil(
    loop, [&] { return end.has_value(); }, Millis(1000)));
  CHECK(end == StreamEnd::Reset);
}

// Guards against a connection that keeps all bytes that it has ever sent, since
// its buffer never was empty.
TEST_CASE("a stream to a slow peer buffers only what is not sent", "[net]")
{
  EventLoop loop;
  const sockaddr_in address = support::FreeAddress();
  const auto budget =
    std::make_shared<MemoryBudget>(std::size_t{ 100'000'000 });
  std::shared_ptr<TcpStream> stream;
  TcpListener listener(loop, [&](int aSocket) {
    stream = std::make_shared<TcpStream>(loop, StreamEvents{});
    setsockopt(
      aSocket, SOL_SOCKET, SO_SNDBUF, &kBufferBytes, sizeof kBufferBytes);
    stream->SetBudget(budget);
    stream->Adopt(aSocket, Millis(0));
  });
  REQUIRE(listener.Listen(address));
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
  setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof kBufferBytes);
  REQUIRE(connect(peer,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0);
  fcntl(peer, F_SETFL, O_NONBLOCK);
  REQUIRE(support::RunUntil(
    loop, [&] { return stream != nullptr; }, Millis(1000)));
  constexpr std::size_t kUnsent = 400'000;
  std::string buffer(100'000, 'x');
  std::size_t written = 0;
  std::size_t mostBuffered = 0;
  while (written < 40 * kUnsent) {
    if (stream->Unsent() < kUnsent) {
      stream->Write(std::string(50'000, 'x'));
      written += 50'000;
    }
    mostBuffered = std::max(mostBuffered, budget->Used());
    static_cast<void>(recv(peer, buffer.data(), buffer.size(), 0));
    support::RunFor(loop, Millis(0));
  }
  CHECK(mostBuffered < 4 * kUnsent);
  stream.reset();
  CHECK(budget->Used() == 0);
  close(peer);
}
