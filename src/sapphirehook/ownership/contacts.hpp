#ifndef SAPPHIREHOOK_OWNERSHIP_CONTACTS_HPP
#define SAPPHIREHOOK_OWNERSHIP_CONTACTS_HPP

#include "sapphirehook/ownership/state.hpp"

#include <set>

namespace sapphirehook {

/** Tracks when each daemon was last in contact with this one, and which daemons
    are leaving. */
class Contacts
{
public:
  /** Records a message or an answer received from a daemon. */
  void OnContact(TimePoint aNow, const HostId& aHost)
  {
    m_lastContact[aHost] = aNow;
  }

  /** Records that a daemon is stopping and hands its roles over. */
  void OnLeaving(const HostId& aHost) { m_leaving.insert(aHost); }

  /** Returns when a message of a daemon was last received, or the epoch
      if there was none. */
  [[nodiscard]] TimePoint LastContact(const HostId& aHost) const;

  /** Returns whether a daemon was in contact within a time span and is not
      leaving. */
  [[nodiscard]] bool IsFresh(TimePoint aNow,
                             const HostId& aHost,
                             std::chrono::nanoseconds aMaxAge) const;

  [[nodiscard]] bool IsLeaving(const HostId& aHost) const
  {
    return m_leaving.contains(aHost);
  }

  /** Removes daemons that are no longer members. */
  void Retain(const ClusterState& aState);

private:
  std::map<HostId, TimePoint> m_lastContact;
  std::set<HostId> m_leaving;
};

/** Returns the members of a region, ranked for an item by rendezvous hashing.
    Ranks all members if the region has none. */
[[nodiscard]] std::vector<HostId>
RankMembers(const ClusterState& aState,
            const std::string& aRegion,
            std::uint64_t aHash);

/** Chooses up to two standbys from ranked candidates. Prefers candidates whose
    zones differ from the dispatcher's and from each other. */
[[nodiscard]] std::vector<HostId>
ChooseStandbys(const ClusterState& aState,
               const HostId& aDispatcher,
               const std::vector<HostId>& aCandidates);

} // namespace sapphirehook

#endif
