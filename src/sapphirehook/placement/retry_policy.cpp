#include "sapphirehook/placement/retry_policy.hpp"

namespace sapphirehook {

namespace {

/** Minimum remaining time for another attempt. With less time, an attempt only
    adds load. */
constexpr Millis kMinTimeLeft{ 20 };

} // namespace

NextStep
AfterAttempt(const AttemptState& aState, AttemptEnd aEnd) noexcept
{
  if (aEnd == AttemptEnd::Answered || aState.m_answering) {
    return NextStep::PassOn;
  }
  const bool idempotent = IsIdempotent(aState.m_kind);
  const bool mayRepeat = idempotent || !aState.m_mayHaveRun;
  const bool canSend =
    mayRepeat && aState.m_hasBody && aState.m_timeLeft > kMinTimeLeft;
  if (aEnd == AttemptEnd::NotSent && canSend) {
    return NextStep::SendAgain;
  }
  if (canSend && aState.m_sends < aState.m_maxSends) {
    return NextStep::SendAgainOnBudget;
  }
  if (aEnd == AttemptEnd::Failed) {
    return NextStep::PassOn;
  }
  return aState.m_mayHaveRun ? NextStep::FailUnknown : NextStep::RefuseNotRun;
}

} // namespace sapphirehook
