#ifndef SAPPHIREHOOK_GOSSIP_MESSAGE_HPP
#define SAPPHIREHOOK_GOSSIP_MESSAGE_HPP

#include "sapphirehook/admission/fleet_demand.hpp"
#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/gateway/request_engine.hpp"
#include "sapphirehook/gossip/topic_batch.hpp"
#include "sapphirehook/keys/key_limits.hpp"
#include "sapphirehook/keys/range_map.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirehook {

/** The end of a topic as the store last reported it to the sender. */
struct ReportedEnd
{
  Offset m_end = 0;
  /** Age of the report in milliseconds. */
  std::int64_t m_ageMs = 0;
  /** Era of the store in that report. */
  StoreEra m_era = 0;

  MSGPACK_DEFINE_ARRAY(m_end, m_ageMs, m_era)

  /** Returns the reported end as a position. */
  [[nodiscard]] StorePosition Position() const noexcept
  {
    return { m_era, m_end };
  }
};

/** Heartbeat that each daemon sends several times a second. In a small fleet it
    goes to all other daemons. In a large fleet followers send it to the leader,
    and the leader sends it to all. */
struct GossipHeartbeat
{
  /** Highest term of a leader that the sender knows. */
  Term m_term = 0;
  bool m_leads = false;
  /** Whether the sender reaches the store. */
  bool m_storeWorks = false;
  /** Whether the sender reads the topics that all daemons follow and relays
      their records. Daemons of earlier versions depend on this field. */
  bool m_relays = false;
  /** Time since the store last answered the sender, in milliseconds. */
  std::int64_t m_storeConfirmationAgeMs = 0;
  /** Term of the last leader that resigned, and the time until its grants
      expire, in milliseconds. */
  Term m_resignedTerm = 0;
  std::int64_t m_resignedGrantsEndInMs = 0;
  bool m_stopping = false;
  /** Fraction of a processor core that the sender may use. */
  double m_processorShare = 0.0;
  /** For each topic that all daemons follow, the offset up to which the sender
      has read. Daemons of earlier versions use it in place of m_positions. */
  std::map<std::string, Offset> m_ends;
  std::vector<EndpointUse> m_uses;
  /** Digests of the range map of each keyed service. Set by the leader. */
  std::map<std::string, std::vector<BlockDigest>> m_maps;
  /** Number of daemons, the successors in the order in which they claim
      leadership, and in a large fleet the endpoint use of all daemons. Set by
      the leader. */
  std::uint32_t m_daemons = 0;
  std::vector<std::string> m_successors;
  std::vector<FleetUse> m_totals;
  /** For each followed topic, its end as the store reported it. */
  std::map<std::string, ReportedEnd> m_reportedEnds;
  /** Limits of the hot keys of each keyed service. Set by the leader. */
  std::map<std::string, std::vector<KeyLimit>> m_keyLimits;
  /** Demand by service and kind at the sender. */
  std::vector<KindUse> m_kindUses;
  /** Demand by service and kind at all daemons of a large fleet. Set by the
      leader. */
  std::vector<KindUse> m_kindTotals;
  /** For each topic that all daemons follow, the position up to which the
     sender has read. Empty from daemons of earlier versions. */
  std::map<std::string, StorePosition> m_positions;
  /** Time since the latest era of m_positions began, as far as the sender
     knows, in milliseconds. Negative if it does not know. */
  std::int64_t m_eraAgeMs = -1;
  /** Version of the configuration that the sender has in force, or has read
      without using it yet. */
  std::uint64_t m_configVersion = 0;
  /** Whether the sender has that configuration in force. */
  bool m_isConfigInForce = false;

  /** Returns the position up to which the sender has read a topic, or nothing
      if the sender does not follow the topic. */
  [[nodiscard]] std::optional<StorePosition> PositionOf(
    const std::string& aTopic) const
  {
    if (const auto at = m_positions.find(aTopic); at != m_positions.end()) {
      return at->second;
    }
    const auto end = m_ends.find(aTopic);
    return end == m_ends.end() ? std::nullopt
                               : std::optional(StorePosition{ 0, end->second });
  }

  /** Returns the latest era of the store that the sender knows. */
  [[nodiscard]] StoreEra Era() const noexcept
  {
    StoreEra era = 0;
    for (const auto& [topic, position] : m_positions) {
      era = std::max(era, position.m_era);
    }
    return era;
  }

  MSGPACK_DEFINE_ARRAY(m_term,
                       m_leads,
                       m_storeWorks,
                       m_relays,
                       m_storeConfirmationAgeMs,
                       m_resignedTerm,
                       m_resignedGrantsEndInMs,
                       m_stopping,
                       m_processorShare,
                       m_ends,
                       m_uses,
                       m_maps,
                       m_daemons,
                       m_successors,
                       m_totals,
                       m_reportedEnds,
                       m_keyLimits,
                       m_kindUses,
                       m_kindTotals,
                       m_positions,
                       m_eraAgeMs,
                       m_configVersion,
                       m_isConfigInForce)
};

/** Request counts by key, sent to the leader. */
struct KeyReport
{
  std::string m_service;
  std::vector<KeyCount> m_counts;

  MSGPACK_DEFINE_ARRAY(m_service, m_counts)
};

/** Routes of a service that the leader has just changed or that a peer has
    requested. Reordered and duplicate updates are safe, because endpoints
    refuse requests for keys that they do not own. */
struct RouteUpdate
{
  std::string m_service;
  Term m_term = 0;
  std::vector<RangeRoute> m_routes;

  MSGPACK_DEFINE_ARRAY(m_service, m_term, m_routes)
};

/** Requests from the leader the blocks of a service's range map that differ
    from the sender's copy. */
struct RouteRequest
{
  std::string m_service;
  std::vector<BlockState> m_known;

  MSGPACK_DEFINE_ARRAY(m_service, m_known)
};

/** Announces that the leader of a term resigns. */
struct Resignation
{
  Term m_term = 0;
  /** Time until all grants of the term have expired, in milliseconds. */
  std::int64_t m_grantsEndInMs = 0;
  /** Whether no other daemon has led since the term began, although the store
      was restored and has lost claims. */
  bool m_isLatest = false;

  MSGPACK_DEFINE_ARRAY(m_term, m_grantsEndInMs, m_isLatest)
};

using GossipMessage = std::variant<GossipHeartbeat,
                                   KeyReport,
                                   RouteUpdate,
                                   RouteRequest,
                                   Resignation,
                                   TopicRelay,
                                   TopicRequest>;

} // namespace sapphirehook

#endif
