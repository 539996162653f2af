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

/** One run of an endpoint. A later run with the same name has none of its
    state. */
struct EndpointIncarnation
{
  std::string m_name;
  /** Start time in milliseconds since 1970 on the endpoint's clock. */
  std::int64_t m_startedAt = 0;

  MSGPACK_DEFINE_ARRAY(m_name, m_startedAt)
  auto operator<=>(const EndpointIncarnation&) const = default;
};

/** The last record that an endpoint wrote about itself. */
struct EndpointRecord
{
  EndpointIncarnation m_incarnation;
  std::string m_service;
  sockaddr_in m_address{};
  std::string m_zone;
  /** Maximum number of requests that the endpoint runs concurrently. */
  std::size_t m_slots = 0;
  /** Whether the endpoint is draining and gets no new work. */
  bool m_draining = false;
  /** Remaining time of the slow phase after the endpoint's start. */
  Millis m_warmUpLeft{};
};

/** An entry of the directory. */
struct KnownEndpoint
{
  EndpointRecord m_record;
  /** When the record was read. */
  TimePoint m_readAt{};
  /** When the endpoint's slow phase ends. */
  TimePoint m_warmAt{};
  /** When this host learned that the endpoint is cold. */
  TimePoint m_coldSince{};
  /** When the evacuation of the endpoint's zone ended. Its caches have not been
      used since the evacuation, so it counts as cold from then on. */
  TimePoint m_returnedAt{};
  /** When the removal of the entry was read. Empty while the endpoint is
      listed. */
  std::optional<TimePoint> m_removedAt;
  /** When the removal takes effect. */
  TimePoint m_removalEffectiveAt{};
  /** When an entry that a restored store lists again counts as listed. Empty
      unless the entry has been removed and may come from the store's copy. */
  std::optional<TimePoint> m_confirmedAt = std::nullopt;
};

/** The endpoints by name, and the evacuated zones. Removals around an outage of
   the store only take effect after a grace period, because entries also lapse
   while the store is unavailable. */
class EndpointDirectory
{
public:
  /** aReturnGrace is the time within which a lapsed entry is written again. */
  explicit EndpointDirectory(Millis aReturnGrace)
    : m_returnGrace(aReturnGrace)
  {
  }

  /** Adds or updates an entry. Returns false if it changes nothing.
      aRestoredUntil is set if the entry may come from the copy that the store
      was restored from. An endpoint that has been removed is then not listed
      again before that time, since its owner may have ended; an entry without
      a living owner lapses until then. */
  bool OnRecord(TimePoint aNow,
                EndpointRecord aRecord,
                std::optional<TimePoint> aRestoredUntil = std::nullopt);

  /** Lists the endpoints again whose entries have been confirmed by now. */
  void ConfirmListed(TimePoint aNow);

  /** Records that the entry of a name has been removed. After a recent outage
      of the store, the entry may have lapsed and may be written again. The
      removal then takes effect after the grace period, which begins at
      aMayHaveLapsedAt, the earliest time of the removal in the store. */
  void OnRemoved(TimePoint aNow,
                 const std::string& aName,
                 std::optional<TimePoint> aMayHaveLapsedAt);

  /** Deletes endpoints whose removal took effect at least aAfter ago. */
  void Forget(TimePoint aNow, Millis aAfter);

  /** Records that nothing may be sent to the endpoints of a zone. The operators
      may have requested it as early as aSince. Returns false if the zone is
      evacuated already. */
  bool BeginEvacuation(const std::string& aZone, TimePoint aSince);

  /** Records that the endpoints of a zone may get work again. Returns false if
      the zone is not evacuated. */
  bool EndEvacuation(TimePoint aNow, const std::string& aZone);

  /** Returns since when the zone of an endpoint is evacuated, or nothing. */
  [[nodiscard]] std::optional<TimePoint> EvacuatedSince(
    const KnownEndpoint& aEndpoint) const;

  /** Returns the evacuated zones with the times since when they are. */
  [[nodiscard]] const std::map<std::string, TimePoint>& Evacuations()
    const noexcept
  {
    return m_evacuations;
  }

  /** Returns whether an endpoint may get new work. */
  [[nodiscard]] bool IsUsable(TimePoint aNow,
                              const KnownEndpoint& aEndpoint) const;

  /** Returns whether an endpoint would be usable if its zone were not
      evacuated. Such an endpoint serves its keys until they have moved. */
  [[nodiscard]] bool IsUsableApartFromZone(
    TimePoint aNow,
    const KnownEndpoint& aEndpoint) const noexcept;

  /** Returns an endpoint, or null if none has the name. */
  [[nodiscard]] const KnownEndpoint* Find(const std::string& aName) const;

  [[nodiscard]] const std::map<std::string, KnownEndpoint>& All() const noexcept
  {
    return m_endpoints;
  }

private:
  Millis m_returnGrace;
  std::map<std::string, KnownEndpoint> m_endpoints;
  std::map<std::string, TimePoint> m_evacuations;
};

} // namespace sapphirehook

#endif
