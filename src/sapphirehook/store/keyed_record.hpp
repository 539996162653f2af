#ifndef SAPPHIREHOOK_STORE_KEYED_RECORD_HPP
#define SAPPHIREHOOK_STORE_KEYED_RECORD_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/store/store_position.hpp"

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
  /** Empty if the record removes its key. */
  std::optional<std::string> m_value;
};

/** How the store answered a call. */
enum class StoreAnswer : unsigned char
{
  Ok,
  /** The store no longer keeps the requested records. */
  Forgotten,
  /** The topic does not end at the offset that the caller gave. The call had no
      effect. */
  Conflict,
  /** The store rejected the call. The call had no effect. */
  TurnedAway,
  /** The store did not answer. A write may have taken effect or may take effect
      later. */
  NoAnswer,
  /** The answer could not be parsed. */
  Malformed,
  /** The store answered with an earlier era than one that is known. The answer
      is not used. */
  EarlierEra,
};

/** Returns the name of an answer in log lines. */
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
    case StoreAnswer::EarlierEra:
      return "earlier-era";
  }
  return "unknown";
}

/** One page of a topic's records. */
struct KeyedPage
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  std::vector<KeyedRecord> m_records;
  /** Offset after the last record of the topic. */
  Offset m_end = 0;
  /** Whether more keys follow the last one of this page. */
  bool m_hasMore = false;
  /** Number of records that could not be parsed. They are left out of m_records
      or have an empty key. */
  std::size_t m_unreadable = 0;
  /** Era of the store when it answered. Also set in failed calls that the store
      has answered. */
  StoreEra m_era = 0;
};

/** The store's confirmation that a topic ended at a position at a point in
    time: a copy up to that position was complete then. */
struct EndConfirmation
{
  StorePosition m_end;
  /** The time for which the end is confirmed. For a call that waited without
      receiving a record, this is the end of the wait. */
  TimePoint m_at{};
  /** When the call that returned this confirmation was made. */
  TimePoint m_askedAt{};
};

/** Outcome of an append. */
struct AppendOutcome
{
  StoreAnswer m_answer = StoreAnswer::NoAnswer;
  /** Offset after the last record of the topic. */
  Offset m_end = 0;
  /** Era of the store when it answered. */
  StoreEra m_era = 0;
};

} // namespace sapphirehook

#endif
