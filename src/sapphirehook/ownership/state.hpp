#ifndef SAPPHIREHOOK_OWNERSHIP_STATE_HPP
#define SAPPHIREHOOK_OWNERSHIP_STATE_HPP

#include "sapphirehook/operator/ticket.hpp"
#include "sapphirehook/ownership/layout.hpp"
#include "sapphirehook/ownership/record.hpp"

#include <absl/status/status.h>
#include <deque>

namespace sapphirehook {

/** Number of groups per region unless a ticket sets another number. */
inline constexpr std::uint32_t kDefaultGroupsPerRegion = 16;

/** Number of ticket outcomes kept in the state for `ticket status`. */
inline constexpr std::size_t kTicketHistory = 256;

/** A daemon that has joined and has not left. */
struct Member
{
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  MSGPACK_DEFINE_ARRAY(m_incarnation, m_region, m_zone, m_peerAddress)
  bool operator==(const Member&) const = default;
};

/** The dispatcher and the standbys of a group of endpoints. */
struct Group
{
  Term m_term = 0;
  Version m_version = 0;
  HostId m_dispatcher;
  std::vector<HostId> m_standbys;
  std::uint32_t m_endpointLeaseMs = 0;
  /** Maximum endpoint lease of the previous term, in ms. 0 in the first
      term. */
  std::uint32_t m_previousLeaseMs = 0;
  MSGPACK_DEFINE_ARRAY(m_term,
                       m_version,
                       m_dispatcher,
                       m_standbys,
                       m_endpointLeaseMs,
                       m_previousLeaseMs)
  bool operator==(const Group&) const = default;
};

/** An endpoint and the partitions that it may still hold. */
struct EndpointState
{
  EndpointConfig m_config;
  /** The endpoint is a candidate for layouts. A down endpoint holds no
      partition. */
  bool m_up = false;
  /** The endpoint was removed by a ticket. It stays in the state until it has
      released its partitions. */
  bool m_leaving = false;
  /** The endpoint has reported that it is shutting down. It is excluded
      from new layouts. */
  bool m_draining = false;
  /** The acknowledged layout: the endpoint holds only partitions that this
      layout or a later one assigns to it, and those in m_kept. */
  Version m_ack = 0;
  /** Packed partitions of older layouts on which requests still run. */
  std::vector<std::uint64_t> m_kept;
  MSGPACK_DEFINE_ARRAY(m_config, m_up, m_leaving, m_draining, m_ack, m_kept)
  bool operator==(const EndpointState&) const = default;
};

/** A service and its layouts, oldest first. Layouts under which no endpoint can
    still hold a partition are removed. */
struct ServiceState
{
  ServiceConfig m_config;
  bool m_removed = false;
  std::vector<Layout> m_layouts;
  MSGPACK_DEFINE_ARRAY(m_config, m_removed, m_layouts)
  bool operator==(const ServiceState&) const = default;
};

/** The outcome of one ticket. */
struct TicketOutcome
{
  std::uint64_t m_number = 0;
  std::uint64_t m_contentHash = 0;
  bool m_accepted = false;
  std::string m_reason;
  MSGPACK_DEFINE_ARRAY(m_number, m_contentHash, m_accepted, m_reason)
  bool operator==(const TicketOutcome&) const = default;
};

/** Position of the newest record of a writer. */
struct WriterState
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  /** The writer's earlier incarnations, the latest last. */
  std::deque<std::uint64_t> m_ended = {};
  MSGPACK_DEFINE_ARRAY(m_incarnation, m_sequence, m_ended)
  bool operator==(const WriterState&) const = default;
};

/** The replicated state that results from folding the log. Daemons that have
    read up to the same offset have byte-equal states. */
struct ClusterState
{
  Offset m_nextOffset = 0;
  Offset m_nextTicketOffset = 0;
  Offset m_snapshotOffset = 0;
  Version m_lastLayout = 0;
  std::uint32_t m_groupsPerRegion = kDefaultGroupsPerRegion;
  std::map<std::string, WriterState> m_writers;
  std::map<std::string, Member> m_members;
  std::map<GroupId, Group> m_groups;
  std::map<std::string, ServiceState> m_services;
  std::map<std::string, EndpointState> m_endpoints;
  /** Number of the last ticket that changed an object, by kind and name. */
  std::map<std::string, std::uint64_t> m_objectTickets;
  std::deque<TicketOutcome> m_tickets;
  MSGPACK_DEFINE_ARRAY(m_nextOffset,
                       m_nextTicketOffset,
                       m_snapshotOffset,
                       m_lastLayout,
                       m_groupsPerRegion,
                       m_writers,
                       m_members,
                       m_groups,
                       m_services,
                       m_endpoints,
                       m_objectTickets,
                       m_tickets)
  bool operator==(const ClusterState&) const = default;
};

/** Folds the record at an offset into the state. Returns Ok if the record took
    effect, otherwise the reason for ignoring it. The offset advances in both
    cases. */
absl::Status
ApplyRecord(ClusterState& aState, Offset aOffset, const Record& aRecord);

/** Advances the offset past a record that cannot be decoded. */
void
SkipRecord(ClusterState& aState, Offset aOffset) noexcept;

/** Returns whether an endpoint is eligible for new layouts. */
[[nodiscard]] bool
IsLayoutEligible(const EndpointState& aEndpoint) noexcept;

/** Returns the group of an endpoint, chosen by a hash of its name. */
[[nodiscard]] GroupId
GroupOf(const ClusterState& aState,
        const std::string& aEndpoint,
        const EndpointConfig& aConfig);

/** Returns whether this incarnation of a daemon is a member. */
[[nodiscard]] bool
IsMember(const ClusterState& aState, const HostId& aHost);

} // namespace sapphirehook

#endif
