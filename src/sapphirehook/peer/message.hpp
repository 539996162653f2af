#ifndef SAPPHIREHOOK_PEER_MESSAGE_HPP
#define SAPPHIREHOOK_PEER_MESSAGE_HPP

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/ownership/authority.hpp"

#include <variant>

namespace sapphirehook {

/** The format number at the start of every message between daemons. */
inline constexpr std::uint32_t kMessageFormat = 1;

/** A request for promises for all groups that the sender shares with the
    receiver. Without groups, it only checks whether the receiver responds. */
struct Heartbeat
{
  HostId m_from;
  HostId m_to;
  /** Send time in ns on the sender's clock. The answer returns it unchanged. */
  std::int64_t m_sentAtNs = 0;
  /** Duration of the requested promises in ms. */
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

/** The answer to a heartbeat. Gives the requested promises, except for the
    refused ones. */
struct HeartbeatAnswer
{
  HostId m_from;
  std::int64_t m_sentAtNs = 0;
  Offset m_nextOffset = 0;
  /** The sender is stopping and requests that other daemons take over its
      roles. */
  bool m_leaving = false;
  /** Indices of the refused requests in Heartbeat::m_requests. */
  std::vector<std::uint32_t> m_refused;
  MSGPACK_DEFINE_ARRAY(m_from, m_sentAtNs, m_nextOffset, m_leaving, m_refused)
};

/** Requests records of the state stream while the log is unavailable. The peer
    answers with its whole state if it no longer has the first record. */
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

/** Records of the state stream in ascending order. If m_state is not empty, it
    is a packed state, and the records follow that state. */
struct FetchAnswer
{
  std::string m_state;
  std::vector<FetchedRecord> m_records;
  MSGPACK_DEFINE_ARRAY(m_state, m_records)
};

/** Any message between daemons. */
using PeerMessage =
  std::variant<Heartbeat, HeartbeatAnswer, FetchRequest, FetchAnswer>;

/** Encodes a message as MessagePack. */
[[nodiscard]] std::string
EncodeMessage(const PeerMessage& aMessage);

/** Decodes a message from MessagePack. Returns InvalidArgument if the bytes are
    not a message of a supported format. */
[[nodiscard]] absl::StatusOr<PeerMessage>
DecodeMessage(std::string_view aBytes);

} // namespace sapphirehook

#endif
