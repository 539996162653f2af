#ifndef SAPPHIREHOOK_OWNERSHIP_GROUP_MANAGER_HPP
#define SAPPHIREHOOK_OWNERSHIP_GROUP_MANAGER_HPP

#include "sapphirehook/ownership/append_queue.hpp"
#include "sapphirehook/ownership/authority.hpp"
#include "sapphirehook/ownership/contacts.hpp"
#include "sapphirehook/ownership/node_config.hpp"

#include <memory>
#include <optional>

namespace sapphirehook {

/** An entry of the platform's host list. */
struct ListedHost
{
  std::string m_host;
  /** True if the list reports that the host no longer exists. */
  bool m_gone = false;
};

/** Runs the group protocol of this daemon for all groups: heartbeats, promises,
    claims, standby changes and handovers. */
class GroupManager
{
public:
  GroupManager(NodeConfig aConfig, std::shared_ptr<AppendQueue> aAppends);

  /** Updates the roles after records have been folded into the state. */
  void OnState(TimePoint aNow, const ClusterState& aState, Actions& aActions);

  /** Handles a daemon's heartbeat and returns the answer, or nothing if the
      heartbeat was sent to another incarnation. */
  [[nodiscard]] std::optional<HeartbeatAnswer> OnHeartbeat(
    TimePoint aNow,
    const ClusterState& aState,
    const Heartbeat& aHeartbeat);

  /** Records the promises in the answer to a heartbeat of this daemon. */
  void OnHeartbeatAnswer(TimePoint aNow, const HeartbeatAnswer& aAnswer);

  /** Replaces the platform's host list. The list is used only to confirm the
      loss of an unresponsive host. */
  void OnHostList(std::vector<ListedHost> aHosts);

  /** Runs all timers that are due. */
  void OnTick(TimePoint aNow,
              const ClusterState& aState,
              bool aLogReadable,
              Actions& aActions);

  /** Starts to hand over all roles. */
  void BeginStop() noexcept
  {
    m_stopping = true;
    m_nextHandover = {};
  }

  /** Returns whether this daemon is neither dispatcher nor standby of any
      group. */
  [[nodiscard]] bool HasNoRole() const;

  /** Returns when this daemon's authority over a group expires, or the epoch if
      it has none. */
  [[nodiscard]] TimePoint AuthorityUntil(const GroupId& aGroup) const;

  /** Returns the groups whose dispatcher is this daemon. */
  [[nodiscard]] std::vector<GroupId> Led() const;

  /** Returns the number of times authority has been gained or lost. */
  [[nodiscard]] std::uint64_t AuthorityChanges() const noexcept
  {
    return m_authorityChanges;
  }

  /** Returns when this daemon read the record that made it the dispatcher of a
      group, or the epoch if it is not the dispatcher. */
  [[nodiscard]] TimePoint LedSince(const GroupId& aGroup) const;

  [[nodiscard]] const Contacts& PeerContacts() const noexcept
  {
    return m_contacts;
  }

private:
  struct Role
  {
    GroupAuthority m_authority;
    TimePoint m_viewSince{};
    TimePoint m_lastHeartbeatAt{};
    TimePoint m_termSince{};
    bool m_hadAuthority = false;
  };

  struct SentHeartbeat
  {
    HostId m_to;
    std::vector<PromiseRequest> m_requests;
  };

  Role& RoleFor(TimePoint aNow,
                const ClusterState& aState,
                const GroupId& aGroup);
  [[nodiscard]] bool IsParticipant(const Group& aGroup) const;
  [[nodiscard]] bool IsUnresponsive(TimePoint aNow,
                                    const Role& aRole,
                                    const HostId& aStandby) const;
  [[nodiscard]] bool IsGone(TimePoint aNow,
                            const ClusterState& aState,
                            const HostId& aHost) const;
  std::vector<HostId> FreshCandidates(TimePoint aNow,
                                      const ClusterState& aState,
                                      const GroupId& aGroup);
  void SendHeartbeats(TimePoint aNow,
                      const ClusterState& aState,
                      Actions& aActions);
  void SendHeartbeat(TimePoint aNow,
                     const ClusterState& aState,
                     const HostId& aTo,
                     std::vector<PromiseRequest> aRequests,
                     Actions& aActions);
  void MaintainStandbys(TimePoint aNow,
                        const ClusterState& aState,
                        const GroupId& aGroup,
                        Role& aRole,
                        Actions& aActions);
  void MonitorDispatcher(TimePoint aNow,
                         const ClusterState& aState,
                         bool aLogReadable,
                         const GroupId& aGroup,
                         Role& aRole,
                         Actions& aActions);
  void HandOver(TimePoint aNow, const ClusterState& aState, Actions& aActions);
  [[nodiscard]] std::optional<HostId> Successor(TimePoint aNow,
                                                const ClusterState& aState,
                                                const GroupId& aGroup,
                                                const Role& aRole);
  void ClaimLeaderless(TimePoint aNow,
                       const ClusterState& aState,
                       Actions& aActions);
  void RemoveLostMembers(TimePoint aNow,
                         const ClusterState& aState,
                         Actions& aActions);
  /** Returns whether a daemon's incarnation has been replaced or has left, or
      the platform's list reports its host as gone. */
  [[nodiscard]] bool IsReplaced(const ClusterState& aState,
                                const HostId& aHost) const;
  /** Updates the set of groups that may be leaderless, if a record or a host
      list has been read since the last call. */
  void FindLeaderless(const ClusterState& aState);
  void ClaimIfLeaderless(TimePoint aNow,
                         const ClusterState& aState,
                         const GroupId& aGroup,
                         std::optional<TimePoint>& aUnresponsiveSince,
                         Actions& aActions);
  void ReportAuthorityChanges(TimePoint aNow, Actions& aActions);
  [[nodiscard]] Millis StaggerOf(const ClusterState& aState,
                                 const std::string& aRegion,
                                 std::uint64_t aItem) const;

  NodeConfig m_config;
  std::shared_ptr<AppendQueue> m_appends;
  Contacts m_contacts;
  std::map<GroupId, Role> m_roles;
  std::map<std::int64_t, SentHeartbeat> m_sentHeartbeats;
  std::set<HostId> m_pingTargets;
  /** Groups that may be leaderless, with the time since which all their daemons
      have been unresponsive. */
  std::map<GroupId, std::optional<TimePoint>> m_leaderless;
  Offset m_leaderlessOffset = 0;
  bool m_listChanged = false;
  std::map<std::string, TimePoint> m_listedGone;
  std::vector<ListedHost> m_listed;
  TimePoint m_lastTick{};
  TimePoint m_nextHeartbeat{};
  TimePoint m_nextScan{};
  TimePoint m_nextHandover{};
  std::uint64_t m_round = 0;
  std::uint64_t m_authorityChanges = 0;
  bool m_stopping = false;
};

} // namespace sapphirehook

#endif
