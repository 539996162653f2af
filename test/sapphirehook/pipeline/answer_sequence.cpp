#include "sapphirehook/pipeline/answer_sequence.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <vector>

using namespace sapphirehook;

namespace {

struct Output
{
  void Write(std::string_view aBytes) { m_bytes.append(aBytes); }
  std::string m_bytes;
};

constexpr std::size_t kHeldLimit = 4'000;
constexpr PipelineLimits kLimits{ 5, 1'500 };

/** A request and its answer, as a test generates them. */
struct Request
{
  bool m_mayRunEarly = true;
  bool m_closes = false;
  /** Pieces of the answer. One piece is passed as a complete answer. */
  std::vector<std::size_t> m_pieces;
  /** Number of pieces after which the answer is aborted, if any. */
  std::size_t m_abortAfter = kNever;

  static constexpr std::size_t kNever = 100;
};

/** State of a request during a test. */
struct Progress
{
  PipelineNumber m_number = 0;
  std::size_t m_passed = 0;
  bool m_begun = false;
  bool m_done = false;
};

char
LetterOf(std::size_t aIndex)
{
  return static_cast<char>('a' + aIndex % 26);
}

ResponseHead
HeadOf(std::size_t aIndex)
{
  ResponseHead head;
  head.m_status = 200;
  head.m_headers.push_back({ "Number", std::to_string(aIndex) });
  return head;
}

ResponseHead
ErrorHead()
{
  ResponseHead head;
  head.m_status = 502;
  return head;
}

/** Plays requests whose answers arrive in a generated order, and checks at each
    step what a server that handles one request at a time would guarantee. */
class Model
{
public:
  explicit Model(std::vector<Request> aRequests)
    : m_requests(std::move(aRequests))
  {
  }

  void OpenNext()
  {
    const auto index = m_progress.size();
    if (index >= m_requests.size() || !m_sequence.MayRead() ||
        !m_sequence.MayPassOn(m_requests[index].m_mayRunEarly)) {
      return;
    }
    const auto& request = m_requests[index];
    RC_ASSERT(m_sequence.Depth() < kLimits.m_depth);
    if (!request.m_mayRunEarly) {
      // All answers in front are written, and none of them closes.
      RC_ASSERT(WholeAnswers() == index);
    }
    RC_ASSERT(std::none_of(m_requests.begin(),
                           m_requests.begin() + static_cast<long>(index),
                           [](const auto& aOne) { return aOne.m_closes; }));
    Progress progress;
    progress.m_number = m_sequence.Open({ false, true, request.m_closes });
    m_progress.push_back(progress);
  }

  void PassPiece(std::size_t aIndex)
  {
    if (aIndex >= m_progress.size() || m_progress[aIndex].m_done) {
      return;
    }
    auto& progress = m_progress[aIndex];
    const auto& request = m_requests[aIndex];
    if (progress.m_passed >= request.m_abortAfter) {
      progress.m_done = true;
      m_sequence.Abort(progress.m_number, ErrorHead(), "error");
    } else if (request.m_pieces.size() == 1) {
      progress.m_done = true;
      m_sequence.Answer(progress.m_number,
                        HeadOf(aIndex),
                        std::string(request.m_pieces[0], LetterOf(aIndex)));
    } else if (!progress.m_begun) {
      progress.m_begun = true;
      m_sequence.Begin(progress.m_number, HeadOf(aIndex));
    } else if (progress.m_passed < request.m_pieces.size()) {
      if (!m_sequence.ShouldPause(progress.m_number)) {
        const auto size = request.m_pieces[progress.m_passed++];
        m_sequence.Piece(progress.m_number,
                         std::string(size, LetterOf(aIndex)));
      }
    } else {
      progress.m_done = true;
      m_sequence.End(progress.m_number);
    }
  }

  /** Returns the number of answers at the start of the output that are
     complete, and checks that they are the right ones, in order. */
  std::size_t WholeAnswers() const
  {
    std::string_view rest = m_output.m_bytes;
    std::size_t whole = 0;
    while (!rest.empty()) {
      const bool isError = rest.starts_with("HTTP/1.1 502");
      const auto headEnd = rest.find("\r\n\r\n");
      if (headEnd == std::string_view::npos) {
        break;
      }
      const auto head = rest.substr(0, headEnd);
      RC_ASSERT(isError || head.find("Number: " + std::to_string(whole)) !=
                             std::string_view::npos);
      rest.remove_prefix(headEnd + 4);
      std::string body;
      bool isWhole = false;
      if (head.find("chunked") != std::string_view::npos) {
        isWhole = TakeChunks(rest, body);
      } else {
        const auto size = isError ? 5 : m_requests[whole].m_pieces[0];
        isWhole = rest.size() >= size;
        body = rest.substr(0, size);
        rest.remove_prefix(std::min(size, rest.size()));
      }
      RC_ASSERT(isError ||
                body.find_first_not_of(LetterOf(whole)) == std::string::npos);
      if (!isWhole) {
        break;
      }
      std::size_t expected = 0;
      for (const auto piece : m_requests[whole].m_pieces) {
        expected += piece;
      }
      RC_ASSERT(isError || body.size() == expected);
      ++whole;
    }
    return whole;
  }

  void CheckBounds() const
  {
    // Each request in progress adds at most one piece above the limit.
    constexpr std::size_t kOvershoot = 5 * 1'100;
    RC_ASSERT(m_sequence.Held() <= kLimits.m_heldBytes + kOvershoot);
    RC_ASSERT(m_held.Total() == m_sequence.Held());
  }

  std::vector<Request> m_requests;
  std::vector<Progress> m_progress;
  Output m_output;
  HeldBytes m_held{ kHeldLimit };
  AnswerSequence<Output> m_sequence{ m_output, kLimits, m_held };

private:
  static bool TakeChunks(std::string_view& aRest, std::string& aBody)
  {
    for (;;) {
      const auto line = aRest.find("\r\n");
      if (line == std::string_view::npos) {
        return false;
      }
      const auto size =
        std::stoul(std::string(aRest.substr(0, line)), nullptr, 16);
      aRest.remove_prefix(line + 2);
      RC_ASSERT(aRest.size() >= size + 2);
      aBody.append(aRest.substr(0, size));
      aRest.remove_prefix(size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
};

rc::Gen<Request>
AnyRequest()
{
  return rc::gen::map(
    rc::gen::tuple(rc::gen::inRange(0, 4),
                   rc::gen::inRange(0, 30),
                   rc::gen::container<std::vector<std::size_t>>(
                     rc::gen::inRange<std::size_t>(1, 1'000)),
                   rc::gen::inRange<std::size_t>(0, 12)),
    [](const auto& aDrawn) {
      auto [early, closes, pieces, abort] = aDrawn;
      Request request;
      request.m_mayRunEarly = early != 0;
      request.m_closes = closes == 0;
      constexpr std::size_t kMaxPieces = 6;
      pieces.resize(std::min(pieces.size(), kMaxPieces));
      request.m_pieces =
        pieces.empty() ? std::vector<std::size_t>{ 7 } : std::move(pieces);
      request.m_abortAfter = abort < 3 ? abort : Request::kNever;
      return request;
    });
}

std::size_t
CountOf(const std::string& aText, std::string_view aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("answers in any order of arrival leave whole and in the order of "
          "their requests",
          "[pipeline]")
{
  rc::prop("as from a server that handles one request at a time", [] {
    Model model(*rc::gen::container<std::vector<Request>>(AnyRequest()));
    const auto steps =
      *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 8U));
    for (const auto step : steps) {
      if (step < 3) {
        model.OpenNext();
      } else {
        const auto depth = model.m_sequence.Depth();
        const auto first = model.m_progress.size() - depth;
        model.PassPiece(first + (step - 3));
      }
      model.WholeAnswers();
      model.CheckBounds();
    }
    // Every answer arrives in the end. A round takes each open answer one step
    // further, and an answer has at most 8 steps.
    const auto rounds = 9 * (model.m_requests.size() + 1);
    for (std::size_t round = 0; round < rounds; ++round) {
      model.OpenNext();
      for (std::size_t index = 0; index < model.m_progress.size(); ++index) {
        model.PassPiece(index);
      }
    }
    const auto end = model.m_sequence.Ended();
    if (end == SequenceEnd::None) {
      RC_ASSERT(model.WholeAnswers() == model.m_requests.size());
      RC_ASSERT(model.m_held.Total() == 0U);
    } else if (end == SequenceEnd::Close) {
      RC_ASSERT(model.m_requests[model.WholeAnswers() - 1].m_closes);
    }
  });
}

TEST_CASE("only the last answer of a stopping daemon closes the connection",
          "[pipeline]")
{
  Output output;
  HeldBytes held(kHeldLimit);
  AnswerSequence<Output> sequence(output, kLimits, held);
  const auto first = sequence.Open({});
  const auto second = sequence.Open({});
  sequence.BeginStop();
  CHECK_FALSE(sequence.MayPassOn(true));
  sequence.Answer(second, HeadOf(1), "two");
  CHECK(output.m_bytes.empty());
  CHECK(sequence.Ended() == SequenceEnd::None);
  sequence.Answer(first, HeadOf(0), "one");
  CHECK(sequence.Ended() == SequenceEnd::Close);
  CHECK(CountOf(output.m_bytes, "Connection: close") == 1);
  CHECK(output.m_bytes.find("Connection: close") >
        output.m_bytes.find("Number: 1"));
}

TEST_CASE("above the daemon's bound a request waits until it is first",
          "[pipeline]")
{
  Output output;
  HeldBytes held(10);
  AnswerSequence<Output> sequence(output, kLimits, held);
  const auto first = sequence.Open({});
  REQUIRE(sequence.MayPassOn(true));
  const auto second = sequence.Open({});
  sequence.Answer(second, HeadOf(1), "more than ten bytes");
  CHECK_FALSE(sequence.MayPassOn(true));
  AnswerSequence<Output> other(output, kLimits, held);
  CHECK(other.MayPassOn(true));
  other.Open({});
  CHECK_FALSE(other.MayPassOn(true));
  sequence.Answer(first, HeadOf(0), "one");
  CHECK(held.Total() == 0);
  CHECK(other.MayPassOn(true));
}

TEST_CASE("a caller that does not understand chunks gets an answer that the "
          "close delimits, and a reset if it is truncated",
          "[pipeline]")
{
  Output output;
  HeldBytes held(kHeldLimit);
  AnswerSequence<Output> sequence(output, kLimits, held);
  const auto number = sequence.Open({ .m_takesChunks = false });
  sequence.Begin(number, HeadOf(0));
  sequence.Piece(number, "part");
  CHECK(output.m_bytes.find("chunked") == std::string::npos);
  CHECK(output.m_bytes.find("Connection: close") != std::string::npos);
  SECTION("complete")
  {
    sequence.End(number);
    CHECK(sequence.Ended() == SequenceEnd::Close);
  }
  SECTION("truncated")
  {
    sequence.Abort(number, ErrorHead(), "error");
    CHECK(sequence.Ended() == SequenceEnd::Reset);
  }
}

TEST_CASE("an answer to HEAD states the size that its endpoint stated",
          "[pipeline]")
{
  Output output;
  HeldBytes held(kHeldLimit);
  AnswerSequence<Output> sequence(output, kLimits, held);
  auto head = HeadOf(0);
  head.m_bodySize = 1234;
  sequence.Answer(sequence.Open({ .m_isHead = true }), head, "");
  CHECK(output.m_bytes.find("Content-Length: 1234\r\n") != std::string::npos);
  CHECK(output.m_bytes.ends_with("\r\n\r\n"));
}
