#include "engine_bed.hpp"

using namespace sapphirehook;
using namespace sapphirehook::engine_bed;

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

// An operator's report: clients were told "not run" of requests that ran, and
// such requests ran twice.
TEST_CASE(
  "an earlier refusal that an endpoint writes once more refuses nothing",
  "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  std::string refusal = kNotRun;
  SECTION("one that names no request") {}
  SECTION("one that names the earlier request")
  {
    refusal = Named(kNotRun, "a");
  }
  SECTION("a refused key")
  {
    refusal = kWrongKey;
  }
  bool refuses = true;
  unsigned ran = 0;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    if (refuses) {
      aConnection.m_stream->Write(Named(kNotRun, IdOf(aHead)));
      return;
    }
    ++ran; // while the refusal of the request before comes again
    aConnection.m_stream->Write(refusal);
  });
  REQUIRE(Bed::Is(bed.Ask("/once/x", "a"), 503));
  refuses = false;
  const auto answer = bed.Ask("/once/x", "b");
  CHECK(ran == 1);
  CHECK_FALSE(Bed::Is(answer, 503));
  CHECK_FALSE(Bed::Is(answer, 429));
  CHECK_FALSE(Bed::Is(answer, 421));
}

TEST_CASE("the answer behind a refusal that comes again reaches its caller",
          "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bool refuses = true;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    aConnection.m_stream->Write(Named(kNotRun, refuses ? IdOf(aHead) : "a"));
    if (!refuses) {
      ScriptedEndpoint::Serve(aConnection, aHead);
    }
  });
  REQUIRE(Bed::Is(bed.Ask("/once/x", "a"), 503));
  refuses = false;
  const auto answer = bed.Ask("/once/x", "b");
  CHECK(Bed::Is(answer, 200));
  CHECK(answer.find("done") != std::string::npos);
}

// The same request has the same id when it is sent again.
TEST_CASE("a request is sent again over another connection than the one on "
          "which it was refused",
          "[gateway]")
{
  Bed bed;
  bed.List("keyed", false);
  bed.m_engine.SetRange("keyed", { { 0, kKeyCount - 1 }, "one", true });
  unsigned arrived = 0;
  unsigned ran = 0;
  ScriptedEndpoint::Connection* first = nullptr;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    if (++arrived == 1) {
      first = &aConnection;
      aConnection.m_stream->Write(Named(kWrongKey, IdOf(aHead)));
      return;
    }
    ++ran;
    // The refusal comes again on the connection where it was said.
    first->m_stream->Write(Named(kWrongKey, IdOf(aHead)));
    auto* stream = aConnection.m_stream.get();
    const auto id = IdOf(aHead);
    bed.m_later.push_back(std::make_unique<Timer>(bed.m_loop, [stream, id] {
      stream->Write(Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
                           id,
                           "\r\nContent-Length: 4\r\n\r\ndone"));
    }));
    bed.m_later.back()->Start(Millis(60));
  });
  const auto answer =
    bed.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 7\r\n");
  CHECK(ran == 1);
  CHECK(Bed::Is(answer, 200));
}

// An operator's report: a server stopped in the middle of its answer's head,
// and clients got a 200 with an empty or short body, framed as whole.
TEST_CASE("an answer that stops anywhere is never taken for a whole one",
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
  Bed bed;
  bed.List("plain", false);
  std::size_t length = 0;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    auto text = whole;
    const auto at = text.find("ID\r\n");
    text.replace(at, 2, IdOf(aHead));
    aConnection.m_stream->Write(text.substr(0, length));
    if (resets) {
      auto* stream = aConnection.m_stream.get();
      bed.m_later.push_back(
        std::make_unique<Timer>(bed.m_loop, [stream] { stream->Reset(); }));
      bed.m_later.back()->Start(Millis(2));
    } else {
      aConnection.m_stream->CloseAfterWrite();
    }
  });
  for (length = 0; length < whole.size(); ++length) {
    bed.StartAnew("plain");
    const auto answer = bed.Ask("/once/x", "ab"); // as long as its mark
    INFO("the first " << length << " bytes");
    CHECK(Bed::Is(answer, 502));
  }
  length = whole.size();
  bed.StartAnew("plain");
  CHECK(Bed::Is(bed.Ask("/once/x", "ab"), 200));
}

// Such an answer may be whole wherever its body ends; not so its head.
TEST_CASE("an answer without a length is none until its head is whole",
          "[gateway]")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ab\r\n"
    "X-Sapphirehook-Response-Signature: s\r\n\r\n";
  Bed bed;
  bed.List("plain", false);
  std::size_t length = 0;
  bed.SetScript([&](auto& aConnection, auto&) {
    aConnection.m_stream->Write(head.substr(0, length));
    aConnection.m_stream->CloseAfterWrite();
  });
  for (length = 0; length < head.size(); ++length) {
    bed.StartAnew("plain");
    const auto answer = bed.Ask("/once/x", "ab");
    INFO("the first " << length << " bytes");
    CHECK(Bed::Is(answer, 502));
  }
}
