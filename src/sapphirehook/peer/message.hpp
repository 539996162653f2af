#ifndef SAPPHIREHOOK_PEER_MESSAGE_HPP
#define SAPPHIREHOOK_PEER_MESSAGE_HPP

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/ownership/authority.hpp"

#include <variant>

namespace sapphirehook {

/** Format number that starts every message between daemons. */
inline constexpr std::uint32_t kMessageFormat = 1;

/** A daemon's request for promises on all groups that it shares with one
    other daemon; without groups it only asks whether the other is there. */
struct Heartbeat
{
  HostId m_from;
  HostId m_to;
  /** The sender's clock in ns, returned unchanged in the answer. */
  std::int64_t m_sentAtNs = 0;
  /** Length of the promises asked for, in ms. */
  std::uint32_t m_leaseMs = 0;
  Offset m_nextOffset = 0;
  std::vector<PromiseRequest> m_requests;
  MSGPACK_DEFINE_ARRAY(m_from,
                       m_to,
                       m_sentAtNs,
                       m_leaseMs,
                       m_nextOffset,
                       m_requests)
};

/** The promises given in answer to a heartbeat. */
struct HeartbeatAnswer
{
  HostId m_from;
  std::int64_t m_sentAtNs = 0;
  Offset m_nextOffset = 0;
  /** The sender is stopping and wants its roles taken from it. */
  bool m_leaving = false;
  /** Places in the heartbeat's list of the requests that are refused. */
  std::vector<std::uint32_t> m_refused;
  MSGPACK_DEFINE_ARRAY(m_from, m_sentAtNs, m_nextOffset, m_leaving, m_refused)
};

/** Asks for records of the state stream that the log does not give at present,
    or for the whole state when the peer no longer holds the first of them. */
struct FetchRequest
{
  Offset m_from = 0;
  MSGPACK_DEFINE_ARRAY(m_from)
};

/** One record with its offset. */
struct FetchedRecord
{
  Offset m_offset = 0;
  std::string m_bytes;
  MSGPACK_DEFINE_ARRAY(m_offset, m_bytes)
};

/** Records in ascending order; a packed state comes first when it is not
    empty, and the records then follow that state. */
struct FetchAnswer
{
  std::string m_state;
  std::vector<FetchedRecord> m_records;
  MSGPACK_DEFINE_ARRAY(m_state, m_records)
};

/** Any message between daemons. */
using PeerMessage =
  std::variant<Heartbeat, HeartbeatAnswer, FetchRequest, FetchAnswer>;

/** Returns the MessagePack form of a message. */
[[nodiscard]] std::string
EncodeMessage(const PeerMessage& aMessage);

/** Parses the MessagePack form of a message. Returns InvalidArgument when the
    bytes are no message of a known format. */
[[nodiscard]] absl::StatusOr<PeerMessage>
DecodeMessage(std::string_view aBytes);

} // namespace sapphirehook

#endif
