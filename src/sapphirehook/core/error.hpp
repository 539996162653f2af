#ifndef SAPPHIREHOOK_CORE_ERROR_HPP
#define SAPPHIREHOOK_CORE_ERROR_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sapphirehook {

/** Every way in which a request can end without the endpoint's own answer. */
enum class ErrorKind : unsigned char
{
  BadRequest,
  UnknownService,
  MissingKey,
  Overloaded,
  DeadlineExceeded,
  NoOwner,
  NotDispatcher,
  NoAuthority,
  PeerUnreachable,
  EndpointUnreachable,
  EndpointRefused,
  Stale,
  Stopping,
  Duplicate,
  Canceled,
  SendInterrupted,
  AnswerTimeout,
  AnswerCut,
};

/** Number of members of ErrorKind. */
inline constexpr std::size_t kErrorKindCount = 18;

/** Whether any part of a failed request can have run at an endpoint. */
enum class Ran : unsigned char
{
  No,
  Unknown,
};

/** The answer that a caller receives for one error kind. */
struct ErrorAnswer
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_status;
  Ran m_ran;
  /** The entry daemon may route the request again, since nothing ran. */
  bool m_rerouted;
};

/** Table from error kind to answer, in the order of the enumeration. */
inline constexpr std::array<ErrorAnswer, kErrorKindCount> kErrorAnswers{ {
  { ErrorKind::BadRequest, "bad-request", 400, Ran::No, false },
  { ErrorKind::UnknownService, "unknown-service", 404, Ran::No, false },
  { ErrorKind::MissingKey, "missing-key", 400, Ran::No, false },
  { ErrorKind::Overloaded, "overloaded", 503, Ran::No, false },
  { ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Ran::No, false },
  { ErrorKind::NoOwner, "no-owner", 503, Ran::No, true },
  { ErrorKind::NotDispatcher, "not-dispatcher", 503, Ran::No, true },
  { ErrorKind::NoAuthority, "no-authority", 503, Ran::No, true },
  { ErrorKind::PeerUnreachable, "peer-unreachable", 503, Ran::No, true },
  { ErrorKind::EndpointUnreachable,
    "endpoint-unreachable",
    503,
    Ran::No,
    true },
  { ErrorKind::EndpointRefused, "endpoint-refused", 503, Ran::No, true },
  { ErrorKind::Stale, "stale", 503, Ran::No, false },
  { ErrorKind::Stopping, "stopping", 503, Ran::No, true },
  { ErrorKind::Duplicate, "duplicate", 409, Ran::Unknown, false },
  { ErrorKind::Canceled, "canceled", 499, Ran::Unknown, false },
  { ErrorKind::SendInterrupted, "send-interrupted", 502, Ran::Unknown, false },
  { ErrorKind::AnswerTimeout, "answer-timeout", 504, Ran::Unknown, false },
  { ErrorKind::AnswerCut, "answer-cut", 502, Ran::Unknown, false },
} };

/** Returns the answer for an error kind. */
[[nodiscard]] constexpr const ErrorAnswer&
AnswerFor(ErrorKind aKind) noexcept
{
  return kErrorAnswers.at(static_cast<std::size_t>(aKind));
}

/** Returns the error kind of a name, or nothing when no kind has that name. */
[[nodiscard]] constexpr std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName) noexcept
{
  for (const auto& answer : kErrorAnswers) {
    if (answer.m_name == aName) {
      return answer.m_kind;
    }
  }
  return std::nullopt;
}

/** Returns the text of the Sapphirehook-Outcome header for an error kind. */
[[nodiscard]] constexpr std::string_view
OutcomeOf(ErrorKind aKind) noexcept
{
  return AnswerFor(aKind).m_ran == Ran::No ? "not-run" : "unknown";
}

} // namespace sapphirehook

#endif
