#ifndef SAPPHIREHOOK_OWNERSHIP_RECORD_HPP
#define SAPPHIREHOOK_OWNERSHIP_RECORD_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirehook {

/** Format number that starts every record of the state stream. */
inline constexpr std::uint32_t kRecordFormat = 1;

/** A daemon has started and has bound its peers' port. */
struct JoinRecord
{
  HostId m_host;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  MSGPACK_DEFINE_ARRAY(m_host, m_region, m_zone, m_peerAddress)
};

/** A daemon has stopped, or the platform has said that its host is gone. */
struct LeaveRecord
{
  HostId m_host;
  MSGPACK_DEFINE_ARRAY(m_host)
};

/** A daemon takes a group over with the next term. */
struct ClaimRecord
{
  GroupId m_group;
  Version m_expectedVersion = 0;
  HostId m_dispatcher;
  std::vector<HostId> m_standbys;
  /** Longest lease that the dispatcher gives to an endpoint, in ms. */
  std::uint32_t m_endpointLeaseMs = 0;
  MSGPACK_DEFINE_ARRAY(m_group,
                       m_expectedVersion,
                       m_dispatcher,
                       m_standbys,
                       m_endpointLeaseMs)
};

/** A dispatcher replaces its standbys within its term. */
struct StandbysRecord
{
  GroupId m_group;
  Version m_expectedVersion = 0;
  HostId m_dispatcher;
  std::vector<HostId> m_standbys;
  MSGPACK_DEFINE_ARRAY(m_group, m_expectedVersion, m_dispatcher, m_standbys)
};

/** A dispatcher has spoken with endpoints that held nothing. */
struct EndpointsUpRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** The leases of endpoints have run out: they hold no partition. */
struct EndpointsDownRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** Endpoints finish what they run and take part in no further layout, until
    they are reported up again. */
struct EndpointsDrainingRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** An endpoint holds nothing but what a layout, or a later one, gives it, and
    the partitions that it keeps until requests on them have ended. */
struct LayoutAck
{
  std::string m_endpoint;
  Version m_layout = 0;
  /** Partitions in the packed form of PackPartition. */
  std::vector<std::uint64_t> m_kept;
  MSGPACK_DEFINE_ARRAY(m_endpoint, m_layout, m_kept)
  bool operator==(const LayoutAck&) const = default;
};

/** Endpoints of a group have released what newer layouts took from them. */
struct ReleaseRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<LayoutAck> m_acks;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_acks)
};

/** The planner gives one key a chosen endpoint; an empty one ends that. */
struct PinRecord
{
  std::string m_service;
  Version m_expectedLayout = 0;
  std::string m_key;
  std::string m_endpoint;
  MSGPACK_DEFINE_ARRAY(m_service, m_expectedLayout, m_key, m_endpoint)
};

/** A ticket of the operators' stream, in the order of that stream. */
struct TicketRecord
{
  Offset m_ticketOffset = 0;
  std::string m_text;
  MSGPACK_DEFINE_ARRAY(m_ticketOffset, m_text)
};

/** The state after the record at an offset, for daemons that start later. */
struct SnapshotRecord
{
  Offset m_nextOffset = 0;
  std::string m_state;
  MSGPACK_DEFINE_ARRAY(m_nextOffset, m_state)
};

/** The content of a record. */
using RecordBody = std::variant<JoinRecord,
                                LeaveRecord,
                                ClaimRecord,
                                StandbysRecord,
                                EndpointsUpRecord,
                                EndpointsDownRecord,
                                EndpointsDrainingRecord,
                                ReleaseRecord,
                                PinRecord,
                                TicketRecord,
                                SnapshotRecord>;

/** One record of the state stream. The writer numbers its records, so that a
    repeated append is recognized. */
struct Record
{
  HostId m_writer;
  std::uint64_t m_sequence = 0;
  RecordBody m_body;
};

/** Returns the MessagePack form of a record. */
[[nodiscard]] std::string
EncodeRecord(const Record& aRecord);

/** Parses the MessagePack form of a record. Returns InvalidArgument when the
    bytes are no record of a known format. */
[[nodiscard]] absl::StatusOr<Record>
DecodeRecord(std::string_view aBytes);

/** Returns the name of a record's kind, for logs and the time line. */
[[nodiscard]] std::string_view
RecordName(const RecordBody& aBody) noexcept;

} // namespace sapphirehook

#endif
