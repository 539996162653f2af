#include "sapphirehook/gossip/topic_batch.hpp"

#include "sapphirehook/core/message_pack.hpp"

#include <algorithm>
#include <zlib.h>

namespace sapphirehook {

namespace {

/** Bytes of a part; with its envelope it fits the usual 1,500 of a datagram. */
constexpr std::size_t kPartBytes = 1150;
/** Parts of a batch that is passed on unasked at most: a configuration of about
    1 MB. */
constexpr std::size_t kMostPartsUnasked = 64;
/** Parts of a batch at most; a record of a store has some MB. */
constexpr std::size_t kMostParts = 1024;
/** Batches that are kept of each sender and topic: the changes of 2 s at the
    rate at which a large fleet is told of them. */
constexpr std::size_t kKeptBatches = 4;
/** Largest batch once it is unpacked, in bytes. */
constexpr std::size_t kMaxUnpacked = std::size_t{ 4 } << 20U;
/** A window of 8 KiB and little state, which costs 32 KiB while compressing;
    the usual settings take eight times that. */
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

/** Returns the plain bytes, or nothing when they are spoilt or too many. */
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
  if (parts > kMostParts) {
    return relays;
  }
  for (std::size_t part = 0; part < parts; ++part) {
    relays.push_back({ aBatch.m_topic,
                       aBatch.m_from,
                       aBatch.m_next,
                       static_cast<unsigned>(part),
                       static_cast<unsigned>(parts),
                       bytes.substr(part * kPartBytes, kPartBytes) });
  }
  return relays;
}

bool
IsPassedOnUnasked(std::size_t aParts) noexcept
{
  return aParts <= kMostPartsUnasked;
}

BatchAssembler::Partial&
BatchAssembler::PartialOf(const std::string& aSender, const TopicRelay& aPart)
{
  auto& partials = m_partials[{ aSender, aPart.m_topic }];
  const auto found =
    std::find_if(partials.begin(), partials.end(), [&](const Partial& aOne) {
      return aOne.m_from == aPart.m_from && aOne.m_next == aPart.m_next &&
             aOne.m_count == aPart.m_parts;
    });
  if (found != partials.end()) {
    return *found;
  }
  if (partials.size() >= kKeptBatches) {
    partials.pop_front();
  }
  return partials.emplace_back(
    Partial{ aPart.m_from, aPart.m_next, aPart.m_parts, {} });
}

std::optional<TopicBatch>
BatchAssembler::Add(const std::string& aSender, const TopicRelay& aPart)
{
  if (aPart.m_parts == 0 || aPart.m_parts > kMostParts ||
      aPart.m_part >= aPart.m_parts || aPart.m_next <= aPart.m_from) {
    return std::nullopt;
  }
  auto& partial = PartialOf(aSender, aPart);
  partial.m_parts[aPart.m_part] = aPart.m_bytes;
  if (partial.m_parts.size() < aPart.m_parts) {
    return std::nullopt;
  }
  std::string bytes;
  for (const auto& [part, piece] : partial.m_parts) {
    bytes += piece;
  }
  // Batches up to the same offset are needless from now on.
  std::erase_if(
    m_partials[{ aSender, aPart.m_topic }],
    [&](const Partial& aOne) { return aOne.m_next <= aPart.m_next; });
  const auto plain = Decompress(std::move(bytes));
  if (!plain) {
    return std::nullopt;
  }
  auto records = Unpack<std::vector<PackedRecord>>(*plain);
  if (!records.ok()) {
    return std::nullopt;
  }
  TopicBatch batch{ aPart.m_topic, aPart.m_from, aPart.m_next, {} };
  for (auto& record : *records) {
    KeyedRecord one{ record.m_offset, std::move(record.m_key), std::nullopt };
    if (record.m_hasValue) {
      one.m_value = std::move(record.m_value);
    }
    batch.m_records.push_back(std::move(one));
  }
  return batch;
}

std::optional<PartialBatch>
BatchAssembler::Begun(const std::string& aSender,
                      const std::string& aTopic,
                      Offset aHave) const
{
  const auto found = m_partials.find({ aSender, aTopic });
  if (found == m_partials.end()) {
    return std::nullopt;
  }
  const Partial* best = nullptr;
  const auto missing = [](const Partial& aOne) {
    return aOne.m_count - aOne.m_parts.size();
  };
  for (const auto& partial : found->second) {
    const bool follows = partial.m_from <= aHave && aHave < partial.m_next;
    if (follows && (best == nullptr || missing(partial) <= missing(*best))) {
      best = &partial;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  PartialBatch batch{ best->m_from, best->m_next, {} };
  for (unsigned part = 0; part < best->m_count; ++part) {
    if (!best->m_parts.contains(part)) {
      batch.m_missing.push_back(part);
    }
  }
  return batch;
}

} // namespace sapphirehook
