#ifndef SAPPHIREHOOK_DISCOVERY_ENDPOINT_DIRECTORY_HPP
#define SAPPHIREHOOK_DISCOVERY_ENDPOINT_DIRECTORY_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace sapphirehook {

/** One run of an endpoint; the same name may start again, knowing nothing. */
struct EndpointLife
{
  std::string m_name;
  /** When the run started, in milliseconds since 1970 on its own clock. */
  std::int64_t m_startedAt = 0;

  MSGPACK_DEFINE_ARRAY(m_name, m_startedAt)
  auto operator<=>(const EndpointLife&) const = default;
};

/** What an endpoint last said of itself. */
struct EndpointRecord
{
  EndpointLife m_life;
  std::string m_service;
  sockaddr_in m_address{};
  std::string m_zone;
  /** Requests that it runs at once. */
  std::size_t m_slots = 0;
  /** It is about to leave and may get no new work. */
  bool m_draining = false;
  /** How much longer it is slow after its start. */
  Millis m_warmUpLeft{};
};

/** An endpoint as the directory knows it. */
struct KnownEndpoint
{
  EndpointRecord m_record;
  /** When the record was read. */
  TimePoint m_readAt{};
  /** When its start-up slowness ends. */
  TimePoint m_warmAt{};
  /** Its entry has been removed; empty while it is listed. */
  std::optional<TimePoint> m_removedAt;
  /** The removal counts from this time on. */
  TimePoint m_removalCountsAt{};
};

/** The endpoints by name. Removals seen around an outage of the store count
    only after a grace, since entries also lapse while the store is away. */
class EndpointDirectory
{
public:
  /** aReturnGrace is how long a lapsed entry may take to come back. */
  explicit EndpointDirectory(Millis aReturnGrace)
    : m_returnGrace(aReturnGrace)
  {
  }

  /** Takes an entry in. Returns false when it changes nothing. */
  bool OnRecord(TimePoint aNow, EndpointRecord aRecord);

  /** Takes in that the entry of a name has been removed. When the store was in
      trouble shortly before, it may have lapsed and come back: the removal
      then counts after the grace, from the earliest moment at which the store
      may have made it, aMayHaveLapsedAt. */
  void OnRemoved(TimePoint aNow,
                 const std::string& aName,
                 std::optional<TimePoint> aMayHaveLapsedAt);

  /** Forgets endpoints whose removal has counted for the given time. */
  void Forget(TimePoint aNow, Millis aAfter);

  /** Returns whether an endpoint may be given new work. */
  [[nodiscard]] bool IsUsable(TimePoint aNow,
                              const KnownEndpoint& aEndpoint) const noexcept;

  /** Returns an endpoint, or null when none has the name. */
  [[nodiscard]] const KnownEndpoint* Find(const std::string& aName) const;

  [[nodiscard]] const std::map<std::string, KnownEndpoint>& All() const noexcept
  {
    return m_endpoints;
  }

private:
  Millis m_returnGrace;
  std::map<std::string, KnownEndpoint> m_endpoints;
};

} // namespace sapphirehook

#endif
