#ifndef SAPPHIREHOOK_OWNERSHIP_GROUP_MANAGER_HPP
#define SAPPHIREHOOK_OWNERSHIP_GROUP_MANAGER_HPP

#include "sapphirehook/ownership/append_queue.hpp"
#include "sapphirehook/ownership/authority.hpp"
#include "sapphirehook/ownership/contacts.hpp"
#include "sapphirehook/ownership/node_config.hpp"

#include <memory>
#include <optional>

namespace sapphirehook {

/** A host as the platform's list shows it. */
struct ListedHost
{
  std::string m_host;
  /** True when the list says that the host no longer exists. */
  bool m_gone = false;
};

/** This daemon's part in every group: heartbeats, promises, claims, changes
    of standbys and handovers. */
class GroupManager
{
public:
  GroupManager(NodeConfig aConfig, std::shared_ptr<AppendQueue> aAppends);

  /** Takes over the groups after records have been folded. */
  void OnState(TimePoint aNow, const ClusterState& aState, Actions& aActions);

  /** Answers a daemon's heartbeat, or returns nothing when it was meant for
      another incarnation. */
  [[nodiscard]] std::optional<HeartbeatAnswer> OnHeartbeat(
    TimePoint aNow,
    const ClusterState& aState,
    const Heartbeat& aHeartbeat);

  /** Records the promises in the answer to an own heartbeat. */
  void OnHeartbeatAnswer(TimePoint aNow, const HeartbeatAnswer& aAnswer);

  /** Takes over the platform's list, which only ever confirms a loss. */
  void OnHostList(std::vector<ListedHost> aHosts);

  /** Does what is due. */
  void OnTick(TimePoint aNow,
              const ClusterState& aState,
              bool aLogReadable,
              Actions& aActions);

  /** Starts to hand every role over. */
  void BeginStop() noexcept
  {
    m_stopping = true;
    m_nextHandover = {};
  }

  /** Returns whether this daemon has no role left. */
  [[nodiscard]] bool HasNoRole() const;

  /** Returns up to when this daemon may act as the dispatcher of a group. */
  [[nodiscard]] TimePoint AuthorityUntil(const GroupId& aGroup) const;

  /** Returns the groups whose dispatcher this daemon is. */
  [[nodiscard]] std::vector<GroupId> Led() const;

  /** Returns a count that grows whenever authority is gained or lost. */
  [[nodiscard]] std::uint64_t AuthorityChanges() const noexcept
  {
    return m_authorityChanges;
  }

  /** Returns when this daemon read that it leads a group; the epoch when it
      does not. */
  [[nodiscard]] TimePoint LedSince(const GroupId& aGroup) const;

  [[nodiscard]] const Contacts& Heard() const noexcept { return m_contacts; }

private:
  struct Role
  {
    GroupAuthority m_authority;
    TimePoint m_viewSince{};
    TimePoint m_lastHeard{};
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
  [[nodiscard]] bool IsSilent(TimePoint aNow,
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
  void SendOne(TimePoint aNow,
               const ClusterState& aState,
               const HostId& aTo,
               std::vector<PromiseRequest> aRequests,
               Actions& aActions);
  void KeepStandbys(TimePoint aNow,
                    const ClusterState& aState,
                    const GroupId& aGroup,
                    Role& aRole,
                    Actions& aActions);
  void KeepWatch(TimePoint aNow,
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
  void ClaimUnled(TimePoint aNow,
                  const ClusterState& aState,
                  Actions& aActions);
  void RemoveLostMembers(TimePoint aNow,
                         const ClusterState& aState,
                         Actions& aActions);
  /** Returns whether a daemon run is succeeded, has left, or is called gone
      by the platform's list. */
  [[nodiscard]] bool IsReplaced(const ClusterState& aState,
                                const HostId& aHost) const;
  /** Finds the groups that may have no dispatcher left, after a record or a
      list of hosts has been read. */
  void FindUnled(const ClusterState& aState);
  void ClaimIfUnled(TimePoint aNow,
                    const ClusterState& aState,
                    const GroupId& aGroup,
                    std::optional<TimePoint>& aSilentSince,
                    Actions& aActions);
  void NoteAuthority(TimePoint aNow, Actions& aActions);
  [[nodiscard]] Millis StaggerOf(const ClusterState& aState,
                                 const std::string& aRegion,
                                 std::uint64_t aItem) const;

  NodeConfig m_config;
  std::shared_ptr<AppendQueue> m_appends;
  Contacts m_contacts;
  std::map<GroupId, Role> m_roles;
  std::map<std::int64_t, SentHeartbeat> m_sent;
  std::set<HostId> m_pings;
  /** Groups that may have no dispatcher left, with the time since which all
      their daemons have been silent. */
  std::map<GroupId, std::optional<TimePoint>> m_unled;
  Offset m_unledAt = 0;
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
