#include "sapphirehook/peer/message.hpp"

namespace sapphirehook {

namespace {

struct Envelope
{
  std::uint32_t m_format = 0;
  std::uint32_t m_kind = 0;
  std::string m_body;
  MSGPACK_DEFINE_ARRAY(m_format, m_kind, m_body)
};

} // namespace

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  return Pack(Envelope{ kMessageFormat,
                        static_cast<std::uint32_t>(aMessage.index()),
                        PackAlternative(aMessage) });
}

absl::StatusOr<PeerMessage>
DecodeMessage(std::string_view aBytes)
{
  const auto envelope = Unpack<Envelope>(aBytes);
  if (!envelope.ok()) {
    return envelope.status();
  }
  if (envelope->m_format != kMessageFormat) {
    return absl::InvalidArgumentError("unsupported format of a peer message");
  }
  return UnpackAlternative<PeerMessage>(envelope->m_kind, envelope->m_body);
}

} // namespace sapphirehook
