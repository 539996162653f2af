#ifndef SAPPHIREHOOK_GATEWAY_GATEWAY_HPP
#define SAPPHIREHOOK_GATEWAY_GATEWAY_HPP

#include "sapphirehook/gateway/host_registry.hpp"
#include "sapphirehook/gateway/ownership.hpp"
#include "sapphirehook/gateway/settings.hpp"
#include "sapphirehook/gossip/topic_history.hpp"
#include "sapphirehook/http1/server.hpp"
#include "sapphirehook/store/outage_watch.hpp"

#include <absl/status/status.h>
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
  void OnReadTrouble(const std::string& aTopic, const ReadTrouble& aTrouble);
  /** Writes a line of an event that may repeat, at most once a second for each
      event and topic. */
  void WriteSparsely(const std::string& aTopic, const LogLine& aLine);
  void OnStoreWorks(std::string_view aTopic);
  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage);
  void TakeUse(TimePoint aNow, const HostId& aFrom, const Beat& aBeat);
  void SendBeat();
  void CompareEnds(const Beat& aBeat);
  TopicReader MakeReader(const std::string& aTopic,
                         void (Gateway::*aOnRecord)(const KeyedRecord&));
  void HelpBehind(TimePoint aNow, const HostId& aFrom, const Beat& aBeat);
  void RelayBatch(const TopicBatch& aBatch);
  void OnRelay(const HostId& aFrom, const TopicRelay& aRelay);
  void ChooseReaders(TimePoint aNow);
  [[nodiscard]] bool RelaysBatches(TimePoint aNow) const;
  void OnStopTick();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsLargeFleet() const noexcept;
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
  std::uint64_t m_configVersion = 0;
  /** Who gave the records that are being taken in: the store or a peer. */
  std::string m_recordsFrom = "store";
  /** When lines that may repeat were last written. */
  std::map<std::string, TimePoint> m_writtenAt;
  std::size_t m_daemons = 1;
  unsigned m_beats = 0;
  bool m_storeWorks = false;
  TimePoint m_storeProvenAt{};
  /** When each followed topic was last read to its end. */
  std::map<std::string, TimePoint> m_readAt;
  TimePoint m_probedAt{};
  OutageWatch m_outages;
  bool m_endpointsQueued = false;
  bool m_stopping = false;
  TimePoint m_stopBegan{};
  BatchAssembler m_batches;
  /** What was lately read of each topic, for peers without the store. */
  std::map<std::string, TopicHistory> m_histories;
  /** When a daemon that passes records on was last heard of, and the leader as
      one that does. */
  TimePoint m_relayHeardAt{};
  TimePoint m_leaderRelaysAt{};
  /** Since when a peer has been ahead of this daemon in a topic. */
  std::map<std::string, TimePoint> m_behindSince;
};

} // namespace sapphirehook

#endif
