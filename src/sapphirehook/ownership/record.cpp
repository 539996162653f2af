#include "sapphirehook/ownership/record.hpp"

#include "sapphirehook/core/message_pack.hpp"

#include <array>

namespace sapphirehook {

namespace {

/** Encoding of a record in the log. The body is packed separately. */
struct Envelope
{
  std::uint32_t m_format = 0;
  HostId m_writer;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_kind = 0;
  std::string m_body;
  MSGPACK_DEFINE_ARRAY(m_format, m_writer, m_sequence, m_kind, m_body)
};

} // namespace

std::string
EncodeRecord(const Record& aRecord)
{
  return Pack(Envelope{ kRecordFormat,
                        aRecord.m_writer,
                        aRecord.m_sequence,
                        static_cast<std::uint32_t>(aRecord.m_body.index()),
                        PackAlternative(aRecord.m_body) });
}

absl::StatusOr<Record>
DecodeRecord(std::string_view aBytes)
{
  auto envelope = Unpack<Envelope>(aBytes);
  if (!envelope.ok()) {
    return envelope.status();
  }
  if (envelope->m_format != kRecordFormat) {
    return absl::InvalidArgumentError(
      "the record does not have the known record format");
  }
  auto body = UnpackAlternative<RecordBody>(envelope->m_kind, envelope->m_body);
  if (!body.ok()) {
    return body.status();
  }
  return Record{ std::move(envelope->m_writer),
                 envelope->m_sequence,
                 *std::move(body) };
}

std::string_view
RecordName(const RecordBody& aBody) noexcept
{
  constexpr std::array<std::string_view, std::variant_size_v<RecordBody>>
    kNames{ "join",
            "leave",
            "claim",
            "standbys",
            "endpoints-up",
            "endpoints-down",
            "endpoints-draining",
            "release",
            "pin",
            "ticket",
            "snapshot" };
  return kNames.at(aBody.index());
}

} // namespace sapphirehook
