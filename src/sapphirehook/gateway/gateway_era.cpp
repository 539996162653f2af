#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/gateway/internal/entry_lapse.hpp"

#include <algorithm>

// What a restore of the store from an older copy changes: offsets, entries that
// are missing or listed again, and the configuration of a daemon that starts.

namespace sapphirehook {

/** A daemon learns of an era from the answers to its own reads and from its
    peers. All topics are of one store, so all readers begin the era. */
void
Gateway::OnStoreEra(StoreEra aEra)
{
  if (aEra <= m_storeEra) {
    return;
  }
  const TimePoint now = BootClock::now();
  const StoreEra before = std::exchange(m_storeEra, aEra);
  m_eraBeganAt.reset();
  m_liveness.OnStoreUnavailable(now);
  if (m_configReader.IsCaughtUp() || m_endpointReader.IsCaughtUp()) {
    m_eraBeganAt = now;
    m_outages.OnRestored(now);
    m_log.Write(LogLine("store-restored")
                  .Add("era", aEra)
                  .Add("era_before", before)
                  .Add("config_end", m_configReader.End())
                  .Add("endpoints_end", m_endpointReader.End())
                  .Add("version", m_configVersion),
                LogPriority::State);
    // The copy may be older than this host's registration.
    m_registry.RegisterAgain();
  }
  m_configReader.OnEra(aEra);
  m_endpointReader.OnEra(aEra);
  m_ownership.OnStoreEra(aEra, m_eraBeganAt.has_value());
}

/** Takes the era that a peer knows. The peer may have learned of it earlier,
    which shortens the time for which missing entries are kept. */
void
Gateway::OnPeerEra(TimePoint aArrivedAt, const GossipHeartbeat& aHeartbeat)
{
  const StoreEra era = aHeartbeat.Era();
  OnStoreEra(era);
  if (era != m_storeEra || !m_eraBeganAt || aHeartbeat.m_eraAgeMs < 0) {
    return;
  }
  const TimePoint began = aArrivedAt - Millis(aHeartbeat.m_eraAgeMs);
  if (began < *m_eraBeganAt) {
    m_eraBeganAt = began;
    m_outages.OnRestored(began);
  }
}

std::optional<TimePoint>
Gateway::RestoredEntryUntil(Offset aOffset) const
{
  if (!m_eraBeganAt || aOffset >= m_endpointReader.RestoredEnd()) {
    return std::nullopt;
  }
  return *m_eraBeganAt + internal::EntryLapse(m_settings.m_endpointHeartbeat);
}

/** Puts the configuration that was read at the start into force once no peer
    may have a later one. Until then there are no routes: the daemon is not
    ready and answers 503. */
void
Gateway::CheckHeldConfig(TimePoint aNow)
{
  if (!m_heldConfig) {
    return;
  }
  const bool knowsPeers = m_registry.IsListed() || !m_gossip.Peers().empty();
  if (knowsPeers && !m_peersKnownAt) {
    m_peersKnownAt = aNow;
  }
  // A store that has never been restored returns the latest configuration.
  if (m_storeEra == 0 || m_startConfig.MayUse(aNow,
                                              m_heldConfig->m_config.m_version,
                                              m_peersKnownAt,
                                              !m_gossip.Peers().empty())) {
    ApplyConfig(*std::exchange(m_heldConfig, std::nullopt));
    return;
  }
  WriteRateLimited(m_protocol.m_configTopic,
                   LogLine("configuration-held")
                     .Add("version", m_heldConfig->m_config.m_version)
                     .Add("peers_have", m_startConfig.LatestOfPeers(aNow))
                     .Add("era", m_storeEra));
}

} // namespace sapphirehook
