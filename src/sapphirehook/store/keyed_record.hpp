#ifndef SAPPHIREHOOK_STORE_KEYED_RECORD_HPP
#define SAPPHIREHOOK_STORE_KEYED_RECORD_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** A record of a keyed topic. */
struct KeyedRecord
{
  Offset m_offset = 0;
  std::string m_key;
  /** Empty when the record removes its key. */
  std::optional<std::string> m_value;
};

/** How the store answered a call. */
enum class StoreAnswer : unsigned char
{
  Ok,
  /** The records asked for are no longer kept. */
  Forgotten,
  /** The topic does not end where the caller said: nothing was done. */
  Conflict,
  /** The store turned the call away: nothing was done. */
  TurnedAway,
  /** No answer came; a write may be done, or may be done later. */
  NoAnswer,
  /** The answer could not be read. */
  Malformed,
};

/** Returns how a call ended, as logs have it. */
[[nodiscard]] constexpr std::string_view
StoreAnswerName(StoreAnswer aAnswer) noexcept
{
  switch (aAnswer) {
    case StoreAnswer::Ok:
      return "ok";
    case StoreAnswer::Forgotten:
      return "forgotten";
    case StoreAnswer::Conflict:
      return "conflict";
    case StoreAnswer::TurnedAway:
      return "turned-away";
    case StoreAnswer::NoAnswer:
      return "no-answer";
    case StoreAnswer::Malformed:
      return "malformed";
  }
  return "unknown";
}

/** A part of a topic. */
struct KeyedPage
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  std::vector<KeyedRecord> m_records;
  /** Offset behind the last record of the topic. */
  Offset m_end = 0;
  /** More keys follow the last one of this page. */
  bool m_hasMore = false;
  /** Records that could not be read; they are left out, or have no key. */
  std::size_t m_unreadable = 0;
};

/** The store's word on the end of a topic: a copy up to an offset lacked
   nothing at a moment. */
struct EndProof
{
  Offset m_end = 0;
  /** No record had come by then: the end of a wait that brought none. */
  TimePoint m_at{};
  /** When the call was made that brought the word. */
  TimePoint m_askedAt{};
};

/** Outcome of an append. */
struct AppendOutcome
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  /** Offset behind the last record of the topic. */
  Offset m_end = 0;
};

} // namespace sapphirehook

#endif
