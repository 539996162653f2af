#include "sapphirehook/gateway/ownership.hpp"

#include "sapphirehook/gateway/internal/ownership_records.hpp"

#include <algorithm>
#include <utility>

// The part of Ownership that handles a restore of the store from an older copy.
// The copy may lack claims and assignments that the store had acknowledged.

namespace sapphirehook {

using namespace internal;

namespace {

/** Shortest time from learning of a restore until a leader claims again.
    Heartbeats of the other daemons arrive meanwhile, and show whether one of
    them has claimed a later term, which the store may have lost. */
constexpr Millis kPeerReports{ 400 };

} // namespace

bool
Ownership::IsOfKnownEra(StoreEra aEra)
{
  if (aEra <= m_leadership.Era()) {
    return true;
  }
  if (m_onEra) {
    m_onEra(aEra);
  }
  OnStoreEra(aEra, false);
  return false;
}

void
Ownership::OnStoreEra(StoreEra aEra, bool aSawRestore)
{
  if (aEra <= m_leadership.Era()) {
    return;
  }
  m_leadership.OnEra(aEra);
  if (aSawRestore) {
    m_leadership.OnRestoreSeen();
  }
  if (m_reader) {
    m_reader->OnEra(aEra);
    BeginReclaim();
  }
}

/** Begins to store again what the restored store lacks. Nothing else is stored
    until then, so no key moves. The holders keep their keys. */
void
Ownership::BeginReclaim()
{
  m_log.Write(LogLine("store-lost-claim")
                .Add("term", m_claim.m_term)
                .Add("era", m_leadership.Era()),
              LogPriority::State);
  m_writer.Abort();
  m_appending.clear();
  m_appendBusy = true;
  m_reclaiming = true;
  m_claimLostAt = BootClock::now();
  m_reclaimTerm = 0;
  m_storeTimer.Start(kPeerReports);
}

void
Ownership::Reclaim()
{
  if (!m_leadership.Leads() || m_writer.IsBusy()) {
    return;
  }
  const TimePoint now = BootClock::now();
  const bool isLatest = m_leadership.IsLatest();
  if (!isLatest || !m_leadership.HasAuthority(now)) {
    m_leadership.Yield(now);
    StepDown(isLatest ? "its authority has ended"
                      : "another daemon may have led since");
    return;
  }
  if (!m_leadership.HasLivedThrough(m_claimLostAt, now)) {
    m_storeTimer.Start(kStoreRetry);
    return;
  }
  m_writer.Call(m_protocol.m_store.m_newest(kTopic, ""),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnReclaimRead(m_protocol.m_store.m_parseNewest(aResult));
                });
}

void
Ownership::OnReclaimRead(const KeyedPage& aPage)
{
  if (!m_leadership.Leads() || !IsOfKnownEra(aPage.m_era)) {
    return;
  }
  const TimePoint now = BootClock::now();
  if (aPage.m_answer != StoreAnswer::Ok || aPage.m_era != m_leadership.Era() ||
      !m_leadership.IsLatest()) {
    m_storeTimer.Start(kStoreRetry);
    return;
  }
  std::optional<LeaderRecord> stored;
  for (const auto& record : aPage.m_records) {
    if (record.m_key == kLeaderKey) {
      stored = UnpackLeader(record);
    }
  }
  if (stored && stored->m_leader != m_gossip.Self() &&
      (stored->m_era == m_leadership.Era() ||
       stored->m_term > m_claim.m_term)) {
    m_leadership.OnRecord(now, *stored);
    m_leadership.Yield(now);
    StepDown("another daemon has claimed");
    return;
  }
  if (stored && stored->m_leader == m_gossip.Self() &&
      stored->m_term == m_reclaimTerm && stored->m_sequence == m_sequence) {
    OnReclaimed(aPage.m_end); // the answer to the append was lost
    return;
  }
  const bool waits = std::any_of(
    m_ledServices.begin(), m_ledServices.end(), [&](const auto& aOne) {
      return aOne.second.m_rangeManager.HasUnknownHolders(now);
    });
  m_appending.clear();
  m_reclaimTrustedFrom = aPage.m_end;
  if (waits) {
    // This leader does not know the holders of all keys yet either.
    ++m_reclaimTrustedFrom;
  } else {
    for (const auto& [name, ledService] : m_ledServices) {
      AddBlocks(name, ledService.m_rangeManager.AllBlocks());
    }
  }
  ++m_sequence;
  m_reclaimTerm = m_leadership.NextTerm();
  m_appending.push_back(
    { 0, kLeaderKey, PackedRecord(now, m_reclaimTerm, m_reclaimTrustedFrom) });
  m_appendSentAt = now;
  m_writer.Call(m_protocol.m_store.m_append(kTopic, aPage.m_end, m_appending),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnReclaimAppend(m_protocol.m_store.m_parseAppend(aResult));
                });
}

void
Ownership::OnReclaimAppend(const AppendOutcome& aOutcome)
{
  if (!m_leadership.Leads() || !IsOfKnownEra(aOutcome.m_era)) {
    return;
  }
  if (aOutcome.m_answer == StoreAnswer::Ok &&
      aOutcome.m_era == m_leadership.Era()) {
    OnReclaimed(aOutcome.m_end);
  } else {
    m_storeTimer.Start(kStoreRetry);
  }
}

/** The restored store has all assignments of this leader again. */
void
Ownership::OnReclaimed(Offset aEnd)
{
  m_log.Write(LogLine("claimed-again")
                .Add("term_before", m_claim.m_term)
                .Add("term", m_reclaimTerm)
                .Add("era", m_leadership.Era())
                .Add("records", m_appending.size()),
              LogPriority::State);
  m_reclaiming = false;
  m_claim.m_term = m_reclaimTerm;
  m_trustedFrom = m_reclaimTrustedFrom;
  m_leadership.OnReclaimed(m_appendSentAt, m_claim.m_term);
  m_maps.BeginLeading(m_claim.m_term);
  for (auto& [name, ledService] : m_ledServices) {
    ledService.m_rangeManager.RaiseFences(FirstFenceOf(m_claim.m_term));
  }
  OnAppended(aEnd);
}

} // namespace sapphirehook
