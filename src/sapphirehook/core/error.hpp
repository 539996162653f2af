#ifndef SAPPHIREHOOK_CORE_ERROR_HPP
#define SAPPHIREHOOK_CORE_ERROR_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sapphirehook {

/** Errors that end a request without an answer from the endpoint. */
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

inline constexpr std::size_t kErrorKindCount = 18;

/** Whether an endpoint can have executed any part of a failed request. */
enum class Execution : unsigned char
{
  NotRun,
  Unknown,
};

/** The answer that a caller receives for an error kind. */
struct ErrorAnswer
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_status;
  Execution m_execution;
  /** The daemon that received the request from its caller may route it again,
      because no endpoint has executed it. */
  bool m_reroutable;
};

/** Answers by error kind, in the order of the enumeration. */
inline constexpr std::array<ErrorAnswer, kErrorKindCount> kErrorAnswers{ {
  { ErrorKind::BadRequest, "bad-request", 400, Execution::NotRun, false },
  { ErrorKind::UnknownService,
    "unknown-service",
    404,
    Execution::NotRun,
    false },
  { ErrorKind::MissingKey, "missing-key", 400, Execution::NotRun, false },
  { ErrorKind::Overloaded, "overloaded", 503, Execution::NotRun, false },
  { ErrorKind::DeadlineExceeded,
    "deadline-exceeded",
    504,
    Execution::NotRun,
    false },
  { ErrorKind::NoOwner, "no-owner", 503, Execution::NotRun, true },
  { ErrorKind::NotDispatcher, "not-dispatcher", 503, Execution::NotRun, true },
  { ErrorKind::NoAuthority, "no-authority", 503, Execution::NotRun, true },
  { ErrorKind::PeerUnreachable,
    "peer-unreachable",
    503,
    Execution::NotRun,
    true },
  { ErrorKind::EndpointUnreachable,
    "endpoint-unreachable",
    503,
    Execution::NotRun,
    true },
  { ErrorKind::EndpointRefused,
    "endpoint-refused",
    503,
    Execution::NotRun,
    true },
  { ErrorKind::Stale, "stale", 503, Execution::NotRun, false },
  { ErrorKind::Stopping, "stopping", 503, Execution::NotRun, true },
  { ErrorKind::Duplicate, "duplicate", 409, Execution::Unknown, false },
  { ErrorKind::Canceled, "canceled", 499, Execution::Unknown, false },
  { ErrorKind::SendInterrupted,
    "send-interrupted",
    502,
    Execution::Unknown,
    false },
  { ErrorKind::AnswerTimeout,
    "answer-timeout",
    504,
    Execution::Unknown,
    false },
  { ErrorKind::AnswerCut, "answer-cut", 502, Execution::Unknown, false },
} };

[[nodiscard]] constexpr const ErrorAnswer&
AnswerFor(ErrorKind aKind) noexcept
{
  return kErrorAnswers.at(static_cast<std::size_t>(aKind));
}

/** Returns the error kind with this name, or nothing if there is none. */
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

/** Returns the value of the Sapphirehook-Outcome header for an error kind. */
[[nodiscard]] constexpr std::string_view
OutcomeOf(ErrorKind aKind) noexcept
{
  return AnswerFor(aKind).m_execution == Execution::NotRun ? "not-run"
                                                           : "unknown";
}

} // namespace sapphirehook

#endif
