#ifndef SAPPHIREHOOK_GATEWAY_GATEWAY_HPP
#define SAPPHIREHOOK_GATEWAY_GATEWAY_HPP

#include "sapphirehook/core/arrival_clock.hpp"
#include "sapphirehook/gateway/host_registry.hpp"
#include "sapphirehook/gateway/ownership.hpp"
#include "sapphirehook/gateway/settings.hpp"
#include "sapphirehook/gateway/start_config.hpp"
#include "sapphirehook/gateway/version_history.hpp"
#include "sapphirehook/gossip/fleet_size.hpp"
#include "sapphirehook/gossip/topic_catch_up.hpp"
#include "sapphirehook/http1/server.hpp"
#include "sapphirehook/store/outage_watch.hpp"
#include "sapphirehook/store/read_schedule.hpp"

#include <absl/status/status.h>
#include <deque>
#include <string>

namespace sapphirehook {

/** The daemon of an entry host. It connects the request engine, key ownership,
    gossip and the topic readers, and runs all of them on one event loop. */
class Gateway
{
public:
  Gateway(GatewaySettings aSettings, GatewayProtocol aProtocol);

  /** Opens the sockets for callers, the balancer, metrics and peers. */
  [[nodiscard]] absl::Status Open();

  /** Runs the event loop until a planned stop is complete. */
  void Run();

  /** Applies the settings that can change while the daemon runs. Changes to the
      other settings are only logged, since they need a restart. */
  void Reload(const absl::StatusOr<GatewaySettings>& aSettings);

  /** Begins a planned stop. Run() returns when it is complete. */
  void Stop();

  [[nodiscard]] EventLoop& Loop() noexcept { return m_loop; }

private:
  void OnHostFound();
  void OnConfig(const KeyedRecord& aRecord);
  void LogIssues(const RoutingConfig& aConfig);
  void OnEvacuation(const std::string& aZone, const KeyedRecord& aRecord);
  /** Logs when the last range of an evacuated zone has moved. */
  void WatchEvacuations(TimePoint aNow);
  /** Passes the names of the registered hosts to the request engine. */
  void UpdateHosts();
  /** Calls OnEndpointsChanged soon. */
  void QueueEndpointsChanged();
  void OnEndpoint(const KeyedRecord& aRecord);
  void OnEndpointsChanged();
  /** Records that the store has reached an era. */
  void OnStoreEra(StoreEra aEra);
  void OnPeerEra(TimePoint aArrivedAt, const GossipHeartbeat& aHeartbeat);
  /** A configuration with what log lines say about its origin. */
  struct ReadConfig
  {
    RoutingConfig m_config;
    Offset m_offset = 0;
    std::size_t m_bytes = 0;
    /** "store" or the name of a peer. */
    std::string m_source;
  };
  void ApplyConfig(ReadConfig aRead);
  void CheckHeldConfig(TimePoint aNow);
  /** Returns until when an endpoint entry of the present era may come from the
      copy that the store was restored from, or nothing if its owner wrote it
      in this era. */
  [[nodiscard]] std::optional<TimePoint> RestoredEntryUntil(
    Offset aOffset) const;
  void OnStoreFailure(std::string_view aTopic, StoreAnswer aAnswer);
  void OnReadFailure(const std::string& aTopic, const ReadFailure& aFailure);
  /** Writes a log line at most once a second for each event and topic. */
  void WriteRateLimited(const std::string& aTopic, const LogLine& aLine);
  void OnStoreWorks(std::string_view aTopic);
  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage);
  void UpdateFleetUse(TimePoint aNow,
                      const HostId& aFrom,
                      const GossipHeartbeat& aHeartbeat);
  void OnTick();
  void CountDaemons(TimePoint aNow);
  [[nodiscard]] GossipHeartbeat MakeHeartbeat(TimePoint aNow);
  void SendHeartbeat();
  void OnPeerConfirmations(TimePoint aArrivedAt,
                           const HostId& aFrom,
                           const GossipHeartbeat& aHeartbeat);
  void OnOwnConfirmation(const std::string& aTopic,
                         const EndConfirmation& aConfirmation);
  void CompareEnds(TimePoint aNow,
                   const HostId& aFrom,
                   const GossipHeartbeat& aHeartbeat);
  void CatchUp(TimePoint aNow);
  TopicReader MakeReader(const std::string& aTopic,
                         void (Gateway::*aOnRecord)(const KeyedRecord&),
                         std::size_t aMaxBytes);
  [[nodiscard]] TopicReader& ReaderOf(const std::string& aTopic);
  [[nodiscard]] const TopicReader& ReaderOf(const std::string& aTopic) const;
  /** Returns the datagrams with the records from aHave to the end of what this
      daemon has read. */
  [[nodiscard]] const std::vector<TopicRelay>& RelaysSince(
    const std::string& aTopic,
    StorePosition aHave);
  /** Sends the records from aFrom on to the peers if this daemon relays the
      topic. */
  void RelayRecords(const std::string& aTopic, Offset aFrom);
  void OnTopicRequest(const HostId& aFrom, const TopicRequest& aRequest);
  void OnRelay(const HostId& aFrom, const TopicRelay& aRelay);
  void ChooseReaders(TimePoint aNow);
  [[nodiscard]] ReaderTimes ReaderTimesFor(const std::string& aTopic) const;
  void FollowOrPause(TimePoint aNow,
                     const std::string& aTopic,
                     const ReadDecision& aStep);
  [[nodiscard]] bool RelaysTopic(const std::string& aTopic) const;
  [[nodiscard]] bool RelaysAnyTopic() const;
  void OnStopTick();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::string Metrics() const;

  GatewaySettings m_settings;
  GatewayProtocol m_protocol;
  EventLoop m_loop;
  EventLog m_log;
  EndpointDirectory m_directory;
  EndpointLiveness m_liveness;
  RequestEngine m_engine;
  Gossip m_gossip;
  Ownership m_ownership;
  HostRegistry m_registry;
  TopicReader m_configReader;
  TopicReader m_endpointReader;
  TcpListener m_callers;
  HttpServer m_ready;
  HttpServer m_metrics;
  Timer m_heartbeatTimer;
  Timer m_stopTimer;
  Timer m_directoryTimer;
  Timer m_catchUpTimer;
  Timer m_readersTimer;
  std::uint64_t m_configVersion = 0;
  VersionHistory m_versions;
  /** Decides whether the configuration that is read at the start is as new as
      the peers'. */
  StartConfig m_startConfig;
  /** A configuration that is not in force, because peers may have a later
      one. */
  std::optional<ReadConfig> m_heldConfig;
  /** When this daemon learned of its peers. */
  std::optional<TimePoint> m_peersKnownAt;
  /** Source of the records that are being applied: "store" or the name of a
      peer. */
  std::string m_recordSource = "store";
  /** Times of the last rate-limited log lines, by event and topic. */
  std::map<std::string, TimePoint> m_writtenAt;
  FleetSize m_fleet;
  unsigned m_followerTicks = 0;
  ReaderRole m_readerRole;
  /** Estimates when the datagrams that are being read arrived. */
  ArrivalClock m_arrivals;
  bool m_storeWorks = false;
  TimePoint m_storeConfirmedAt{};
  TimePoint m_probedAt{};
  OutageWatch m_outages;
  /** Latest known era of the store. */
  StoreEra m_storeEra = 0;
  /** When that era began, as far as this daemon knows. Empty if it began before
      this daemon read the store. */
  std::optional<TimePoint> m_eraBeganAt;
  bool m_endpointsQueued = false;
  /** Evacuated zones whose last range has moved. */
  std::set<std::string> m_emptyZones;
  /** Zones whose evacuation is missing in a store that was just restored. */
  std::map<std::string, KeyedRecord> m_zoneReturns;
  TimePoint m_startedAt = BootClock::now();
  bool m_stopping = false;
  TimePoint m_stopBegan{};
  /** State of a followed topic: who reads it from the store, and how its
      records reach the other daemons. */
  struct TopicState
  {
    TopicCatchUp m_catchUp;
    ReadSchedule m_readSchedule;
    /** Last confirmation of the topic's end that this daemon got from the
        store. */
    EndConfirmation m_ownConfirmation;
    /** Batches that were last relayed or requested, split into datagrams. */
    std::deque<std::vector<TopicRelay>> m_relays;
    /** When this daemon last read records from the store that peers already
        have. */
    TimePoint m_refreshedAt{};
  };
  std::map<std::string, TopicState> m_topicStates;
  /** Limits the bandwidth of the records that peers request. */
  ByteRateLimiter m_relayCredit;
};

} // namespace sapphirehook

#endif
