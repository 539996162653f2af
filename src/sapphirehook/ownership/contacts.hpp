#ifndef SAPPHIREHOOK_OWNERSHIP_CONTACTS_HPP
#define SAPPHIREHOOK_OWNERSHIP_CONTACTS_HPP

#include "sapphirehook/ownership/state.hpp"

#include <set>

namespace sapphirehook {

/** Which daemons have answered this one lately. */
class Contacts
{
public:
  /** Records an answer or a message from a daemon. */
  void OnHeard(TimePoint aNow, const HostId& aHost) { m_heard[aHost] = aNow; }

  /** Records that a daemon wants its roles taken from it. */
  void OnLeaving(const HostId& aHost) { m_leaving.insert(aHost); }

  /** Returns when a daemon was last heard; the epoch when it never was. */
  [[nodiscard]] TimePoint LastHeard(const HostId& aHost) const;

  /** Returns whether a daemon was heard within a span and does not leave. */
  [[nodiscard]] bool IsFresh(TimePoint aNow,
                             const HostId& aHost,
                             std::chrono::nanoseconds aSpan) const;

  [[nodiscard]] bool IsLeaving(const HostId& aHost) const
  {
    return m_leaving.contains(aHost);
  }

  /** Forgets daemons that are no longer members. */
  void Retain(const ClusterState& aState);

private:
  std::map<HostId, TimePoint> m_heard;
  std::set<HostId> m_leaving;
};

/** Returns a region's members in the order of preference for an item; all
    members when the region has none. */
[[nodiscard]] std::vector<HostId>
RankMembers(const ClusterState& aState,
            const std::string& aRegion,
            std::uint64_t aItem);

/** Chooses up to two standbys from ranked candidates, in zones other than the
    dispatcher's and each other's where that can be had. */
[[nodiscard]] std::vector<HostId>
ChooseStandbys(const ClusterState& aState,
               const HostId& aDispatcher,
               const std::vector<HostId>& aCandidates);

} // namespace sapphirehook

#endif
