#include "sapphirehook/keys/earlier_grants.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Terms whose end was told that are kept; later ones alone matter. */
constexpr std::size_t kToldTerms = 16;

} // namespace

void
EarlierGrants::OnBeat(TimePoint aNow,
                      const HostId& aFrom,
                      Term aTerm,
                      bool aLeads)
{
  auto& run = m_runs[aFrom.m_host];
  if (aFrom.m_incarnation > run.m_incarnation) {
    run = { aFrom.m_incarnation, aNow, std::nullopt, 0 };
  }
  if (aFrom.m_incarnation == run.m_incarnation) {
    if (aLeads) {
      run.m_idleSince.reset();
    } else if (!run.m_idleSince || aTerm > run.m_idleTerm) {
      run.m_idleSince = aNow;
      run.m_idleTerm = aTerm;
    }
  }
  LowerBySigns();
}

void
EarlierGrants::OnTold(Term aTerm, TimePoint aEnds)
{
  const auto told = m_told.try_emplace(aTerm, aEnds).first;
  told->second = std::min(told->second, aEnds);
  if (m_told.size() > kToldTerms) {
    m_told.erase(m_told.begin());
  }
  LowerBySigns();
}

void
EarlierGrants::Add(const HostId& aLeader, Term aTerm, TimePoint aLatest)
{
  const auto added =
    m_ends.try_emplace(std::pair(aTerm, aLeader), aLatest).first;
  added->second = std::min(added->second, aLatest);
  LowerBySigns();
}

void
EarlierGrants::AddStored(TimePoint aNow,
                         const std::vector<EarlierLeader>& aLeaders)
{
  for (const auto& leader : aLeaders) {
    // Counted from the reading, which is later than the append.
    Add(leader.m_leader, leader.m_term, aNow + Millis(leader.m_endsInMs));
  }
}

std::optional<TimePoint>
EarlierGrants::StoppedBy(const HostId& aLeader, Term aTerm) const
{
  const auto* run = RunOn(aLeader.m_host);
  if (run == nullptr) {
    return std::nullopt;
  }
  if (run->m_incarnation > aLeader.m_incarnation) {
    return run->m_seenAt;
  }
  // A run that knows its own term and does not lead never leads that one again.
  const bool idle = run->m_incarnation == aLeader.m_incarnation &&
                    run->m_idleSince && run->m_idleTerm >= aTerm;
  return idle ? run->m_idleSince : std::nullopt;
}

void
EarlierGrants::LowerBySigns()
{
  for (auto& [leader, ends] : m_ends) {
    const auto& [term, host] = leader;
    if (const auto stopped = StoppedBy(host, term)) {
      ends = std::min(ends, *stopped + m_holdEnd);
    }
    const auto told = m_told.find(term);
    if (told != m_told.end()) {
      ends = std::min(ends, told->second);
    }
  }
}

TimePoint
EarlierGrants::End() const noexcept
{
  TimePoint end{};
  for (const auto& [leader, ends] : m_ends) {
    end = std::max(end, ends);
  }
  return end;
}

std::vector<EarlierLeader>
EarlierGrants::Left(TimePoint aNow) const
{
  std::vector<EarlierLeader> left;
  for (const auto& [leader, ends] : m_ends) {
    if (ends > aNow) {
      const auto after = std::chrono::ceil<Millis>(ends - aNow);
      left.push_back({ leader.second, leader.first, after.count() });
    }
  }
  return left;
}

const EarlierGrants::Run*
EarlierGrants::RunOn(const std::string& aHost) const
{
  const auto run = m_runs.find(aHost);
  return run == m_runs.end() ? nullptr : &run->second;
}

} // namespace sapphirehook
