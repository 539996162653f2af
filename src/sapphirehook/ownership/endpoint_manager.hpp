#ifndef SAPPHIREHOOK_OWNERSHIP_ENDPOINT_MANAGER_HPP
#define SAPPHIREHOOK_OWNERSHIP_ENDPOINT_MANAGER_HPP

#include "sapphirehook/ownership/append_queue.hpp"
#include "sapphirehook/ownership/directory.hpp"
#include "sapphirehook/ownership/endpoint_lease.hpp"
#include "sapphirehook/ownership/group_manager.hpp"

namespace sapphirehook {

/** A request that an endpoint runs for this dispatcher. */
struct RunningRequest
{
  std::string m_key;
  std::uint64_t m_partition = 0;
  /** Moment after which the endpoint no longer works on it. */
  TimePoint m_deadline{};
};

/** What the dispatcher may do with an endpoint at present. */
struct EndpointStanding
{
  /** Requests may be sent up to this moment; the epoch when none may be. */
  TimePoint m_usableUntil{};
  FencingToken m_token;
  /** Requests that an earlier dispatcher has left running. */
  std::size_t m_foreignRunning = 0;
};

/** Leases, grants, losses and releases of the endpoints whose dispatcher this
    daemon is. */
class EndpointManager
{
public:
  EndpointManager(NodeConfig aConfig, std::shared_ptr<AppendQueue> aAppends);

  /** Records the answer to a lease call. */
  void OnAnswer(TimePoint aNow,
                const std::string& aEndpoint,
                const LeaseCall& aCall,
                const LeaseAnswer& aAnswer);

  /** Records that a lease call was not answered. */
  void OnFailure(TimePoint aNow,
                 const std::string& aEndpoint,
                 const LeaseCall& aCall);

  /** Records that a request has been handed over for sending. */
  void OnStarted(const std::string& aEndpoint,
                 std::uint64_t aRequest,
                 RunningRequest aRunning);

  /** Records that a request has ended. aAnswered tells whether the endpoint
      has answered it in full; otherwise it may still be working on it. */
  void OnEnded(const std::string& aEndpoint,
               std::uint64_t aRequest,
               bool aAnswered);

  /** Does what is due. */
  void OnTick(TimePoint aNow,
              const ClusterState& aState,
              const Directory& aDirectory,
              const GroupManager& aGroups,
              Actions& aActions);

  /** Returns what may be done with an endpoint. */
  [[nodiscard]] EndpointStanding StandingOf(const ClusterState& aState,
                                            const GroupManager& aGroups,
                                            const std::string& aEndpoint) const;

  /** Returns whether an endpoint has accepted a grant of a partition. */
  [[nodiscard]] bool Holds(const std::string& aEndpoint,
                           std::uint64_t aPartition) const;

private:
  struct Led
  {
    GroupId m_group;
    Term m_term = 0;
    EndpointLease m_lease;
    bool m_checksGrants = true;
    /** Requests that this dispatcher does not know as running may run at an
        endpoint that checks no grants up to this moment. */
    TimePoint m_foreignUntil{};
    /** The endpoint runs no request but those known here. */
    bool m_foreignClear = false;
    /** State of the directory that the grant was computed from. */
    std::uint64_t m_stamp = 0;
    Version m_layout = 0;
    /** Partitions of the newest grant, in ascending order. */
    std::vector<std::uint64_t> m_wanted;
    std::vector<std::uint64_t> m_accepted;
    std::vector<std::string> m_keys;
    bool m_dirty = true;
    /** Partitions of older layouts are still in use. */
    bool m_keeping = false;
  };

  using RunningMap = std::map<std::uint64_t, RunningRequest>;

  void FindLed(TimePoint aNow,
               const ClusterState& aState,
               const GroupManager& aGroups);
  [[nodiscard]] Led MakeLed(TimePoint aNow,
                            const EndpointState& aEndpoint,
                            const ClusterState& aState,
                            const GroupId& aId,
                            const Group& aGroup) const;
  void RefreshGrant(const ClusterState& aState,
                    const Directory& aDirectory,
                    const std::string& aName,
                    const EndpointState& aEndpoint,
                    Led& aLed);
  [[nodiscard]] std::vector<std::uint64_t> Kept(const ClusterState& aState,
                                                const Directory& aDirectory,
                                                const std::string& aName,
                                                const EndpointState& aEndpoint,
                                                const Led& aLed) const;
  /** Changes of a group's endpoints that are due, to be appended as one
      record of each kind. */
  struct Changes
  {
    Term m_term = 0;
    std::vector<std::string> m_up;
    std::vector<std::string> m_down;
    std::vector<std::string> m_draining;
    std::vector<LayoutAck> m_acks;
  };

  void KeepUp(TimePoint aNow,
              const std::string& aName,
              const EndpointState& aEndpoint,
              Led& aLed,
              Changes& aChanges);
  void KeepDown(TimePoint aNow,
                const std::string& aName,
                const EndpointState& aEndpoint,
                Led& aLed,
                Changes& aChanges);
  /** Adds the changes that are due for one endpoint. */
  void Collect(TimePoint aNow,
               const ClusterState& aState,
               const Directory& aDirectory,
               const std::string& aName,
               const EndpointState& aEndpoint,
               Led& aLed,
               std::map<GroupId, Changes>& aChanges);
  void AppendChanges(const GroupId& aGroup,
                     Changes aChanges,
                     Actions& aActions);
  [[nodiscard]] bool HoldsNothing(TimePoint aNow,
                                  const std::string& aName,
                                  const Led& aLed) const;
  void CollectRelease(TimePoint aNow,
                      const ClusterState& aState,
                      const Directory& aDirectory,
                      const std::string& aName,
                      const EndpointState& aEndpoint,
                      const Led& aLed,
                      std::vector<LayoutAck>& aAcks) const;
  void Call(TimePoint aNow,
            TimePoint aAuthorityUntil,
            const std::string& aName,
            const EndpointState& aEndpoint,
            Led& aLed,
            Actions& aActions);

  NodeConfig m_config;
  std::shared_ptr<AppendQueue> m_appends;
  std::map<std::string, Led> m_led;
  std::map<std::string, RunningMap> m_running;
  /** Endpoints whose loss has been handed over to the log. */
  std::set<std::string> m_givenUp;
  Offset m_foundAt = 0;
  std::uint64_t m_foundFor = 0;
};

} // namespace sapphirehook

#endif
