#ifndef SAPPHIREHOOK_PLACEMENT_RETRY_POLICY_HPP
#define SAPPHIREHOOK_PLACEMENT_RETRY_POLICY_HPP

#include "sapphirehook/placement/endpoint_load.hpp"
#include "sapphirehook/routing/route.hpp"

namespace sapphirehook {

/** What has happened to a request so far. */
struct AttemptState
{
  RequestKind m_kind = RequestKind::NeverRepeat;
  /** Endpoints that the request has been sent to. */
  unsigned m_sends = 0;
  unsigned m_maxSends = 1;
  /** The whole body is still at hand. */
  bool m_hasBody = true;
  /** An endpoint may have begun to run it. */
  bool m_mayHaveRun = false;
  /** Some of an answer has gone to the caller. */
  bool m_answering = false;
  std::chrono::nanoseconds m_timeLeft{};
};

/** What to do after an attempt has ended. */
enum class NextStep : unsigned char
{
  /** Send it again; nothing arrived, so no budget is needed. */
  SendAgain,
  /** Send it again if the service's budget for repeats allows. */
  SendAgainOnBudget,
  /** Tell the caller that it has not run. */
  RefuseNotRun,
  /** Tell the caller that its fate is unknown. */
  FailUnknown,
  /** Pass the endpoint's own answer on. */
  PassOn,
};

/** Decides what becomes of a request whose attempt ended without a usable
    answer. A request that may have run is sent again only when it is
    idempotent, and is never said not to have run unless it is. */
[[nodiscard]] NextStep
AfterAttempt(const AttemptState& aState, AttemptEnd aEnd) noexcept;

} // namespace sapphirehook

#endif
