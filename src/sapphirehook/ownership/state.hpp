#ifndef SAPPHIREHOOK_OWNERSHIP_STATE_HPP
#define SAPPHIREHOOK_OWNERSHIP_STATE_HPP

#include "sapphirehook/operator/ticket.hpp"
#include "sapphirehook/ownership/layout.hpp"
#include "sapphirehook/ownership/record.hpp"

#include <absl/status/status.h>
#include <deque>

namespace sapphirehook {

/** Groups of each region until a ticket states another number. */
inline constexpr std::uint32_t kDefaultGroups = 16;

/** Ticket outcomes that the state keeps for `ticket status`. */
inline constexpr std::size_t kTicketHistory = 256;

/** A daemon that has joined and not left. */
struct Member
{
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  MSGPACK_DEFINE_ARRAY(m_incarnation, m_region, m_zone, m_peerAddress)
  bool operator==(const Member&) const = default;
};

/** The daemons that answer for a group of endpoints. */
struct Group
{
  Term m_term = 0;
  Version m_version = 0;
  HostId m_dispatcher;
  std::vector<HostId> m_standbys;
  std::uint32_t m_endpointLeaseMs = 0;
  /** Longest endpoint lease of the term before. */
  std::uint32_t m_formerLeaseMs = 0;
  MSGPACK_DEFINE_ARRAY(m_term,
                       m_version,
                       m_dispatcher,
                       m_standbys,
                       m_endpointLeaseMs,
                       m_formerLeaseMs)
  bool operator==(const Group&) const = default;
};

/** An endpoint and what it may still hold. */
struct EndpointState
{
  EndpointConfig m_config;
  /** Takes part in layouts; a down endpoint holds no partition. */
  bool m_up = false;
  /** Removed by a ticket, and kept until it has released its partitions. */
  bool m_leaving = false;
  /** Reported that it is shutting down: it takes part in no new layout. */
  bool m_draining = false;
  /** Holds nothing but what this layout or a later one gives it, and m_kept. */
  Version m_ack = 0;
  /** Packed partitions of older layouts on which requests still run. */
  std::vector<std::uint64_t> m_kept;
  MSGPACK_DEFINE_ARRAY(m_config, m_up, m_leaving, m_draining, m_ack, m_kept)
  bool operator==(const EndpointState&) const = default;
};

/** A service and its layouts, the oldest that anyone may hold first. */
struct ServiceState
{
  ServiceConfig m_config;
  bool m_removed = false;
  std::vector<Layout> m_layouts;
  MSGPACK_DEFINE_ARRAY(m_config, m_removed, m_layouts)
  bool operator==(const ServiceState&) const = default;
};

/** What became of one ticket. */
struct TicketOutcome
{
  std::uint64_t m_number = 0;
  std::uint64_t m_contentHash = 0;
  bool m_accepted = false;
  std::string m_reason;
  MSGPACK_DEFINE_ARRAY(m_number, m_contentHash, m_accepted, m_reason)
  bool operator==(const TicketOutcome&) const = default;
};

/** Newest record seen of a writer on a host. */
struct WriterState
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  MSGPACK_DEFINE_ARRAY(m_incarnation, m_sequence)
  bool operator==(const WriterState&) const = default;
};

/** Everything that the log decides. Daemons that have read up to the same
    offset have byte-equal states. */
struct ClusterState
{
  Offset m_nextOffset = 0;
  Offset m_nextTicketOffset = 0;
  Offset m_snapshotOffset = 0;
  Version m_lastLayout = 0;
  std::uint32_t m_groupsPerRegion = kDefaultGroups;
  std::map<std::string, WriterState> m_writers;
  std::map<std::string, Member> m_members;
  std::map<GroupId, Group> m_groups;
  std::map<std::string, ServiceState> m_services;
  std::map<std::string, EndpointState> m_endpoints;
  /** Number of the last ticket that touched an object, by kind and name. */
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

/** Folds the record at an offset into the state. Returns Ok when it took
    effect, and otherwise the reason for which it was ignored; the offset
    advances in both cases. */
absl::Status
ApplyRecord(ClusterState& aState, Offset aOffset, const Record& aRecord);

/** Advances past a record that could not be decoded. */
void
SkipRecord(ClusterState& aState, Offset aOffset) noexcept;

/** Returns whether an endpoint takes part in new layouts. */
[[nodiscard]] bool
TakesPart(const EndpointState& aEndpoint) noexcept;

/** Returns the group of an endpoint. */
[[nodiscard]] GroupId
GroupOf(const ClusterState& aState,
        const std::string& aEndpoint,
        const EndpointConfig& aConfig);

/** Returns whether a daemon run is a member. */
[[nodiscard]] bool
IsMember(const ClusterState& aState, const HostId& aHost);

} // namespace sapphirehook

#endif
