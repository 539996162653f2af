#ifndef SAPPHIREHOOK_GATEWAY_OWNERSHIP_HPP
#define SAPPHIREHOOK_GATEWAY_OWNERSHIP_HPP

#include "sapphirehook/core/event_log.hpp"
#include "sapphirehook/discovery/endpoint_liveness.hpp"
#include "sapphirehook/gateway/endpoint_commands.hpp"
#include "sapphirehook/gateway/map_exchange.hpp"
#include "sapphirehook/keys/initial_ranges.hpp"
#include "sapphirehook/keys/leadership.hpp"
#include "sapphirehook/keys/range_planner.hpp"
#include "sapphirehook/store/topic_reader.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sapphirehook {

/** Settings of key ownership. */
struct OwnershipSettings
{
  sockaddr_in m_store{};
  double m_processorShare = 0.0;
  /** Whether the daemons have run before, so that a store without a leader
      record has lost it. */
  bool m_fleetHasRun = false;
  LeadershipTimes m_leadership;
  RangeManagerTimes m_rangeManager;
  /** Limit of the map data sent on request, in bytes per second. */
  double m_mapBytesPerSecond = 0.0;
  /** Time after which the endpoints of an evacuated zone get no requests. */
  Millis m_evacuation{ 5000 };
};

/** This daemon's part in key ownership. As the leader it grants ranges to
    endpoints and sends the routes to all daemons. As a follower it receives the
    routes, and claims leadership when the leader is lost. */
class Ownership
{
public:
  Ownership(EventLoop& aLoop,
            const GatewayProtocol& aProtocol,
            EventLog& aLog,
            OwnershipSettings aSettings,
            Gossip& aGossip,
            RequestEngine& aEngine,
            const EndpointDirectory& aDirectory,
            EndpointLiveness& aLiveness);
  ~Ownership();

  /** Processes a change of the configuration or of the endpoints. */
  void OnChange();

  /** Takes the latest known era of the store. aSawRestore is whether this
      daemon had read the store before that era began. A leader whose term is of
      an earlier era claims again and stores all assignments again. */
  void OnStoreEra(StoreEra aEra, bool aSawRestore);

  /** Records whether the store serves this daemon. */
  void SetStoreWorks(bool aWorks) noexcept
  {
    m_leadership.SetStoreWorks(BootClock::now(), aWorks);
  }

  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage);

  /** Sets the fields of a heartbeat that describe leadership. */
  void FillHeartbeat(GossipHeartbeat& aHeartbeat) const;

  /** Sends the leader the request counts of keys. */
  void ReportKeys();

  /** Handles an endpoint's refusal of a key that this daemon's map assigns to
      it. */
  void OnMisdirected(const std::string& aService, Key aKey);

  /** Resigns as the leader, so that another daemon can take over at once. */
  void Resign();

  /** Begins a planned stop. From now on this daemon never claims leadership,
      and it resigns as soon as another daemon can take over. */
  void BeginStop();

  /** Records a registered host. */
  void OnHost(const std::string& aHost, double aProcessorShare)
  {
    m_leadership.OnHost(aHost, aProcessorShare);
  }

  /** Called when this daemon becomes the leader. */
  std::function<void()> m_onLeadershipGained;

  /** Returns whether this daemon knows the other hosts, so that its place in
      their order means something. Until then it neither claims leadership nor
      reads the store before the others. Optional. */
  std::function<bool()> m_knowsHosts;

  /** Called when an answer of the store shows a later era. */
  std::function<void(StoreEra)> m_onEra;

  /** Called when the store did not serve a read for a claim. */
  std::function<void(StoreAnswer)> m_onStoreFailure;

  [[nodiscard]] bool Leads() const noexcept { return m_leadership.Leads(); }
  [[nodiscard]] TimePoint LedSince() const noexcept
  {
    return m_leadership.LedSince();
  }

  /** Returns the current leader, or nothing after a heartbeat timeout. */
  [[nodiscard]] std::optional<HostId> Leader(TimePoint aNow) const
  {
    return m_leadership.Leader(aNow);
  }

  /** Returns the index of a daemon in the leader's list of successors, from 0,
      or nothing if it is not listed. */
  [[nodiscard]] std::optional<std::size_t> SuccessorIndex(
    const std::string& aHost) const
  {
    return m_leadership.SuccessorIndex(aHost);
  }

  /** Returns the index of this daemon among those that read the store for the
      fleet when the leader does not. */
  [[nodiscard]] std::optional<std::size_t> ReaderIndex(TimePoint aNow) const
  {
    return KnowsHosts() ? m_leadership.ReaderIndex(aNow) : std::nullopt;
  }

  /** Whether this daemon has the complete maps of all keyed services. */
  [[nodiscard]] bool KnowsMaps() const;

private:
  /** State of a keyed service on the leader. */
  struct LedService
  {
    LedService(RangeManagerTimes aTimes,
               Fence aFence,
               TimePoint aPreviousGrantsExpiry)
      : m_rangeManager(aTimes, aFence, aPreviousGrantsExpiry)
      , m_planner(PlannerConfig{})
    {
    }

    RangeManager m_rangeManager;
    RangePlanner m_planner;
    std::vector<KeyLimit> m_keyLimits;
  };

  [[nodiscard]] bool KnowsHosts() const
  {
    return !m_knowsHosts || m_knowsHosts();
  }
  void Tick();
  void TickSoon();
  void TickLedServices();
  void Execute(TimePoint aNow,
               const std::string& aName,
               LedService& aLedService,
               const RangeManagerActions& aActions);
  void Plan();
  void LimitKeys(const std::string& aName,
                 LedService& aLedService,
                 const std::vector<PlannerEndpoint>& aEndpoints);
  void TryClaim();
  void OnNewest(const KeyedPage& aPage);
  void Claim(Offset aEnd);
  void OnClaimAppend(const AppendOutcome& aOutcome);
  /** Takes the era of an answer of the store. Returns false if it is later than
      the one that was known, so that the state of this daemon has changed. */
  [[nodiscard]] bool IsOfKnownEra(StoreEra aEra);
  void BeginLeading();
  void StepDown(std::string_view aWhy);
  [[nodiscard]] std::string PackedRecord(TimePoint aNow,
                                         Term aTerm,
                                         Offset aTrustedFrom) const;
  void BeginReclaim();
  void Reclaim();
  void OnReclaimRead(const KeyedPage& aPage);
  void OnReclaimAppend(const AppendOutcome& aOutcome);
  void OnReclaimed(Offset aEnd);
  void AddBlocks(const std::string& aService,
                 const std::vector<RangeManager::StoreBlock>& aBlocks);
  void StoreChanges();
  void Append();
  void OnAppend(const AppendOutcome& aOutcome);
  void ResolveAppend();
  void OnAppendResolved(const KeyedPage& aPage);
  void OnAppended(Offset aEnd);
  void OnOwnRecord(const KeyedRecord& aRecord);
  void SyncServices(TimePoint aNow);
  void LoadAssignments(TimePoint aNow,
                       const std::string& aService,
                       RangeManager& aRangeManager);
  /** Whether a service's keys can be assigned: either the store has earlier
      assignments, or its first endpoints have had time to appear. */
  [[nodiscard]] bool CanBegin(TimePoint aNow, const std::string& aService);
  [[nodiscard]] std::size_t EndpointCount(const std::string& aService) const;
  std::vector<RangeManagerEndpoint> ManagerEndpoints(
    TimePoint aNow,
    const std::string& aService);
  EndpointCommands* CommandsFor(const std::string& aEndpoint);
  [[nodiscard]] CommandEvents CommandEventsFor(const EndpointRecord& aRecord);
  void OnLeaderHeartbeat(const HostId& aFrom,
                         const GossipHeartbeat& aHeartbeat);
  [[nodiscard]] std::set<std::string> KeyedServices() const;

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EventLog& m_log;
  OwnershipSettings m_settings;
  Gossip& m_gossip;
  RequestEngine& m_engine;
  const EndpointDirectory& m_directory;
  EndpointLiveness& m_liveness;
  Leadership m_leadership;
  MapExchange m_maps;
  std::unique_ptr<TopicReader> m_reader;
  HttpClient m_writer;
  Timer m_timer;
  Timer m_planTimer;
  Timer m_storeTimer;
  bool m_tickQueued = false;
  /** Time of the next tick that checks all ranges. */
  TimePoint m_fullTickAt{};
  TimePoint m_tickedAt{};
  bool m_stopping = false;

  // State of a claim in progress.
  bool m_claiming = false;
  TimePoint m_claimTriedAt{};
  std::string m_newestAfter;
  Offset m_newestEnd = 0;
  std::map<std::string, KeyedRecord> m_storedRecords;
  /** The claim in progress, or the one of this leader. */
  TermClaim m_claim;
  /** Era of the pages that a claim in progress has read. */
  StoreEra m_claimEra = 0;
  /** Records of m_storedRecords before this offset may be out of date. */
  Offset m_loadTrustedFrom = 0;

  // State of the leader.
  std::map<std::string, LedService> m_ledServices;
  std::map<std::string, std::unique_ptr<EndpointCommands>> m_commands;
  Offset m_end = 0;
  std::uint64_t m_sequence = 0;
  std::vector<KeyedRecord> m_appending;
  bool m_appendBusy = false;
  /** Stored assignments before this offset may be out of date. */
  Offset m_trustedFrom = 0;
  /** Whether this leader has to claim again, because the store has lost its
      claim. */
  bool m_reclaiming = false;
  /** When this leader learned that its claim was lost. */
  TimePoint m_claimLostAt{};
  /** Term and m_trustedFrom of the last such claim. */
  Term m_reclaimTerm = 0;
  Offset m_reclaimTrustedFrom = 0;
  /** Times when the last append was sent and when the last successful one
      ended. */
  TimePoint m_appendSentAt{};
  TimePoint m_appendedAt{};

  /** How the endpoints of each service have become known. */
  std::map<std::string, ArrivalWindow> m_arrivals;
};

} // namespace sapphirehook

#endif
