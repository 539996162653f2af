#include "sapphirehook/gossip/topic_batch.hpp"

#include "sapphirehook/core/message_pack.hpp"

#include <algorithm>
#include <zlib.h>

namespace sapphirehook {

namespace {

/** Payload bytes of a part. With its envelope a part fits into a datagram of
    the usual 1,500 bytes. */
constexpr std::size_t kPartBytes = 1150;
/** Maximum number of parts of a batch that is sent unsolicited. It covers a
    configuration of about 1 MB. */
constexpr std::size_t kMaxPartsUnsolicited = 64;
/** Maximum number of parts of a batch. A record of a store can have several
    MB. */
constexpr std::size_t kMaxParts = 1024;
/** Incomplete batches that are kept for each sender and topic. They cover the
    changes of 2 s at the rate at which a large fleet receives them. */
constexpr std::size_t kKeptBatches = 4;
/** Maximum size of a decompressed batch in bytes. */
constexpr std::size_t kMaxUnpacked = std::size_t{ 4 } << 20U;
/** zlib settings with an 8 KiB window, which take 32 KiB of memory during
    compression. The default settings take eight times as much. */
constexpr int kWindowBits = 13;
constexpr int kMemoryLevel = 5;

struct PackedRecord
{
  Offset m_offset = 0;
  std::string m_key;
  bool m_hasValue = false;
  std::string m_value;

  MSGPACK_DEFINE_ARRAY(m_offset, m_key, m_hasValue, m_value)
};

std::string
Compress(std::string aPlain)
{
  z_stream stream{};
  if (deflateInit2(&stream,
                   Z_DEFAULT_COMPRESSION,
                   Z_DEFLATED,
                   kWindowBits,
                   kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    return {};
  }
  std::string packed(deflateBound(&stream, aPlain.size()), '\0');
  stream.next_in = reinterpret_cast<Bytef*>(aPlain.data());
  stream.avail_in = static_cast<uInt>(aPlain.size());
  stream.next_out = reinterpret_cast<Bytef*>(packed.data());
  stream.avail_out = static_cast<uInt>(packed.size());
  const bool whole = deflate(&stream, Z_FINISH) == Z_STREAM_END;
  packed.resize(whole ? stream.total_out : 0);
  deflateEnd(&stream);
  return packed;
}

/** Returns the decompressed bytes, or nothing if the input is corrupt or the
    result exceeds kMaxUnpacked. */
std::optional<std::string>
Decompress(std::string aPacked)
{
  z_stream stream{};
  if (inflateInit2(&stream, kWindowBits) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = reinterpret_cast<Bytef*>(aPacked.data());
  stream.avail_in = static_cast<uInt>(aPacked.size());
  std::string plain;
  int result = Z_OK;
  while (result == Z_OK && plain.size() < kMaxUnpacked) {
    constexpr std::size_t kStep = 16'384;
    const std::size_t before = plain.size();
    plain.resize(before + kStep);
    stream.next_out = reinterpret_cast<Bytef*>(plain.data() + before);
    stream.avail_out = static_cast<uInt>(kStep);
    result = inflate(&stream, Z_NO_FLUSH);
    plain.resize(plain.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  return result == Z_STREAM_END ? std::optional(std::move(plain))
                                : std::nullopt;
}

} // namespace

std::vector<TopicRelay>
SplitBatch(const TopicBatch& aBatch)
{
  std::vector<PackedRecord> records;
  records.reserve(aBatch.m_records.size());
  for (const auto& record : aBatch.m_records) {
    records.push_back({ record.m_offset,
                        record.m_key,
                        record.m_value.has_value(),
                        record.m_value.value_or("") });
  }
  const std::string bytes = Compress(Pack(records));
  const std::size_t parts = (bytes.size() + kPartBytes - 1) / kPartBytes;
  std::vector<TopicRelay> relays;
  if (parts > kMaxParts) {
    return relays;
  }
  for (std::size_t part = 0; part < parts; ++part) {
    relays.push_back({ aBatch.m_topic,
                       aBatch.m_from,
                       aBatch.m_next.m_offset,
                       static_cast<unsigned>(part),
                       static_cast<unsigned>(parts),
                       bytes.substr(part * kPartBytes, kPartBytes),
                       aBatch.m_next.m_era });
  }
  return relays;
}

bool
IsSentUnsolicited(std::size_t aParts) noexcept
{
  return aParts <= kMaxPartsUnsolicited;
}

BatchAssembler::Partial&
BatchAssembler::FindOrAddPartial(const std::string& aSender,
                                 const TopicRelay& aPart)
{
  auto& partials = m_partials[{ aSender, aPart.m_topic }];
  const auto found =
    std::find_if(partials.begin(), partials.end(), [&](const Partial& aOne) {
      return aOne.m_from == aPart.m_from && aOne.m_next == aPart.End() &&
             aOne.m_count == aPart.m_parts;
    });
  if (found != partials.end()) {
    return *found;
  }
  if (partials.size() >= kKeptBatches) {
    partials.pop_front();
  }
  return partials.emplace_back(
    Partial{ aPart.m_from, aPart.End(), aPart.m_parts, {} });
}

std::optional<TopicBatch>
BatchAssembler::Add(const std::string& aSender, const TopicRelay& aPart)
{
  if (aPart.m_parts == 0 || aPart.m_parts > kMaxParts ||
      aPart.m_part >= aPart.m_parts || aPart.m_next <= aPart.m_from) {
    return std::nullopt;
  }
  auto& partial = FindOrAddPartial(aSender, aPart);
  partial.m_parts[aPart.m_part] = aPart.m_bytes;
  if (partial.m_parts.size() < aPart.m_parts) {
    return std::nullopt;
  }
  std::string bytes;
  for (const auto& [part, piece] : partial.m_parts) {
    bytes += piece;
  }
  // This batch supersedes all batches that end at or before its end, and those
  // of earlier eras.
  std::erase_if(
    m_partials[{ aSender, aPart.m_topic }],
    [&](const Partial& aOne) { return aOne.m_next <= aPart.End(); });
  const auto plain = Decompress(std::move(bytes));
  if (!plain) {
    return std::nullopt;
  }
  auto records = Unpack<std::vector<PackedRecord>>(*plain);
  if (!records.ok()) {
    return std::nullopt;
  }
  TopicBatch batch{ aPart.m_topic, aPart.m_from, aPart.End(), {} };
  for (auto& record : *records) {
    KeyedRecord decoded{ record.m_offset,
                         std::move(record.m_key),
                         std::nullopt };
    if (record.m_hasValue) {
      decoded.m_value = std::move(record.m_value);
    }
    batch.m_records.push_back(std::move(decoded));
  }
  return batch;
}

std::optional<PartialBatch>
BatchAssembler::FindIncomplete(const std::string& aSender,
                               const std::string& aTopic,
                               StorePosition aHave) const
{
  const auto found = m_partials.find({ aSender, aTopic });
  if (found == m_partials.end()) {
    return std::nullopt;
  }
  const Partial* mostComplete = nullptr;
  const auto missing = [](const Partial& aOne) {
    return aOne.m_count - aOne.m_parts.size();
  };
  for (const auto& partial : found->second) {
    const bool follows = partial.m_next.m_era == aHave.m_era &&
                         partial.m_from <= aHave.m_offset &&
                         aHave < partial.m_next;
    if (follows && (mostComplete == nullptr ||
                    missing(partial) <= missing(*mostComplete))) {
      mostComplete = &partial;
    }
  }
  if (mostComplete == nullptr) {
    return std::nullopt;
  }
  PartialBatch batch{ mostComplete->m_from, mostComplete->m_next, {} };
  for (unsigned part = 0; part < mostComplete->m_count; ++part) {
    if (!mostComplete->m_parts.contains(part)) {
      batch.m_missing.push_back(part);
    }
  }
  return batch;
}

} // namespace sapphirehook
