#ifndef SAPPHIREHOOK_GATEWAY_GATEWAY_HPP
#define SAPPHIREHOOK_GATEWAY_GATEWAY_HPP

#include "sapphirehook/core/arrival_clock.hpp"
#include "sapphirehook/gateway/host_registry.hpp"
#include "sapphirehook/gateway/ownership.hpp"
#include "sapphirehook/gateway/settings.hpp"
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

/** The whole daemon of an entry host, on one event loop. */
class Gateway
{
public:
  Gateway(GatewaySettings aSettings, GatewayProtocol aProtocol);

  /** Opens all addresses. */
  [[nodiscard]] absl::Status Open();

  /** Serves until a planned stop has ended. */
  void Run();

  /** Takes in changed settings; what needs a restart is logged and kept. */
  void Reload(const absl::StatusOr<GatewaySettings>& aSettings);

  /** Begins a planned stop. */
  void Stop();

  [[nodiscard]] EventLoop& Loop() noexcept { return m_loop; }

private:
  void OnHostFound();
  void OnConfig(const KeyedRecord& aRecord);
  void OnEndpoint(const KeyedRecord& aRecord);
  void OnEndpointsChanged();
  void OnStoreTrouble(std::string_view aTopic, StoreAnswer aAnswer);
  void OnReadTrouble(const std::string& aTopic, const ReadFailure& aTrouble);
  /** Writes a line of an event that may repeat, at most once a second for each
      event and topic. */
  void WriteSparsely(const std::string& aTopic, const LogLine& aLine);
  void OnStoreWorks(std::string_view aTopic);
  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage);
  void TakeUse(TimePoint aNow,
               const HostId& aFrom,
               const GossipHeartbeat& aBeat);
  void OnTick();
  void CountDaemons(TimePoint aNow);
  [[nodiscard]] GossipHeartbeat MakeBeat(TimePoint aNow);
  void SendBeat();
  void TakeProofs(TimePoint aCameAt,
                  const HostId& aFrom,
                  const GossipHeartbeat& aBeat);
  void OnOwnConfirmation(const std::string& aTopic,
                         const EndConfirmation& aConfirmation);
  void CompareEnds(TimePoint aNow,
                   const HostId& aFrom,
                   const GossipHeartbeat& aBeat);
  void CatchUp(TimePoint aNow);
  TopicReader MakeReader(const std::string& aTopic,
                         void (Gateway::*aOnRecord)(const KeyedRecord&),
                         std::size_t aMostValue);
  [[nodiscard]] TopicReader& ReaderOf(const std::string& aTopic);
  [[nodiscard]] const TopicReader& ReaderOf(const std::string& aTopic) const;
  /** Returns datagrams with what a peer misses that has read up to an offset.
   */
  [[nodiscard]] const std::vector<TopicRelay>& RelaysSince(
    const std::string& aTopic,
    Offset aHave);
  /** Passes on what was read from an offset on, if this daemon does so. */
  void RelayRecords(const std::string& aTopic, Offset aFrom);
  void OnTopicRequest(const HostId& aFrom, const TopicRequest& aRequest);
  void OnRelay(const HostId& aFrom, const TopicRelay& aRelay);
  void ChooseReaders(TimePoint aNow);
  [[nodiscard]] ReaderTimes TimesOf(const std::string& aTopic) const;
  void FollowOrPause(TimePoint aNow,
                     const std::string& aTopic,
                     const ReadDecision& aStep);
  [[nodiscard]] bool PassesOn(const std::string& aTopic) const;
  [[nodiscard]] bool PassesOnAny() const;
  void OnStopTick();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] TimePoint EndpointsReadAt(TimePoint aWanted);
  [[nodiscard]] std::string Metrics() const;

  GatewaySettings m_settings;
  GatewayProtocol m_protocol;
  EventLoop m_loop;
  EventLog m_log;
  EndpointDirectory m_directory;
  RequestEngine m_engine;
  Gossip m_gossip;
  Ownership m_ownership;
  HostRegistry m_registry;
  TopicReader m_configReader;
  TopicReader m_endpointReader;
  TcpListener m_callers;
  HttpServer m_ready;
  HttpServer m_metrics;
  Timer m_beatTimer;
  Timer m_stopTimer;
  Timer m_directoryTimer;
  Timer m_catchUpTimer;
  Timer m_readersTimer;
  std::uint64_t m_configVersion = 0;
  VersionHistory m_versions;
  /** Who gave the records that are being taken in: the store or a peer. */
  std::string m_recordsFrom = "store";
  /** When lines that may repeat were last written. */
  std::map<std::string, TimePoint> m_writtenAt;
  FleetSize m_fleet;
  unsigned m_beats = 0;
  ReaderRole m_readPlace;
  /** When datagrams came that are read now. */
  ArrivalClock m_arrivals;
  bool m_storeWorks = false;
  TimePoint m_storeConfirmedAt{};
  TimePoint m_probedAt{};
  OutageWatch m_outages;
  bool m_endpointsQueued = false;
  bool m_stopping = false;
  TimePoint m_stopBegan{};
  /** How a followed topic spreads between daemons. */
  struct TopicSpread
  {
    TopicCatchUp m_catchUp;
    ReadSchedule m_duty;
    /** What the store last told this daemon. */
    EndConfirmation m_ownProof;
    /** What was last passed on or asked for, each in its parts. */
    std::deque<std::vector<TopicRelay>> m_relays;
    /** When the store was last asked for what peers have. */
    TimePoint m_refreshedAt{};
  };
  std::map<std::string, TopicSpread> m_spreads;
  /** Limits what is sent to peers that ask. */
  ByteRateLimiter m_relayCredit;
};

} // namespace sapphirehook

#endif
