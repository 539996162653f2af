#ifndef SAPPHIREHOOK_GOSSIP_MESSAGE_HPP
#define SAPPHIREHOOK_GOSSIP_MESSAGE_HPP

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/gateway/request_engine.hpp"
#include "sapphirehook/gossip/topic_batch.hpp"
#include "sapphirehook/keys/range_map.hpp"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphirehook {

/** What the store last told the sender of the end of a topic. */
struct ToldEnd
{
  Offset m_end = 0;
  /** Time since then, in milliseconds. */
  std::int64_t m_ageMs = 0;

  MSGPACK_DEFINE_ARRAY(m_end, m_ageMs)
};

/** Sent several times a second: in a small fleet by each daemon to all others,
    in a large one by each to the leader, and by the leader to all. */
struct Beat
{
  /** Highest term of a leader that the sender knows. */
  Term m_term = 0;
  bool m_leads = false;
  /** The sender reaches the store. */
  bool m_storeWorks = false;
  /** It reads the topics that all follow, and passes records on. Daemons of
      earlier versions go by it. */
  bool m_relays = false;
  /** Time since the store last answered it, in milliseconds. */
  std::int64_t m_storeProofAgeMs = 0;
  /** The last leader that stepped down in an orderly way, and when its grants
      end, in milliseconds from now. */
  Term m_resignedTerm = 0;
  std::int64_t m_resignedEndsInMs = 0;
  bool m_stopping = false;
  /** Part of a core that the sender may use. */
  double m_processorShare = 0.0;
  /** Offsets that the sender has read of the topics all daemons follow. */
  std::map<std::string, Offset> m_ends;
  std::vector<EndpointUse> m_uses;
  /** From the leader: for each keyed service, the digests of its map. */
  std::map<std::string, std::vector<BlockDigest>> m_maps;
  /** From the leader: how many daemons there are, who should claim next, and
      in a large fleet the use of endpoints by all daemons. */
  std::uint32_t m_daemons = 0;
  std::vector<std::string> m_heirs;
  std::vector<FleetUse> m_totals;
  /** Of each followed topic. */
  std::map<std::string, ToldEnd> m_toldEnds;

  MSGPACK_DEFINE_ARRAY(m_term,
                       m_leads,
                       m_storeWorks,
                       m_relays,
                       m_storeProofAgeMs,
                       m_resignedTerm,
                       m_resignedEndsInMs,
                       m_stopping,
                       m_processorShare,
                       m_ends,
                       m_uses,
                       m_maps,
                       m_daemons,
                       m_heirs,
                       m_totals,
                       m_toldEnds)
};

/** Requests by key, sent to the leader. */
struct KeyReport
{
  std::string m_service;
  std::vector<KeyCount> m_counts;

  MSGPACK_DEFINE_ARRAY(m_service, m_counts)
};

/** Routes of a service as a leader has set them: what it has just changed, or
    what it was asked for. Sent in any order, and more than once, they do no
    harm: endpoints refuse what they do not hold. */
struct RouteUpdate
{
  std::string m_service;
  Term m_term = 0;
  std::vector<RangeRoute> m_routes;

  MSGPACK_DEFINE_ARRAY(m_service, m_term, m_routes)
};

/** Asks the leader for blocks of a service's map, where they differ from what
    the sender knows. */
struct RouteRequest
{
  std::string m_service;
  std::vector<BlockState> m_known;

  MSGPACK_DEFINE_ARRAY(m_service, m_known)
};

/** A leader that steps down in an orderly way. */
struct Resignation
{
  Term m_term = 0;
  /** All grants of the term have run out after this time, in milliseconds. */
  std::int64_t m_grantsEndInMs = 0;

  MSGPACK_DEFINE_ARRAY(m_term, m_grantsEndInMs)
};

using GossipMessage = std::variant<Beat,
                                   KeyReport,
                                   RouteUpdate,
                                   RouteRequest,
                                   Resignation,
                                   TopicRelay,
                                   TopicRequest>;

} // namespace sapphirehook

#endif
