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

/** Format version at the start of every record of the state stream. */
inline constexpr std::uint32_t kRecordFormat = 1;

/** A daemon has started and is bound to its peer port. */
struct JoinRecord
{
  HostId m_host;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  MSGPACK_DEFINE_ARRAY(m_host, m_region, m_zone, m_peerAddress)
};

/** A daemon has stopped, or the platform has reported its host as gone. */
struct LeaveRecord
{
  HostId m_host;
  MSGPACK_DEFINE_ARRAY(m_host)
};

/** A daemon becomes the dispatcher of a group, which starts the next term. */
struct ClaimRecord
{
  GroupId m_group;
  Version m_expectedVersion = 0;
  HostId m_dispatcher;
  std::vector<HostId> m_standbys;
  /** Maximum duration of a lease that the dispatcher grants to an endpoint, in
      ms. */
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

/** Endpoints that held no partition answer the dispatcher again. */
struct EndpointsUpRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** The leases of endpoints have expired; the endpoints hold no partition. */
struct EndpointsDownRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** Endpoints are draining: they finish their running requests and are excluded
    from new layouts until they are reported up again. */
struct EndpointsDrainingRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_endpoints)
};

/** Acknowledges a layout for an endpoint: the endpoint holds only partitions
    that this layout or a later one assigns to it, and the partitions in m_kept
    until the requests on them have ended. */
struct LayoutAck
{
  std::string m_endpoint;
  Version m_layout = 0;
  /** Partitions of older layouts, encoded by PackPartition(). */
  std::vector<std::uint64_t> m_kept;
  MSGPACK_DEFINE_ARRAY(m_endpoint, m_layout, m_kept)
  bool operator==(const LayoutAck&) const = default;
};

/** Endpoints of a group have released the partitions that newer layouts assign
    to other endpoints. */
struct ReleaseRecord
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<LayoutAck> m_acks;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_acks)
};

/** The planner pins a key to an endpoint; an empty endpoint removes the pin. */
struct PinRecord
{
  std::string m_service;
  Version m_expectedLayout = 0;
  std::string m_key;
  std::string m_endpoint;
  MSGPACK_DEFINE_ARRAY(m_service, m_expectedLayout, m_key, m_endpoint)
};

/** A ticket of the operators' stream. Tickets are applied in the order of that
    stream. */
struct TicketRecord
{
  Offset m_ticketOffset = 0;
  std::string m_text;
  MSGPACK_DEFINE_ARRAY(m_ticketOffset, m_text)
};

/** The cluster state before the record at m_nextOffset, from which other
    daemons can start without older records. */
struct SnapshotRecord
{
  Offset m_nextOffset = 0;
  std::string m_state;
  MSGPACK_DEFINE_ARRAY(m_nextOffset, m_state)
};

/** The body of a record. The index of an alternative is its kind in the
    encoding. */
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

/** A record of the state stream. The writer assigns sequence numbers, by which
    the fold detects repeated appends. */
struct Record
{
  HostId m_writer;
  std::uint64_t m_sequence = 0;
  RecordBody m_body;
};

/** Encodes a record as MessagePack. */
[[nodiscard]] std::string
EncodeRecord(const Record& aRecord);

/** Decodes a record from MessagePack. Returns InvalidArgument if the bytes are
    not a record of a known format. */
[[nodiscard]] absl::StatusOr<Record>
DecodeRecord(std::string_view aBytes);

/** Returns the name of a record's kind, for logs and the timeline. */
[[nodiscard]] std::string_view
RecordName(const RecordBody& aBody) noexcept;

} // namespace sapphirehook

#endif
