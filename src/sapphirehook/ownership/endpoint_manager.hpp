#ifndef SAPPHIREHOOK_OWNERSHIP_ENDPOINT_MANAGER_HPP
#define SAPPHIREHOOK_OWNERSHIP_ENDPOINT_MANAGER_HPP

#include "sapphirehook/ownership/append_queue.hpp"
#include "sapphirehook/ownership/directory.hpp"
#include "sapphirehook/ownership/endpoint_lease.hpp"
#include "sapphirehook/ownership/group_manager.hpp"

namespace sapphirehook {

/** A request of this dispatcher that an endpoint is running. */
struct RunningRequest
{
  std::string m_key;
  std::uint64_t m_partition = 0;
  /** Time after which the endpoint no longer runs the request. */
  TimePoint m_deadline{};
};

/** Whether and until when the dispatcher may send requests to an endpoint. */
struct EndpointAvailability
{
  /** Requests may be sent until this time; the epoch if none may be sent. */
  TimePoint m_usableUntil{};
  FencingToken m_token;
  /** Number of running requests that this dispatcher does not track, such as
      those sent by an earlier dispatcher. */
  std::size_t m_untrackedRunning = 0;
};

/** Manages the endpoints whose dispatcher this daemon is: their leases, grants,
    failures and releases. */
class EndpointManager
{
public:
  EndpointManager(NodeConfig aConfig, std::shared_ptr<AppendQueue> aAppends);

  /** Handles the answer to a lease call. */
  void OnAnswer(TimePoint aNow,
                const std::string& aEndpoint,
                const LeaseCall& aCall,
                const LeaseAnswer& aAnswer);

  /** Handles a lease call that failed or timed out. */
  void OnFailure(TimePoint aNow,
                 const std::string& aEndpoint,
                 const LeaseCall& aCall);

  /** Records a request that is about to be sent. */
  void OnStarted(const std::string& aEndpoint,
                 std::uint64_t aRequest,
                 RunningRequest aRunning);

  /** Records the end of a request. aAnswered is true if the endpoint
      answered it completely; otherwise the endpoint may still be running it. */
  void OnEnded(const std::string& aEndpoint,
               std::uint64_t aRequest,
               bool aAnswered);

  /** Renews the leases that are due and appends changes of endpoints. */
  void OnTick(TimePoint aNow,
              const ClusterState& aState,
              const Directory& aDirectory,
              const GroupManager& aGroups,
              Actions& aActions);

  /** Returns the availability of an endpoint. */
  [[nodiscard]] EndpointAvailability AvailabilityOf(
    const ClusterState& aState,
    const GroupManager& aGroups,
    const std::string& aEndpoint) const;

  /** Returns whether an endpoint has accepted a grant that contains a
      partition. */
  [[nodiscard]] bool HasAcceptedGrant(const std::string& aEndpoint,
                                      std::uint64_t aPartition) const;

private:
  struct Led
  {
    GroupId m_group;
    Term m_term = 0;
    EndpointLease m_lease;
    bool m_checksGrants = true;
    /** Latest deadline of requests that this dispatcher does not track,
        which an endpoint that checks no grants may run until then. */
    TimePoint m_untrackedUntil{};
    /** The endpoint runs only requests that this dispatcher tracks. */
    bool m_untrackedEnded = false;
    /** Directory::StampOf() value from which the grant was computed. */
    std::uint64_t m_stamp = 0;
    Version m_layout = 0;
    /** Packed partitions of the newest grant, in ascending order. */
    std::vector<std::uint64_t> m_granted;
    std::vector<std::uint64_t> m_accepted;
    std::vector<std::string> m_keys;
    bool m_dirty = true;
    /** The grant contains partitions of older layouts that are still in use. */
    bool m_hasKeptPartitions = false;
  };

  using RunningMap = std::map<std::uint64_t, RunningRequest>;

  void UpdateLedEndpoints(TimePoint aNow,
                          const ClusterState& aState,
                          const GroupManager& aGroups);
  [[nodiscard]] Led MakeLedEndpoint(TimePoint aNow,
                                    const EndpointState& aEndpoint,
                                    const ClusterState& aState,
                                    const GroupId& aId,
                                    const Group& aGroup) const;
  void RefreshGrant(const ClusterState& aState,
                    const Directory& aDirectory,
                    const std::string& aName,
                    const EndpointState& aEndpoint,
                    Led& aLed);
  [[nodiscard]] std::vector<std::uint64_t> KeptPartitions(
    const ClusterState& aState,
    const Directory& aDirectory,
    const std::string& aName,
    const EndpointState& aEndpoint,
    const Led& aLed) const;
  /** Due changes of a group's endpoints. One record of each kind is
      appended. */
  struct Changes
  {
    Term m_term = 0;
    std::vector<std::string> m_up;
    std::vector<std::string> m_down;
    std::vector<std::string> m_draining;
    std::vector<LayoutAck> m_acks;
  };

  void CheckUpEndpoint(TimePoint aNow,
                       const std::string& aName,
                       const EndpointState& aEndpoint,
                       Led& aLed,
                       Changes& aChanges);
  void CheckDownEndpoint(TimePoint aNow,
                         const std::string& aName,
                         const EndpointState& aEndpoint,
                         Led& aLed,
                         Changes& aChanges);
  /** Adds the due changes of one endpoint. */
  void CollectChanges(TimePoint aNow,
                      const ClusterState& aState,
                      const Directory& aDirectory,
                      const std::string& aName,
                      const EndpointState& aEndpoint,
                      Led& aLed,
                      std::map<GroupId, Changes>& aChanges);
  void AppendChanges(const GroupId& aGroup,
                     Changes aChanges,
                     Actions& aActions);
  [[nodiscard]] bool HoldsNoPartition(TimePoint aNow,
                                      const std::string& aName,
                                      const Led& aLed) const;
  void CollectRelease(TimePoint aNow,
                      const ClusterState& aState,
                      const Directory& aDirectory,
                      const std::string& aName,
                      const EndpointState& aEndpoint,
                      const Led& aLed,
                      std::vector<LayoutAck>& aAcks) const;
  void SendLeaseCall(TimePoint aNow,
                     TimePoint aAuthorityUntil,
                     const std::string& aName,
                     const EndpointState& aEndpoint,
                     Led& aLed,
                     Actions& aActions);

  NodeConfig m_config;
  std::shared_ptr<AppendQueue> m_appends;
  std::map<std::string, Led> m_ledEndpoints;
  std::map<std::string, RunningMap> m_running;
  /** Endpoints whose loss has been submitted to the log. */
  std::set<std::string> m_reportedLost;
  Offset m_scannedOffset = 0;
  std::uint64_t m_scannedAuthority = 0;
};

} // namespace sapphirehook

#endif
