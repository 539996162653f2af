#ifndef SAPPHIREHOOK_GATEWAY_OWNERSHIP_HPP
#define SAPPHIREHOOK_GATEWAY_OWNERSHIP_HPP

#include "sapphirehook/core/event_log.hpp"
#include "sapphirehook/gateway/endpoint_orders.hpp"
#include "sapphirehook/gateway/map_exchange.hpp"
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
  LeadershipTimes m_leadership;
  RangeManagerTimes m_keeper;
  /** What a leader may send of its maps when asked, in bytes a second. */
  double m_mapBytesPerSecond = 0.0;
};

/** This daemon's part in key ownership: as the leader it gives ranges to
    endpoints and tells all daemons where they are; as a follower it learns
    that, and takes over when the leader is lost. */
class Ownership
{
public:
  Ownership(EventLoop& aLoop,
            const GatewayProtocol& aProtocol,
            EventLog& aLog,
            OwnershipSettings aSettings,
            Gossip& aGossip,
            RequestEngine& aEngine,
            const EndpointDirectory& aDirectory);
  ~Ownership();

  /** Tells that the configuration or the endpoints have changed. */
  void OnChange();

  /** Tells whether the store serves this daemon. */
  void SetStoreWorks(bool aWorks) noexcept
  {
    m_leadership.SetStoreWorks(BootClock::now(), aWorks);
  }

  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage);

  /** Fills in what the beats say of leadership. */
  void FillBeat(GossipHeartbeat& aBeat) const;

  /** Sends the leader the counts of keys. */
  void ReportKeys();

  /** An endpoint refused a key that it holds by this daemon's map. */
  void OnMisdirected(const std::string& aService, Key aKey);

  /** Steps down, so that another daemon can take over at once. */
  void Resign();

  /** From now on this daemon never claims, and steps down as soon as another
      can take over. */
  void BeginStop();

  /** A host is registered. */
  void OnHost(const std::string& aHost, double aProcessorShare)
  {
    m_leadership.OnHost(aHost, aProcessorShare);
  }

  /** Called when this daemon begins to lead. */
  std::function<void()> m_onLeads;

  /** Returns when the list of endpoints was last read to its end; when that is
      before the given time, it is read anew. */
  std::function<TimePoint(TimePoint aWanted)> m_listReadAt;

  /** Called when the store did not serve a claim. */
  std::function<void(StoreAnswer)> m_onStoreTrouble;

  [[nodiscard]] bool Leads() const noexcept { return m_leadership.Leads(); }
  [[nodiscard]] TimePoint LedSince() const noexcept
  {
    return m_leadership.LedSince();
  }

  /** The leader last heard of; empty when it has been silent. */
  [[nodiscard]] std::optional<HostId> Leader(TimePoint aNow) const
  {
    return m_leadership.Leader(aNow);
  }

  /** Place of a daemon among those that the leader has named to claim after it;
      the first is 0. */
  [[nodiscard]] std::optional<std::size_t> SuccessorPlace(
    const std::string& aHost) const
  {
    return m_leadership.SuccessorPlace(aHost);
  }

  /** Place of this daemon among those that read when the leader does not. */
  [[nodiscard]] std::optional<std::size_t> ReadingPlace(TimePoint aNow) const
  {
    return m_leadership.ReadingPlace(aNow);
  }

  /** Whether this daemon knows where the keys of all keyed services are. */
  [[nodiscard]] bool KnowsMaps() const;

private:
  /** The leader's work on one keyed service. */
  struct Led
  {
    Led(RangeManagerTimes aTimes, Fence aFence, TimePoint aPreviousGrantsExpiry)
      : m_keeper(aTimes, aFence, aPreviousGrantsExpiry)
      , m_planner(PlannerConfig{})
    {
    }

    RangeManager m_keeper;
    RangePlanner m_planner;
  };

  void Tick();
  void TickSoon();
  void TickLed();
  void CarryOut(TimePoint aNow,
                const std::string& aName,
                Led& aLed,
                const RangeManagerActions& aActions);
  void Plan();
  void TryClaim();
  void OnNewest(const KeyedPage& aPage);
  void Claim(Offset aEnd);
  void OnClaimAppend(const AppendOutcome& aOutcome);
  void BeginLeading();
  void StepDown(std::string_view aWhy);
  void StoreChanges();
  void Append();
  void OnAppend(const AppendOutcome& aOutcome);
  void Settle();
  void OnSettled(const KeyedPage& aPage);
  void OnAppended(Offset aEnd);
  void OnOwnRecord(const KeyedRecord& aRecord);
  void SyncServices(TimePoint aNow);
  /** Whether a service's keys may be dealt out: they have been before, or its
      first endpoints have had the time to appear. */
  [[nodiscard]] bool CanBegin(TimePoint aNow, const std::string& aService);
  std::vector<RangeManagerEndpoint> KeeperEndpoints(
    TimePoint aNow,
    const std::string& aService);
  EndpointOrders* OrdersOf(const std::string& aEndpoint);
  void OnLeaderBeat(const HostId& aFrom, const GossipHeartbeat& aBeat);
  [[nodiscard]] std::set<std::string> KeyedServices() const;

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EventLog& m_log;
  OwnershipSettings m_settings;
  Gossip& m_gossip;
  RequestEngine& m_engine;
  const EndpointDirectory& m_directory;
  Leadership m_leadership;
  MapExchange m_maps;
  std::unique_ptr<TopicReader> m_reader;
  HttpClient m_writer;
  Timer m_timer;
  Timer m_planTimer;
  Timer m_storeTimer;
  bool m_tickQueued = false;
  /** When all ranges are looked at next. */
  TimePoint m_tickAllAt{};
  TimePoint m_tickedAt{};
  bool m_stopping = false;

  // A claim under way.
  bool m_claiming = false;
  TimePoint m_triedAt{};
  std::string m_newestAfter;
  Offset m_newestEnd = 0;
  std::map<std::string, std::string> m_stored;
  Term m_claimTerm = 0;

  // While leading.
  std::map<std::string, Led> m_led;
  std::map<std::string, std::unique_ptr<EndpointOrders>> m_orders;
  Offset m_end = 0;
  std::uint64_t m_sequence = 0;
  std::vector<KeyedRecord> m_appending;
  bool m_appendBusy = false;
  /** When the last append was sent, and when the last one had ended. */
  TimePoint m_appendSentAt{};
  TimePoint m_appendedAt{};

  /** When the first endpoint of a service was seen. */
  std::map<std::string, TimePoint> m_seenSince;
};

} // namespace sapphirehook

#endif
