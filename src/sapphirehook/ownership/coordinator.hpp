#ifndef SAPPHIREHOOK_OWNERSHIP_COORDINATOR_HPP
#define SAPPHIREHOOK_OWNERSHIP_COORDINATOR_HPP

#include "sapphirehook/core/error.hpp"
#include "sapphirehook/ownership/endpoint_manager.hpp"

#include <deque>

namespace sapphirehook {

/** The route of a request for a key. */
struct RouteDecision
{
  /** Set if the request cannot be routed at present. */
  std::optional<ErrorKind> m_refusal;
  std::string m_endpoint;
  PartitionId m_partition;
  GroupId m_group;
  HostId m_dispatcher;
  std::string m_dispatcherAddress;
  /** True if this daemon is the dispatcher. */
  bool m_local = false;
};

/** The ownership logic of one daemon: folds the log, participates in groups,
    manages the endpoints that the daemon leads, relays tickets and writes
    snapshots. Its inputs are events with their timestamps, its outputs are
    actions; it performs no I/O and reads no clock. */
class Coordinator
{
public:
  explicit Coordinator(NodeConfig aConfig);

  /** Folds a record of the state stream. While a snapshot is needed, buffers
      the record until a usable snapshot has been read. */
  void OnRecord(TimePoint aNow, Offset aOffset, const std::string& aBytes);

  /** Records the first offset that the log still has after a trim. Returns
      whether unread records were removed, so that a snapshot is needed. */
  bool OnTrimmed(Offset aFirst);

  /** Adds a ticket read from the operators' stream. */
  void OnTicket(TimePoint aNow, Offset aOffset, std::string aText);

  /** Records whether the last read of the log succeeded. */
  void OnLogStatus(TimePoint aNow, bool aReadable);

  /** Replaces the list of hosts from the platform. */
  void OnHostList(std::vector<ListedHost> aHosts);

  /** Handles a daemon's heartbeat and returns the answer, or nothing if the
      heartbeat was sent to another incarnation. */
  [[nodiscard]] std::optional<HeartbeatAnswer> OnHeartbeat(
    TimePoint aNow,
    const Heartbeat& aHeartbeat);

  /** Handles the answer to a heartbeat that this daemon sent to an address. */
  void OnHeartbeatAnswer(TimePoint aNow,
                         const std::string& aAddress,
                         const HeartbeatAnswer& aAnswer);

  /** Handles a daemon's request for records. The answer starts with a snapshot
      of the state if the requested records are no longer kept. */
  [[nodiscard]] FetchAnswer OnFetch(const FetchRequest& aRequest) const;

  /** Applies the records in a daemon's answer. */
  void OnFetchAnswer(TimePoint aNow, const FetchAnswer& aAnswer);

  /** Handles the answer to a lease call. */
  void OnLeaseAnswer(TimePoint aNow,
                     const std::string& aEndpoint,
                     const LeaseCall& aCall,
                     const LeaseAnswer& aAnswer);

  /** Handles a lease call that failed or timed out. */
  void OnLeaseFailure(TimePoint aNow,
                      const std::string& aEndpoint,
                      const LeaseCall& aCall);

  /** Records a request that is about to be sent to an endpoint. */
  void OnRequestStarted(const std::string& aEndpoint,
                        std::uint64_t aRequest,
                        RunningRequest aRunning);

  /** Records the end of a request. aAnswered is true if the endpoint answered
      it completely. */
  void OnRequestEnded(const std::string& aEndpoint,
                      std::uint64_t aRequest,
                      bool aAnswered);

  /** Runs all timers that are due. The event loop calls this every few
      milliseconds. */
  void OnTick(TimePoint aNow);

  /** Starts a graceful shutdown. */
  void BeginStop() noexcept;

  /** Returns whether the shutdown is complete: all roles are handed over, this
      daemon is no longer a member, and all its records have been read back. */
  [[nodiscard]] bool IsDrained() const;

  /** Removes and returns the actions queued since the last call. */
  [[nodiscard]] Actions TakeActions();

  /** Returns the route of a request for a key. */
  [[nodiscard]] RouteDecision Route(TimePoint aNow,
                                    const std::string& aService,
                                    std::string_view aKey) const;

  /** Returns the availability of an endpoint that this daemon leads. */
  [[nodiscard]] EndpointAvailability AvailabilityOf(
    const std::string& aEndpoint) const;

  /** Returns whether an endpoint has accepted a grant that contains a
      partition. */
  [[nodiscard]] bool HasAcceptedGrant(const std::string& aEndpoint,
                                      PartitionId aPartition) const;

  /** Returns whether the state is too old to route requests. */
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
  void LoadSnapshot(TimePoint aNow,
                    Offset aOffset,
                    const SnapshotRecord& aSnapshot);
  void InstallState(TimePoint aNow, ClusterState aState);
  void AfterFold(TimePoint aNow);
  void AddRecordEvent(const Record& aRecord,
                      Offset aOffset,
                      const absl::Status& aStatus);
  void JoinIfMissing();
  void LeaveIfDrained();
  void RelayTickets(TimePoint aNow);
  void WriteSnapshotIfDue(TimePoint aNow);
  void FetchFromSeed(TimePoint aNow);
  [[nodiscard]] Millis Stagger(std::uint64_t aItem) const;

  NodeConfig m_config;
  ClusterState m_state;
  Directory m_directory;
  std::shared_ptr<AppendQueue> m_appends;
  GroupManager m_groups;
  EndpointManager m_endpoints;
  Actions m_actions;
  /** The newest encoded records, for daemons that cannot read the log. */
  std::deque<FetchedRecord> m_recentRecords;
  /** Records read while no usable snapshot has been found. */
  std::deque<FetchedRecord> m_unappliedRecords;
  bool m_needsSnapshot = false;
  Offset m_firstAvailable = 0;
  std::map<Offset, PendingTicket> m_tickets;
  bool m_logReadable = false;
  bool m_started = false;
  bool m_stopping = false;
  TimePoint m_lastRefresh{};
  TimePoint m_lastSnapshotAt{};
  TimePoint m_nextFetch{};
  std::size_t m_nextSeed = 0;
  std::uint64_t m_ignored = 0;
};

} // namespace sapphirehook

#endif
