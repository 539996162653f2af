#include "engine_fixture.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sapphirehook;
using namespace sapphirehook::engine_fixture;

namespace {

std::string
Request(const std::string& aPath,
        const std::string& aId,
        const std::string& aHeaders = "")
{
  return Concat("GET ",
                aPath,
                " HTTP/1.1\r\nHost: h\r\nX-Sapphirehook-Attempt-Id: ",
                aId,
                "\r\n",
                aHeaders,
                "\r\n");
}

/** Ids of the complete heads of answers in received bytes, in order. */
std::vector<std::string>
AnsweredIds(const std::string& aReceived)
{
  constexpr std::string_view kName = "X-Sapphirehook-Attempt-Id: ";
  std::vector<std::string> ids;
  for (auto at = aReceived.find(kName); at != std::string::npos;
       at = aReceived.find(kName, at + 1)) {
    const auto from = at + kName.size();
    ids.push_back(aReceived.substr(from, aReceived.find('\r', from) - from));
  }
  return ids;
}

/** Endpoints that hold the requests whose ids begin with "slow" until the test
    releases them, and serve all others at once. */
class HoldingFixture : public Fixture
{
public:
  HoldingFixture()
  {
    List("plain");
    SetScript([this](auto& aConnection, auto& aHead) {
      const std::string id =
        *FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      if (id.starts_with("slow")) {
        m_held.push_back([this, &aConnection, head = aHead] {
          ScriptedEndpoint::Serve(aConnection, head);
        });
      } else {
        ScriptedEndpoint::Serve(aConnection, aHead);
      }
    });
  }

  void ReleaseAll()
  {
    for (const auto& release : std::exchange(m_held, {})) {
      release();
    }
  }

  [[nodiscard]] bool HasArrived(const std::string& aId) const
  {
    for (const auto* endpoint : { &m_one, &m_two }) {
      const auto& arrived = endpoint->m_arrived;
      if (std::find(arrived.begin(), arrived.end(), aId) != arrived.end()) {
        return true;
      }
    }
    return false;
  }

  /** Handles events for a while, in which something must not happen. */
  void Settle()
  {
    Until([] { return false; }, Millis(60));
  }

  std::vector<std::function<void()>> m_held;
};

} // namespace

TEST_CASE("a lookup does not wait for the work of a slow one in front of it",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") + Request("/safe/x", "b") +
               Request("/safe/x", "c"));
  CHECK(fixture.Until([&] { return fixture.Arrived() == 3; }, Millis(200)));
  fixture.Settle();
  CHECK(fixture.m_received.empty());
  fixture.ReleaseAll();
  CHECK(
    fixture.Until([&] { return AnsweredIds(fixture.m_received).size() == 3; }));
  CHECK(AnsweredIds(fixture.m_received) ==
        std::vector<std::string>{ "slow", "b", "c" });
}

TEST_CASE("a request that must not be repeated runs only after every answer in "
          "front of it is sent",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") + Request("/once/x", "once") +
               Request("/safe/x", "c"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  fixture.Settle();
  CHECK(fixture.Arrived() == 1);
  fixture.ReleaseAll();
  CHECK(
    fixture.Until([&] { return AnsweredIds(fixture.m_received).size() == 3; }));
  CHECK(AnsweredIds(fixture.m_received) ==
        std::vector<std::string>{ "slow", "once", "c" });
}

// Guards against a use after free (review/6): the answer in front and the end
// of the caller's connection were handled in one round of the event loop, and
// the request behind was passed on for a connection that no longer existed.
TEST_CASE("a request that waits its turn is not passed on once its caller has "
          "left",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") + Request("/once/x", "once"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  fixture.Settle();
  // The event loop may handle the two events of a round in either order.
  SECTION("after the answer in front")
  {
    fixture.ReleaseAll();
    fixture.m_caller->Close();
  }
  SECTION("before the answer in front")
  {
    fixture.m_caller->Close();
    fixture.ReleaseAll();
  }
  fixture.Settle();
  CHECK_FALSE(fixture.HasArrived("once"));
  CHECK(fixture.m_engine.Unanswered() == 0);
}

TEST_CASE("what stands behind a closing answer has not run, or is idempotent",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  SECTION("the request in front asks to close")
  {
    fixture.Send(Request("/safe/x", "slow", "Connection: close\r\n") +
                 Request("/once/x", "once"));
    REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
    fixture.ReleaseAll();
  }
  SECTION("the request in front is HTTP/1.0")
  {
    fixture.Send("GET /safe/x HTTP/1.0\r\nHost: h\r\n"
                 "X-Sapphirehook-Attempt-Id: slow\r\n\r\n" +
                 Request("/once/x", "once"));
    REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
    fixture.ReleaseAll();
  }
  SECTION("the answer in front is truncated")
  {
    fixture.SetScript([&](auto& aConnection, auto& aHead) {
      ScriptedEndpoint::ReplyTruncated(
        aConnection, aHead, 300'000, std::string(150'000, 'x'));
    });
    fixture.Send(Request("/safe/x", "front") + Request("/once/x", "once"));
  }
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(AnsweredIds(fixture.m_received).size() == 1);
  CHECK_FALSE(fixture.HasArrived("once"));
}

TEST_CASE("an answer behind a slow one that breaks off becomes an error, and "
          "the answers around it stay whole",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    const std::string id =
      *FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
    if (id == "slow") {
      fixture.m_held.push_back([&aConnection, head = aHead] {
        ScriptedEndpoint::Serve(aConnection, head);
      });
    } else if (id == "cut") {
      ScriptedEndpoint::ReplyTruncated(
        aConnection, aHead, 300'000, std::string(100'000, 'x'));
    } else {
      ScriptedEndpoint::Serve(aConnection, aHead);
    }
  });
  fixture.Send(Request("/safe/x", "slow") + Request("/safe/x", "cut") +
               Request("/safe/x", "c"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() >= 3; }));
  fixture.Settle();
  fixture.ReleaseAll();
  CHECK(fixture.Until([&] {
    return fixture.Arrived() >= 3 &&
           fixture.m_received.find("Id: c\r") != std::string::npos;
  }));
  CHECK(AnsweredIds(fixture.m_received) ==
        std::vector<std::string>{ "slow", "c" });
  CHECK(fixture.m_received.find("HTTP/1.1 502") != std::string::npos);
  CHECK(fixture.m_received.find("xxxx") == std::string::npos);
}

TEST_CASE("a malformed request is refused after the answers in front of it",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  const auto [bytes, status] = GENERATE(
    std::pair("NOT HTTP AT ALL\r\n\r\n", "HTTP/1.1 400"),
    std::pair("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100001"
              "\r\n\r\n",
              "HTTP/1.1 413"),
    std::pair("GET /safe/x HTTP/1.1\r\nHos", "HTTP/1.1 408"));
  fixture.Send(Request("/safe/x", "slow") + bytes);
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  fixture.Until([] { return false; },
                Millis(400)); // the head timeout is 300 ms
  CHECK(fixture.m_received.empty());
  fixture.ReleaseAll();
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(Fixture::HasStatus(fixture.m_received, 200));
  CHECK(fixture.m_received.find(status) != std::string::npos);
}

TEST_CASE("when a caller leaves, all its requests end at the endpoints",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow1") + Request("/safe/x", "slow2") +
               Request("/safe/x", "slow3"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 3; }));
  fixture.m_caller->Close();
  CHECK(fixture.Until(
    [&] { return fixture.m_one.m_ended + fixture.m_two.m_ended == 3; },
    Millis(400)));
  CHECK(fixture.m_engine.HeldAnswerBytes() == 0);
}

TEST_CASE("hundreds of requests in one packet are all answered in order, a "
          "bounded number at a time",
          "[gateway][pipeline]")
{
  constexpr int kRequests = 300;
  HoldingFixture fixture;
  std::string all = Request("/safe/x", "slow");
  std::vector<std::string> ids{ "slow" };
  for (int i = 0; i < kRequests; ++i) {
    ids.push_back(Concat("id", i));
    all += Request("/safe/x", ids.back());
  }
  fixture.Send(all);
  fixture.Settle();
  CHECK(fixture.Arrived() == PipelineLimits{}.m_depth);
  fixture.ReleaseAll();
  CHECK(fixture.Until(
    [&] { return AnsweredIds(fixture.m_received).size() == ids.size(); }));
  CHECK(AnsweredIds(fixture.m_received) == ids);
}

TEST_CASE("the time that a request waits behind others counts against its "
          "deadline",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") +
               Request("/once/x", "b", "X-Sapphirehook-Deadline-Ms: 500\r\n"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  SECTION("some of it")
  {
    fixture.Until([] { return false; }, Millis(200));
    fixture.ReleaseAll();
    REQUIRE(fixture.Until([&] { return fixture.HasArrived("b"); }));
    const bool isOnOne =
      !fixture.m_one.m_arrived.empty() && fixture.m_one.m_arrived.back() == "b";
    const auto& endpoint = isOnOne ? fixture.m_one : fixture.m_two;
    CHECK(*ParseWholeNumber(endpoint.m_deadlines.back()) <= 300);
  }
  SECTION("all of it")
  {
    fixture.Until([] { return false; }, Millis(520));
    fixture.ReleaseAll();
    CHECK(fixture.Until([&] {
      return fixture.m_received.find("HTTP/1.1 503") != std::string::npos;
    }));
    CHECK_FALSE(fixture.HasArrived("b"));
  }
}

TEST_CASE("a reload while a request waits behind another applies to it",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") + Request("/once/x", "b"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  auto config = fixture.m_engine.Routes()->Config();
  config.m_version = 2;
  for (auto& route : config.m_routes) {
    route.m_targets = { { "other", 1 } };
  }
  fixture.m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
  fixture.ReleaseAll();
  CHECK(fixture.Until([&] {
    return fixture.m_received.find("HTTP/1.1 503") != std::string::npos;
  }));
  CHECK_FALSE(fixture.HasArrived("b"));
}

TEST_CASE("a stopping daemon answers every request that it passed on, and the "
          "last answer closes the connection",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send(Request("/safe/x", "slow") + Request("/safe/x", "b"));
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 2; }));
  fixture.BeginStop();
  fixture.Send(Request("/once/x", "late") + Request("/safe/x", "later"));
  fixture.Settle();
  CHECK(fixture.m_engine.Unanswered() == 1);
  fixture.ReleaseAll();
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(AnsweredIds(fixture.m_received) ==
        std::vector<std::string>{ "slow", "b" });
  const auto close = fixture.m_received.find("Connection: close");
  CHECK(close != std::string::npos);
  CHECK(close > fixture.m_received.find("Id: b"));
  CHECK(fixture.Arrived() == 2);
}

TEST_CASE("a stopping daemon does not pass on what may outlast the stop",
          "[gateway][pipeline]")
{
  HoldingFixture fixture;
  fixture.Send("GET /once/x HTTP/1.1\r\nHost: h\r\n");
  fixture.Settle();
  // The rest of the head arrives late in the grace period.
  fixture.BeginStop(Millis(20), Millis(300));
  fixture.Settle();
  fixture.Send("X-Sapphirehook-Attempt-Id: late\r\n\r\n");
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(Fixture::HasStatus(fixture.m_received, 503));
  CHECK(fixture.m_received.find("Retry-After") != std::string::npos);
  CHECK(fixture.Arrived() == 0);
}

TEST_CASE("a caller that reads no answers is sent a bounded number of them, "
          "all of which outlast a planned stop",
          "[gateway][pipeline]")
{
  constexpr std::size_t kRequests = 600;
  Fixture fixture;
  fixture.List("plain");
  const std::string body(60'000, 'x');
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection, aHead, "200 OK", "", body);
  });
  std::string all;
  for (std::size_t i = 0; i < kRequests; ++i) {
    all += Request("/safe/x", Concat("id", i));
  }
  fixture.Send(all);
  fixture.m_caller->SetReading(false);
  std::size_t arrived = 0;
  do {
    arrived = fixture.Arrived();
    fixture.Until([] { return false; }, Millis(100));
  } while (fixture.Arrived() > arrived);
  CHECK(arrived < kRequests);
  fixture.BeginStop();
  fixture.m_engine.CloseIdleCallers();
  fixture.Until([] { return false; }, Millis(50));
  REQUIRE(fixture.m_engine.Unanswered() == 1);
  fixture.m_caller->SetReading(true);
  CHECK(fixture.Until([&] {
    fixture.m_engine.CloseIdleCallers();
    return fixture.m_callerEnded;
  }));
  CHECK(AnsweredIds(fixture.m_received).size() == fixture.Arrived());
  CHECK(fixture.m_received.size() > fixture.Arrived() * body.size());
}

// Guards against answers that a planned stop cut (review/15): the connection
// was closed while the kernel still sent the answer, and the reset for the
// caller's next request discarded the rest.
TEST_CASE("a stopping daemon closes no connection whose answer is on its way",
          "[gateway][pipeline]")
{
  constexpr int kBufferBytes = 16'384;
  constexpr int kSegmentBytes = 1'460;
  Fixture fixture;
  fixture.List("plain");
  const std::string body(300'000, 'x');
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection, aHead, "200 OK", "", body);
  });
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
  setsockopt(
    caller, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof kBufferBytes);
  REQUIRE(connect(caller,
                  reinterpret_cast<const sockaddr*>(&fixture.m_address),
                  sizeof fixture.m_address) == 0);
  fcntl(caller, F_SETFL, O_NONBLOCK);
  const auto send = [&](const std::string& aRequest) {
    REQUIRE(::send(caller, aRequest.data(), aRequest.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aRequest.size()));
  };
  std::string received;
  bool isOpen = true;
  const auto read = [&](std::size_t aMost) {
    std::string piece(aMost, '\0');
    const auto count = recv(caller, piece.data(), piece.size(), 0);
    received.append(piece, 0, count > 0 ? static_cast<std::size_t>(count) : 0);
    isOpen = count > 0 || (count < 0 && errno == EAGAIN);
  };
  send(Request("/safe/x", "first"));
  while (isOpen && received.size() < body.size() / 2) {
    read(20'000);
    support::RunFor(fixture.m_loop, Millis(2));
  }
  fixture.BeginStop(Millis(0));
  fixture.m_engine.CloseIdleCallers();
  CHECK(fixture.m_engine.Unanswered() == 1);
  support::RunFor(fixture.m_loop, Millis(20));
  send(Request("/safe/x", "further"));
  for (int i = 0; isOpen && i < 300; ++i) {
    fixture.m_engine.CloseIdleCallers();
    support::RunFor(fixture.m_loop, Millis(2));
    read(10'000);
  }
  CHECK(received.size() > body.size());
  close(caller);
  CHECK(fixture.Until([&] { return fixture.m_engine.Unanswered() == 0; }));
}

// A caller may send a request just as its idle connection is closed. It sends
// the request again only if nobody has read it.
TEST_CASE("a request that crosses the close of an idle connection is not read",
          "[gateway][pipeline]")
{
  Fixture fixture;
  fixture.List("plain");
  CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 200));
  fixture.BeginStop();
  fixture.m_engine.CloseIdleCallers();
  fixture.m_received.clear();
  fixture.m_caller->Write(Request("/once/x", "crossing"));
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(fixture.m_received.empty());
  CHECK(fixture.Until([&] { return fixture.m_engine.Unanswered() == 0; }));
  CHECK(fixture.Arrived() == 1);
}

TEST_CASE("an answer to a caller that reads slowly is paused, not collected",
          "[gateway][pipeline]")
{
  Fixture fixture;
  fixture.List("plain", false);
  constexpr std::size_t kBody = 30'000'000;
  TcpStream* endpoint = nullptr;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    endpoint = aConnection.m_stream.get();
    ScriptedEndpoint::Reply(
      aConnection, aHead, "200 OK", "", std::string(kBody, 'x'));
  });
  fixture.Send(Request("/safe/x", "a"));
  fixture.m_caller->SetReading(false);
  REQUIRE(fixture.Until([&] { return endpoint != nullptr; }));
  fixture.Until([] { return false; }, Millis(150));
  // What the daemon has not taken is still at the endpoint.
  CHECK(endpoint->Unsent() > kBody / 4);
  fixture.m_caller->SetReading(true);
  CHECK(fixture.Until([&] { return fixture.m_received.size() > kBody; }));
}
