#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_ANSWERS_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_ANSWERS_HPP

#include "sapphirehook/gateway/transaction.hpp"

#include <array>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

/** Answers that the gateway itself produces. */
namespace sapphirehook::internal {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kTimeout = 408;
inline constexpr int kTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kHeadTooLarge = 431;
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

/** Returns a duration in seconds with three decimals, for Retry-After. */
inline std::string
SecondsText(std::chrono::nanoseconds aSpan)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                std::chrono::duration<double>(aSpan).count());
  return text.data();
}

/** Returns the head of a plain-text answer of the gateway. */
inline ResponseHead
TextHead(int aStatus)
{
  ResponseHead head;
  head.m_status = aStatus;
  head.m_headers.push_back({ "Content-Type", "text/plain" });
  return head;
}

/** Sends an answer of the gateway to a request that no endpoint answered. */
inline void
AnswerDirectly(AnswerSink& aSink,
               int aStatus,
               std::string_view aReason,
               std::optional<Millis> aRetryAfter)
{
  ResponseHead head = TextHead(aStatus);
  if (aRetryAfter) {
    head.m_headers.push_back({ "Retry-After", SecondsText(*aRetryAfter) });
  }
  aSink.Answer(head, aReason);
}

} // namespace sapphirehook::internal

#endif
