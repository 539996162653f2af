#include "sapphirehook/keys/earlier_grants.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Number of terms whose reported expiry is kept. Only the latest matter. */
constexpr std::size_t kMaxReportedTerms = 16;
/** Upper bound of a stored expiry. Leases last for seconds. */
constexpr Millis kMaxExpiry = std::chrono::minutes(10);

} // namespace

void
EarlierGrants::OnHeartbeat(TimePoint aNow,
                           const HostId& aFrom,
                           Term aTerm,
                           bool aLeads)
{
  auto& run = m_runs[aFrom.m_host];
  if (aFrom.m_incarnation != run.m_incarnation) {
    run = {};
    run.m_incarnation = aFrom.m_incarnation;
    run.m_seenAt = aNow;
  }
  run.m_knownTerm = std::max(run.m_knownTerm, aTerm);
  if (aLeads) {
    run.m_idleSince.reset();
  } else if (!run.m_idleSince || aTerm > run.m_idleTerm) {
    run.m_idleSince = aNow;
    run.m_idleTerm = aTerm;
  }
  ApplyEvidence();
}

void
EarlierGrants::OnExpiryReported(Term aTerm, TimePoint aEnds)
{
  const auto reported = m_reportedExpiry.try_emplace(aTerm, aEnds).first;
  reported->second = std::min(reported->second, aEnds);
  if (m_reportedExpiry.size() > kMaxReportedTerms) {
    m_reportedExpiry.erase(m_reportedExpiry.begin());
  }
  ApplyEvidence();
}

void
EarlierGrants::Add(const HostId& aLeader, Term aTerm, TimePoint aLatest)
{
  const auto added =
    m_expiries.try_emplace(std::pair(aTerm, aLeader), aLatest).first;
  added->second = std::min(added->second, aLatest);
  ApplyEvidence();
}

void
EarlierGrants::AddStored(TimePoint aNow,
                         const std::vector<EarlierLeader>& aLeaders)
{
  for (const auto& leader : aLeaders) {
    // The stored time runs from the append. Counting it from the read, which
    // is later, gives an upper bound.
    const auto left =
      std::clamp<Millis::rep>(leader.m_expiresInMs, 0, kMaxExpiry.count());
    Add(leader.m_leader, leader.m_term, aNow + Millis(left));
  }
}

std::optional<TimePoint>
EarlierGrants::StoppedBy(const HostId& aLeader, Term aTerm) const
{
  const auto* run = LastHeardRun(aLeader.m_host);
  // A run that knows its own term and does not lead never leads that term
  // again, and has reset its commands.
  const bool idle = run != nullptr &&
                    run->m_incarnation == aLeader.m_incarnation &&
                    run->m_idleSince && run->m_idleTerm >= aTerm;
  return idle ? run->m_idleSince : std::nullopt;
}

std::optional<TimePoint>
EarlierGrants::EndedBy(const HostId& aLeader, Term aTerm) const
{
  const auto* run = LastHeardRun(aLeader.m_host);
  const bool ended = run != nullptr &&
                     run->m_incarnation != aLeader.m_incarnation &&
                     run->m_knownTerm >= aTerm;
  return ended ? std::optional(run->m_seenAt) : std::nullopt;
}

void
EarlierGrants::ApplyEvidence()
{
  for (auto& [leader, ends] : m_expiries) {
    const auto& [term, host] = leader;
    if (const auto stopped = StoppedBy(host, term)) {
      ends = std::min(ends, *stopped + m_grantLifetime);
    }
    if (const auto ended = EndedBy(host, term)) {
      ends = std::min(ends, *ended + m_longestCut + m_grantLifetime);
    }
    const auto reported = m_reportedExpiry.find(term);
    if (reported != m_reportedExpiry.end()) {
      ends = std::min(ends, reported->second);
    }
  }
}

TimePoint
EarlierGrants::Expiry() const noexcept
{
  TimePoint end{};
  for (const auto& [leader, ends] : m_expiries) {
    end = std::max(end, ends);
  }
  return end;
}

std::vector<EarlierLeader>
EarlierGrants::RemainingLeaders(TimePoint aNow) const
{
  std::vector<EarlierLeader> left;
  for (const auto& [leader, ends] : m_expiries) {
    if (ends > aNow) {
      const auto after = std::chrono::ceil<Millis>(ends - aNow);
      left.push_back({ leader.second, leader.first, after.count() });
    }
  }
  return left;
}

const EarlierGrants::Run*
EarlierGrants::LastHeardRun(const std::string& aHost) const
{
  const auto run = m_runs.find(aHost);
  return run == m_runs.end() ? nullptr : &run->second;
}

} // namespace sapphirehook
