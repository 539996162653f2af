#include "engine_fixture.hpp"

using namespace sapphirehook;
using namespace sapphirehook::engine_fixture;

namespace {

constexpr const char* kNotRun =
  "HTTP/1.1 503 Service Unavailable\r\nX-Sapphirehook-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";
constexpr const char* kWrongKey =
  "HTTP/1.1 421 Misdirected Request\r\nX-Sapphirehook-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";

std::string
IdOf(const RequestHead& aHead)
{
  const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
  return id != nullptr ? *id : std::string();
}

std::string
Named(const std::string& aAnswer, const std::string& aId)
{
  const auto at = aAnswer.find("\r\n") + 2;
  return aAnswer.substr(0, at) +
         Concat("X-Sapphirehook-Attempt-Id: ", aId, "\r\n") +
         aAnswer.substr(at);
}

} // namespace

// Guards against a failure that an operator reported: clients received "not
// run" for requests that had run, and such requests ran twice.
TEST_CASE(
  "a repeated refusal of an earlier request does not refuse the next request",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  std::string refusal = kNotRun;
  SECTION("the refusal names no request") {}
  SECTION("the refusal names the earlier request")
  {
    refusal = Named(kNotRun, "a");
  }
  SECTION("the refusal is for a wrong key")
  {
    refusal = kWrongKey;
  }
  bool refuses = true;
  unsigned ran = 0;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    if (refuses) {
      aConnection.m_stream->Write(Named(kNotRun, IdOf(aHead)));
      return;
    }
    ++ran; // while the refusal of the previous request is repeated
    aConnection.m_stream->Write(refusal);
  });
  REQUIRE(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 503));
  refuses = false;
  const auto answer = fixture.Ask("/once/x", "b");
  CHECK(ran == 1);
  CHECK_FALSE(Fixture::HasStatus(answer, 503));
  CHECK_FALSE(Fixture::HasStatus(answer, 429));
  CHECK_FALSE(Fixture::HasStatus(answer, 421));
}

TEST_CASE("the answer after a repeated refusal reaches its caller", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  bool refuses = true;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    aConnection.m_stream->Write(Named(kNotRun, refuses ? IdOf(aHead) : "a"));
    if (!refuses) {
      ScriptedEndpoint::Serve(aConnection, aHead);
    }
  });
  REQUIRE(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 503));
  refuses = false;
  const auto answer = fixture.Ask("/once/x", "b");
  CHECK(Fixture::HasStatus(answer, 200));
  CHECK(answer.find("done") != std::string::npos);
}

// A request keeps its id when it is resent, so the id does not distinguish a
// repeated refusal from an answer to the second attempt.
TEST_CASE("a refused request is resent on a different connection", "[gateway]")
{
  Fixture fixture;
  fixture.List("keyed", false);
  fixture.m_engine.SetRange("keyed", { { 0, kKeyCount - 1 }, "one", true });
  unsigned arrived = 0;
  unsigned ran = 0;
  ScriptedEndpoint::Connection* first = nullptr;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    if (++arrived == 1) {
      first = &aConnection;
      aConnection.m_stream->Write(Named(kWrongKey, IdOf(aHead)));
      return;
    }
    ++ran;
    // The refusal is repeated on the connection on which it was sent.
    first->m_stream->Write(Named(kWrongKey, IdOf(aHead)));
    auto* stream = aConnection.m_stream.get();
    const auto id = IdOf(aHead);
    fixture.m_timers.push_back(
      std::make_unique<Timer>(fixture.m_loop, [stream, id] {
        stream->Write(Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
                             id,
                             "\r\nContent-Length: 4\r\n\r\ndone"));
      }));
    fixture.m_timers.back()->Start(Millis(60));
  });
  const auto answer =
    fixture.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 7\r\n");
  CHECK(ran == 1);
  CHECK(Fixture::HasStatus(answer, 200));
}

// Guards against a failure that an operator reported: a server stopped in the
// middle of an answer's head, and clients received a 200 with an empty or short
// body, framed as complete.
TEST_CASE("an answer that is truncated at any byte is never taken for a "
          "complete one",
          "[gateway]")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ID\r\n"
    "X-Sapphirehook-Response-Signature: s\r\n";
  const std::string body = "the whole of the body";
  std::vector<std::string> answers{
    head + Concat("Content-Length: ", body.size(), "\r\n\r\n", body),
    head + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + body + "\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n" + head +
      Concat("Content-Length: ", body.size(), "\r\n\r\n", body),
  };
  const bool resets = GENERATE(false, true);
  const auto whole = GENERATE_COPY(from_range(answers));
  Fixture fixture;
  fixture.List("plain", false);
  std::size_t length = 0;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    auto text = whole;
    const auto at = text.find("ID\r\n");
    text.replace(at, 2, IdOf(aHead));
    aConnection.m_stream->Write(text.substr(0, length));
    if (resets) {
      auto* stream = aConnection.m_stream.get();
      fixture.m_timers.push_back(
        std::make_unique<Timer>(fixture.m_loop, [stream] { stream->Reset(); }));
      fixture.m_timers.back()->Start(Millis(2));
    } else {
      aConnection.m_stream->CloseAfterWrite();
    }
  });
  for (length = 0; length < whole.size(); ++length) {
    fixture.RestartFirst("plain");
    const auto answer =
      fixture.Ask("/once/x", "ab"); // as long as the placeholder ID
    INFO("the first " << length << " bytes");
    CHECK(Fixture::HasStatus(answer, 502));
  }
  length = whole.size();
  fixture.RestartFirst("plain");
  CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "ab"), 200));
}

// An answer without a length may end after any byte of its body, but not before
// the end of its head.
TEST_CASE("an answer without a length is rejected unless its head is complete",
          "[gateway]")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ab\r\n"
    "X-Sapphirehook-Response-Signature: s\r\n\r\n";
  Fixture fixture;
  fixture.List("plain", false);
  std::size_t length = 0;
  fixture.SetScript([&](auto& aConnection, auto&) {
    aConnection.m_stream->Write(head.substr(0, length));
    aConnection.m_stream->CloseAfterWrite();
  });
  for (length = 0; length < head.size(); ++length) {
    fixture.RestartFirst("plain");
    const auto answer = fixture.Ask("/once/x", "ab");
    INFO("the first " << length << " bytes");
    CHECK(Fixture::HasStatus(answer, 502));
  }
}

// Guards against a failure that an operator reported: an endpoint sent bytes
// that were no answer, without end, and the daemon that kept them ran out of
// memory.
TEST_CASE("an endless head or trailer ends the connection to its endpoint",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  const std::string head = "HTTP/1.1 200 OK\r\n";
  std::string begin;
  SECTION("a value of a header field")
  {
    begin = Named(head + "X: ", "a");
  }
  SECTION("a name of a header field")
  {
    begin = Named(head + "X", "a");
  }
  SECTION("a reason phrase")
  {
    begin = "HTTP/1.1 200 ";
  }
  SECTION("no answer at all") {}
  SECTION("a trailer")
  {
    begin = Named(head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a");
  }
  constexpr std::size_t kFlood = std::size_t{ 16 } << 20U;
  fixture.SetScript([&](auto& aConnection, auto&) {
    aConnection.m_stream->Write(begin + std::string(kFlood, 'x'));
  });
  const auto answer = fixture.Ask("/once/x", "a");
  CHECK(fixture.Until([&] { return fixture.m_one.m_ended == 1; }));
  CHECK_FALSE(Fixture::HasStatus(answer, 200));
}

// Guards against a status that is none and reaches the caller, or keeps it
// waiting until its deadline.
TEST_CASE("an answer with an invalid status is a failure of the endpoint",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  const std::string status = GENERATE("000", "099", "600", "999");
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection, aHead, status + " Odd", "", "odd");
  });
  const auto answer = fixture.Ask("/once/x", "a", "", Millis(300));
  CHECK(Fixture::HasStatus(answer, 502));
  CHECK(answer.find("odd") == std::string::npos);
}

// Guards against the gateway's memory: uploads to endpoints that read slowly
// were buffered without a limit.
TEST_CASE("an upload to an endpoint that reads slowly is not buffered whole",
          "[gateway]")
{
  Fixture fixture;
  auto config = fixture.m_engine.Routes()->Config();
  config.m_limits.m_bodyBytes = 50'000'000;
  fixture.m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
  fixture.List("plain", false);
  bool reads = false;
  ScriptedEndpoint::Connection* upload = nullptr;
  SECTION("while the endpoint has it")
  {
    fixture.SetScript([&](auto& aConnection, auto&) {
      upload = &aConnection;
      aConnection.m_stream->SetReading(reads);
    });
  }
  SECTION("while it waits for an endpoint")
  {
    fixture.m_directory = EndpointDirectory(Millis(1600));
    fixture.m_engine.SetEndpoints(BootClock::now(), fixture.m_directory);
    reads = true;
  }
  constexpr std::size_t kSize = 30'000'000;
  fixture.Send(Concat("POST /once/x HTTP/1.1\r\nHost: h\r\n",
                      "X-Sapphirehook-Attempt-Id: u\r\nContent-Length: ",
                      kSize,
                      "\r\n\r\n"));
  fixture.Send(std::string(kSize, 'x'));
  std::size_t most = 0;
  fixture.Until(
    [&] {
      most = std::max(most, fixture.m_engine.BufferedBytes());
      return false;
    },
    Millis(150));
  CHECK(most > 0);
  CHECK(most < 2'000'000);
  if (upload != nullptr) {
    fixture.SetScript([](auto&, auto&) {});
    upload->m_stream->SetReading(true);
    CHECK(fixture.Until([&] { return fixture.m_one.m_bodies.size() == kSize; },
                        Millis(400)));
  }
}
