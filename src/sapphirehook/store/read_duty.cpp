#include "sapphirehook/store/read_duty.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** The first heir reads once the last proof is this old: kProofEvery, records
    that are gathered before the next call, and two beats, one of them lost. */
constexpr Millis kHeirReadsAfter{ 950 };
/** Each further heir reads this much later, so that the one before it can be
    heard of. */
constexpr Millis kHeirsApart{ 100 };
/** All others read once it is this old, whoever is named an heir: changes are
   to be in force within 2 s, of which a slow store takes 0.3 s. */
constexpr Millis kOthersReadAfter{ 1350 };
/** A daemon that has begun to read goes on for this long, so that a leader
   whose proofs come late at times does not make it begin anew each time. */
constexpr Millis kFollowsAtLeast{ 2000 };

Millis
ReadsAfter(const ReadPlace& aPlace) noexcept
{
  if (!aPlace.m_heir) {
    return kOthersReadAfter;
  }
  return std::min(kHeirReadsAfter +
                    kHeirsApart * static_cast<Millis::rep>(*aPlace.m_heir),
                  kOthersReadAfter);
}

} // namespace

void
ReadDuty::Word::Add(const EndProof& aProof, Offset aHave) noexcept
{
  if (aProof.m_end <= aHave) {
    m_completeAt = std::max(m_completeAt, aProof.m_at);
  } else if (aProof.m_at > m_ahead.m_at) {
    m_ahead = aProof;
  }
}

void
ReadDuty::Word::OnRead(Offset aHave) noexcept
{
  if (m_ahead.m_end <= aHave) {
    m_completeAt = std::max(m_completeAt, m_ahead.m_at);
  }
}

void
ReadDuty::OnOwnProof(const EndProof& aProof) noexcept
{
  m_own = std::max(m_own, aProof.m_at);
  OnRead(aProof.m_end);
}

void
ReadDuty::OnPeerProof(const EndProof& aProof,
                      bool aBefore,
                      Offset aHave) noexcept
{
  m_peers.Add(aProof, aHave);
  if (aBefore) {
    m_before.Add(aProof, aHave);
  }
}

void
ReadDuty::OnRead(Offset aHave) noexcept
{
  m_peers.OnRead(aHave);
  m_before.OnRead(aHave);
}

TimePoint
ReadDuty::CompleteAt() const noexcept
{
  return std::max(m_own, m_peers.m_completeAt);
}

ReadStep
ReadDuty::Next(TimePoint aNow, const ReadPlace& aPlace) noexcept
{
  const Millis after = ReadsAfter(aPlace);
  // An heir goes by those before it alone, or two would wait for each other.
  const TimePoint vouchedAt =
    aPlace.m_heir ? m_before.m_completeAt : m_peers.m_completeAt;
  if (m_follows) {
    const bool isVouched = aNow < vouchedAt + after;
    m_follows = !isVouched || aNow < m_followsSince + kFollowsAtLeast;
  }
  if (!m_follows && aNow >= std::max(vouchedAt, m_own) + after) {
    m_follows = true;
    m_followsSince = aNow;
  }
  ReadStep step;
  step.m_follows = m_follows || aPlace.m_leads;
  if (!step.m_follows) {
    step.m_until = std::max(vouchedAt, m_own) + after;
  }
  return step;
}

} // namespace sapphirehook
