#include "sapphirehook/ownership/coordinator.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** Number of recent records kept for daemons that cannot read the log. */
constexpr std::size_t kRecentRecords = 4096;

/** Maximum number of records in one FetchAnswer. */
constexpr std::size_t kFetchedRecords = 512;

/** Number of records since the last snapshot after which the next one is due
    before its interval has passed. */
constexpr Offset kSnapshotRecords = 2000;

/** Factor on the snapshot interval while the log has no other records. */
constexpr int kIdleSnapshotFactor = 10;

constexpr Millis kFetchInterval{ 200 };

} // namespace

Coordinator::Coordinator(NodeConfig aConfig)
  : m_config(std::move(aConfig))
  , m_appends(std::make_shared<AppendQueue>(m_config.m_self))
  , m_groups(m_config, m_appends)
  , m_endpoints(m_config, m_appends)
{
}

bool
Coordinator::OnTrimmed(Offset aFirst)
{
  m_firstAvailable = aFirst;
  if (m_state.m_nextOffset < aFirst) {
    m_needsSnapshot = true;
    m_unappliedRecords.clear();
  }
  return m_needsSnapshot;
}

void
Coordinator::OnRecord(TimePoint aNow, Offset aOffset, const std::string& aBytes)
{
  if (!m_needsSnapshot) {
    Fold(aNow, aOffset, aBytes);
    AfterFold(aNow);
    return;
  }
  m_unappliedRecords.push_back({ aOffset, aBytes });
  const auto record = DecodeRecord(aBytes);
  if (!record.ok()) {
    return;
  }
  const auto* snapshot = std::get_if<SnapshotRecord>(&record->m_body);
  if (snapshot != nullptr && snapshot->m_nextOffset >= m_firstAvailable) {
    LoadSnapshot(aNow, aOffset, *snapshot);
  }
}

void
Coordinator::LoadSnapshot(TimePoint aNow,
                          Offset /*aOffset*/,
                          const SnapshotRecord& aSnapshot)
{
  auto state = Unpack<ClusterState>(aSnapshot.m_state);
  if (!state.ok() || state->m_nextOffset < m_state.m_nextOffset) {
    return;
  }
  m_needsSnapshot = false;
  InstallState(aNow, *std::move(state));
  const auto records = std::exchange(m_unappliedRecords, {});
  for (const auto& record : records) {
    Fold(aNow, record.m_offset, record.m_bytes);
  }
  AfterFold(aNow);
}

void
Coordinator::InstallState(TimePoint aNow, ClusterState aState)
{
  m_state = std::move(aState);
  m_recentRecords.clear();
  m_lastSnapshotAt = aNow;
  m_actions.emplace_back(EventAction{
    "snapshot-read", "", "", Concat("offset ", m_state.m_nextOffset) });
}

void
Coordinator::Fold(TimePoint aNow, Offset aOffset, const std::string& aBytes)
{
  if (aOffset < m_state.m_nextOffset) {
    return;
  }
  m_recentRecords.push_back({ aOffset, aBytes });
  if (m_recentRecords.size() > kRecentRecords) {
    m_recentRecords.pop_front();
  }
  const auto record = DecodeRecord(aBytes);
  if (!record.ok()) {
    ++m_ignored;
    SkipRecord(m_state, aOffset);
    return;
  }
  const auto status = ApplyRecord(m_state, aOffset, *record);
  if (!status.ok()) {
    ++m_ignored;
  }
  if (record->m_writer == m_config.m_self) {
    m_appends->OnRead(record->m_sequence);
  }
  if (std::holds_alternative<SnapshotRecord>(record->m_body)) {
    m_lastSnapshotAt = aNow;
  }
  AddRecordEvent(*record, aOffset, status);
}

void
Coordinator::AddRecordEvent(const Record& aRecord,
                            Offset aOffset,
                            const absl::Status& aStatus)
{
  EventAction event;
  event.m_kind = std::string(RecordName(aRecord.m_body));
  event.m_detail = Concat("offset ", aOffset);
  if (!aStatus.ok()) {
    event.m_detail += Concat(" ignored: ", aStatus.message());
  }
  std::visit(
    [&](const auto& aBody) {
      if constexpr (requires { aBody.m_group; }) {
        event.m_group = ToString(aBody.m_group);
      }
      if constexpr (requires { aBody.m_endpoints; }) {
        for (const auto& name : aBody.m_endpoints) {
          event.m_endpoint += event.m_endpoint.empty() ? name : "," + name;
        }
      }
      if constexpr (requires { aBody.m_dispatcher; }) {
        event.m_detail += Concat(" by ", aBody.m_dispatcher.m_host);
      }
    },
    aRecord.m_body);
  m_actions.emplace_back(std::move(event));
}

void
Coordinator::AfterFold(TimePoint aNow)
{
  m_directory.Refresh(m_state);
  m_groups.OnState(aNow, m_state, m_actions);
  m_tickets.erase(m_tickets.begin(),
                  m_tickets.lower_bound(m_state.m_nextTicketOffset));
}

void
Coordinator::OnTicket(TimePoint aNow, Offset aOffset, std::string aText)
{
  if (aOffset >= m_state.m_nextTicketOffset) {
    m_tickets.try_emplace(aOffset, PendingTicket{ std::move(aText), aNow });
  }
}

void
Coordinator::OnLogStatus(TimePoint aNow, bool aReadable)
{
  if (aReadable != m_logReadable) {
    m_actions.emplace_back(
      EventAction{ aReadable ? "log-found" : "log-lost", "", "", "" });
  }
  m_logReadable = aReadable;
  if (aReadable) {
    m_started = true;
    m_lastRefresh = aNow;
  }
}

void
Coordinator::OnHostList(std::vector<ListedHost> aHosts)
{
  m_groups.OnHostList(std::move(aHosts));
}

std::optional<HeartbeatAnswer>
Coordinator::OnHeartbeat(TimePoint aNow, const Heartbeat& aHeartbeat)
{
  m_lastRefresh = aNow;
  return m_groups.OnHeartbeat(aNow, m_state, aHeartbeat);
}

void
Coordinator::OnHeartbeatAnswer(TimePoint aNow,
                               const std::string& aAddress,
                               const HeartbeatAnswer& aAnswer)
{
  m_lastRefresh = aNow;
  m_groups.OnHeartbeatAnswer(aNow, aAnswer);
  const bool behind = aAnswer.m_nextOffset > m_state.m_nextOffset;
  if (behind && !m_logReadable && aNow >= m_nextFetch) {
    m_nextFetch = aNow + kFetchInterval;
    m_actions.emplace_back(FetchAction{ aAddress, { m_state.m_nextOffset } });
  }
}

FetchAnswer
Coordinator::OnFetch(const FetchRequest& aRequest) const
{
  FetchAnswer answer;
  Offset from = aRequest.m_from;
  const bool available = !m_recentRecords.empty() &&
                         m_recentRecords.front().m_offset <= aRequest.m_from;
  if (!available && m_state.m_nextOffset > aRequest.m_from) {
    answer.m_state = Pack(m_state);
    from = m_state.m_nextOffset;
  }
  for (const auto& record : m_recentRecords) {
    if (record.m_offset >= from && answer.m_records.size() < kFetchedRecords) {
      answer.m_records.push_back(record);
    }
  }
  return answer;
}

void
Coordinator::OnFetchAnswer(TimePoint aNow, const FetchAnswer& aAnswer)
{
  if (!aAnswer.m_state.empty()) {
    auto state = Unpack<ClusterState>(aAnswer.m_state);
    if (!state.ok() || state->m_nextOffset <= m_state.m_nextOffset) {
      return;
    }
    m_needsSnapshot = false;
    m_unappliedRecords.clear();
    InstallState(aNow, *std::move(state));
  }
  for (const auto& record : aAnswer.m_records) {
    if (!m_needsSnapshot && record.m_offset == m_state.m_nextOffset) {
      Fold(aNow, record.m_offset, record.m_bytes);
    }
  }
  m_lastRefresh = aNow;
  AfterFold(aNow);
}

void
Coordinator::OnLeaseAnswer(TimePoint aNow,
                           const std::string& aEndpoint,
                           const LeaseCall& aCall,
                           const LeaseAnswer& aAnswer)
{
  m_endpoints.OnAnswer(aNow, aEndpoint, aCall, aAnswer);
}

void
Coordinator::OnLeaseFailure(TimePoint aNow,
                            const std::string& aEndpoint,
                            const LeaseCall& aCall)
{
  m_endpoints.OnFailure(aNow, aEndpoint, aCall);
}

void
Coordinator::OnRequestStarted(const std::string& aEndpoint,
                              std::uint64_t aRequest,
                              RunningRequest aRunning)
{
  m_endpoints.OnStarted(aEndpoint, aRequest, std::move(aRunning));
}

void
Coordinator::OnRequestEnded(const std::string& aEndpoint,
                            std::uint64_t aRequest,
                            bool aAnswered)
{
  m_endpoints.OnEnded(aEndpoint, aRequest, aAnswered);
}

Millis
Coordinator::Stagger(std::uint64_t aItem) const
{
  const auto ranked = RankMembers(m_state, m_config.m_region, aItem);
  const auto self = std::find(ranked.begin(), ranked.end(), m_config.m_self);
  return m_config.m_timing.m_claimStagger * (self - ranked.begin());
}

void
Coordinator::JoinIfMissing()
{
  if (!m_logReadable || m_needsSnapshot || m_stopping ||
      IsMember(m_state, m_config.m_self)) {
    return;
  }
  m_appends->AppendOnce("join",
                        JoinRecord{ m_config.m_self,
                                    m_config.m_region,
                                    m_config.m_zone,
                                    m_config.m_peerAddress },
                        m_actions);
}

void
Coordinator::RelayTickets(TimePoint aNow)
{
  if (!m_logReadable || m_needsSnapshot || m_tickets.empty()) {
    return;
  }
  for (const auto& [offset, ticket] : m_tickets) {
    if (aNow - ticket.m_since < Stagger(offset)) {
      return;
    }
    m_appends->AppendOnce(Concat("ticket ", offset),
                          TicketRecord{ offset, ticket.m_text },
                          m_actions);
  }
}

void
Coordinator::WriteSnapshotIfDue(TimePoint aNow)
{
  const Offset since = m_state.m_nextOffset - m_state.m_snapshotOffset;
  if (m_lastSnapshotAt == TimePoint{}) {
    m_lastSnapshotAt = aNow;
  }
  const auto every = m_config.m_timing.m_snapshotEvery;
  const auto age = aNow - m_lastSnapshotAt;
  // An idle log also needs new snapshots, since trimming would otherwise remove
  // the last one.
  const auto wait = since > 1 ? every : every * kIdleSnapshotFactor;
  const bool due = since > kSnapshotRecords || age > wait;
  if (!due || !m_logReadable || m_needsSnapshot || m_stopping) {
    return;
  }
  const auto overdue = age - wait;
  const bool many = since > 2 * kSnapshotRecords;
  if (!many && overdue < Stagger(m_state.m_snapshotOffset)) {
    return;
  }
  m_appends->AppendOnce("snapshot",
                        SnapshotRecord{ m_state.m_nextOffset, Pack(m_state) },
                        m_actions);
}

void
Coordinator::FetchFromSeed(TimePoint aNow)
{
  const bool cold = m_state.m_nextOffset == 0 && !m_logReadable;
  const bool needsFetch = cold || m_needsSnapshot;
  if (!needsFetch || m_config.m_seeds.empty() || aNow < m_nextFetch) {
    return;
  }
  m_nextFetch = aNow + kFetchInterval;
  const auto& seed = m_config.m_seeds[m_nextSeed % m_config.m_seeds.size()];
  ++m_nextSeed;
  m_actions.emplace_back(FetchAction{ seed, { m_state.m_nextOffset } });
}

void
Coordinator::OnTick(TimePoint aNow)
{
  JoinIfMissing();
  LeaveIfDrained();
  RelayTickets(aNow);
  WriteSnapshotIfDue(aNow);
  FetchFromSeed(aNow);
  const bool writable = m_logReadable && !m_needsSnapshot;
  m_groups.OnTick(aNow, m_state, writable, m_actions);
  m_endpoints.OnTick(aNow, m_state, m_directory, m_groups, m_actions);
}

void
Coordinator::BeginStop() noexcept
{
  m_stopping = true;
  m_groups.BeginStop();
}

void
Coordinator::LeaveIfDrained()
{
  const bool alone = m_state.m_members.size() <= 1;
  const bool drained = m_groups.HasNoRole() || alone;
  if (m_stopping && drained && m_logReadable &&
      IsMember(m_state, m_config.m_self)) {
    m_appends->AppendOnce("leave " + ToString(m_config.m_self),
                          LeaveRecord{ m_config.m_self },
                          m_actions);
  }
}

bool
Coordinator::IsDrained() const
{
  return m_stopping && !IsMember(m_state, m_config.m_self) &&
         m_appends->Empty();
}

Actions
Coordinator::TakeActions()
{
  return std::exchange(m_actions, {});
}

RouteDecision
Coordinator::Route(TimePoint aNow,
                   const std::string& aService,
                   std::string_view aKey) const
{
  RouteDecision decision;
  if (IsStale(aNow)) {
    decision.m_refusal = ErrorKind::Stale;
    return decision;
  }
  const auto owner = m_directory.OwnerOf(m_state, aService, aKey);
  if (owner.m_endpoint == nullptr) {
    decision.m_refusal = ErrorKind::NoOwner;
    return decision;
  }
  const auto endpoint = m_state.m_endpoints.find(*owner.m_endpoint);
  if (endpoint == m_state.m_endpoints.end()) {
    decision.m_refusal = ErrorKind::NoOwner;
    return decision;
  }
  decision.m_endpoint = *owner.m_endpoint;
  decision.m_partition = owner.m_partition;
  decision.m_group =
    GroupOf(m_state, decision.m_endpoint, endpoint->second.m_config);
  const auto group = m_state.m_groups.find(decision.m_group);
  if (group == m_state.m_groups.end()) {
    decision.m_refusal = ErrorKind::NotDispatcher;
    return decision;
  }
  decision.m_dispatcher = group->second.m_dispatcher;
  decision.m_local = decision.m_dispatcher == m_config.m_self;
  const auto member = m_state.m_members.find(decision.m_dispatcher.m_host);
  if (member != m_state.m_members.end()) {
    decision.m_dispatcherAddress = member->second.m_peerAddress;
  } else if (!decision.m_local) {
    decision.m_refusal = ErrorKind::NotDispatcher;
  }
  if (decision.m_local && !owner.m_settled) {
    decision.m_refusal = ErrorKind::NoOwner;
  }
  return decision;
}

EndpointAvailability
Coordinator::AvailabilityOf(const std::string& aEndpoint) const
{
  return m_endpoints.AvailabilityOf(m_state, m_groups, aEndpoint);
}

bool
Coordinator::HasAcceptedGrant(const std::string& aEndpoint,
                              PartitionId aPartition) const
{
  return m_endpoints.HasAcceptedGrant(aEndpoint, PackPartition(aPartition));
}

bool
Coordinator::IsStale(TimePoint aNow) const
{
  return !m_started && m_state.m_nextOffset == 0
           ? true
           : aNow - m_lastRefresh > m_config.m_timing.m_staleAfter;
}

} // namespace sapphirehook
