#ifndef SAPPHIREHOOK_OWNERSHIP_COORDINATOR_HPP
#define SAPPHIREHOOK_OWNERSHIP_COORDINATOR_HPP

#include "sapphirehook/core/error.hpp"
#include "sapphirehook/ownership/endpoint_manager.hpp"

#include <deque>

namespace sapphirehook {

/** Where the request for a key is to go. */
struct RouteDecision
{
  /** Set when the request cannot be sent anywhere at present. */
  std::optional<ErrorKind> m_refusal;
  std::string m_endpoint;
  PartitionId m_partition;
  GroupId m_group;
  HostId m_dispatcher;
  std::string m_dispatcherAddress;
  /** This daemon is the dispatcher. */
  bool m_local = false;
};

/** The ownership decisions of one daemon: folds the log, takes its part in
    groups, leads endpoints, passes tickets on and writes snapshots. It takes
    events with the time at which they happened and returns actions; it does
    no input or output and reads no clock. */
class Coordinator
{
public:
  explicit Coordinator(NodeConfig aConfig);

  /** Folds a record of the state stream. aFirstAvailable tells the oldest
      offset that the log still has. */
  void OnRecord(TimePoint aNow, Offset aOffset, const std::string& aBytes);

  /** Notes that the log no longer has records before an offset. Returns
      whether records were missed, so that a snapshot is needed. */
  bool OnTrimmed(Offset aFirst);

  /** Takes a ticket of the operators' stream. */
  void OnTicket(TimePoint aNow, Offset aOffset, std::string aText);

  /** Records whether the log could be read just now. */
  void OnLogStatus(TimePoint aNow, bool aReadable);

  /** Takes the platform's list of hosts. */
  void OnHostList(std::vector<ListedHost> aHosts);

  /** Answers a daemon's heartbeat. */
  [[nodiscard]] std::optional<HeartbeatAnswer> OnHeartbeat(
    TimePoint aNow,
    const Heartbeat& aHeartbeat);

  /** Takes the answer to an own heartbeat, sent to an address. */
  void OnHeartbeatAnswer(TimePoint aNow,
                         const std::string& aAddress,
                         const HeartbeatAnswer& aAnswer);

  /** Answers a daemon that asks for records. */
  [[nodiscard]] FetchAnswer OnFetch(const FetchRequest& aRequest) const;

  /** Takes records that a daemon has sent. */
  void OnFetchAnswer(TimePoint aNow, const FetchAnswer& aAnswer);

  /** Takes the answer to a lease call. */
  void OnLeaseAnswer(TimePoint aNow,
                     const std::string& aEndpoint,
                     const LeaseCall& aCall,
                     const LeaseAnswer& aAnswer);

  /** Notes that a lease call was not answered. */
  void OnLeaseFailure(TimePoint aNow,
                      const std::string& aEndpoint,
                      const LeaseCall& aCall);

  /** Notes a request that is handed over for sending to an endpoint. */
  void OnRequestStarted(const std::string& aEndpoint,
                        std::uint64_t aRequest,
                        RunningRequest aRunning);

  /** Notes that a request has ended; aAnswered tells whether the endpoint has
      answered it in full. */
  void OnRequestEnded(const std::string& aEndpoint,
                      std::uint64_t aRequest,
                      bool aAnswered);

  /** Does what is due; called every few milliseconds. */
  void OnTick(TimePoint aNow);

  /** Starts a planned stop. */
  void BeginStop() noexcept;

  /** Returns whether every role has been handed over and every record read. */
  [[nodiscard]] bool IsDrained() const;

  /** Removes and returns the actions decided since the last call. */
  [[nodiscard]] Actions TakeActions();

  /** Returns where the request for a key is to go. */
  [[nodiscard]] RouteDecision Route(TimePoint aNow,
                                    const std::string& aService,
                                    std::string_view aKey) const;

  /** Returns what may be done with an endpoint that this daemon leads. */
  [[nodiscard]] EndpointStanding StandingOf(const std::string& aEndpoint) const;

  /** Returns whether an endpoint has accepted a grant of a partition. */
  [[nodiscard]] bool Holds(const std::string& aEndpoint,
                           PartitionId aPartition) const;

  /** Returns whether the state is too old to answer callers by. */
  [[nodiscard]] bool IsStale(TimePoint aNow) const;

  [[nodiscard]] const ClusterState& State() const noexcept { return m_state; }
  [[nodiscard]] const Directory& Owners() const noexcept { return m_directory; }
  [[nodiscard]] const GroupManager& Groups() const noexcept { return m_groups; }
  [[nodiscard]] bool IsLogReadable() const noexcept { return m_logReadable; }
  [[nodiscard]] std::uint64_t IgnoredRecords() const noexcept
  {
    return m_ignored;
  }

private:
  struct PendingTicket
  {
    std::string m_text;
    TimePoint m_since{};
  };

  void Fold(TimePoint aNow, Offset aOffset, const std::string& aBytes);
  void TakeSnapshot(TimePoint aNow,
                    Offset aOffset,
                    const SnapshotRecord& aSnapshot);
  void Install(TimePoint aNow, ClusterState aState);
  void AfterFold(TimePoint aNow);
  void Note(const Record& aRecord, Offset aOffset, const absl::Status& aStatus);
  void KeepJoined();
  void KeepLeaving();
  void RelayTickets(TimePoint aNow);
  void KeepSnapshots(TimePoint aNow);
  void AskPeers(TimePoint aNow);
  [[nodiscard]] Millis Stagger(std::uint64_t aItem) const;

  NodeConfig m_config;
  ClusterState m_state;
  Directory m_directory;
  std::shared_ptr<AppendQueue> m_appends;
  GroupManager m_groups;
  EndpointManager m_endpoints;
  Actions m_actions;
  /** Newest records as read, for daemons that cannot read the log. */
  std::deque<FetchedRecord> m_recent;
  /** Records read before a usable snapshot was found. */
  std::deque<FetchedRecord> m_beforeSnapshot;
  bool m_needsSnapshot = false;
  Offset m_firstAvailable = 0;
  std::map<Offset, PendingTicket> m_tickets;
  bool m_logReadable = false;
  bool m_started = false;
  bool m_stopping = false;
  TimePoint m_lastFresh{};
  TimePoint m_snapshotSeen{};
  TimePoint m_nextAsk{};
  std::size_t m_nextSeed = 0;
  std::uint64_t m_ignored = 0;
};

} // namespace sapphirehook

#endif
