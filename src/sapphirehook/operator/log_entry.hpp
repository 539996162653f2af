#ifndef SAPPHIREHOOK_OPERATOR_LOG_ENTRY_HPP
#define SAPPHIREHOOK_OPERATOR_LOG_ENTRY_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirehook {

/** A line of a gateway's log. */
struct LogEntry
{
  /** Time of day by the host's clock. */
  Millis m_wall{};
  std::string m_host;
  std::string m_event;
  /** The other fields in the order of the line; numbers as text. */
  std::vector<std::pair<std::string, std::string>> m_fields;

  /** Returns a field's value, or null if the line has none of this name. */
  [[nodiscard]] const std::string* Find(std::string_view aName) const noexcept;

  /** Returns a field's value as a number, or nothing if it is none. */
  [[nodiscard]] std::optional<long long> FindNumber(
    std::string_view aName) const noexcept;
};

/** Parses a line of a log. Text before the first brace, as collectors of logs
    add it, is passed over. Returns nothing if the rest is no gateway's line. */
[[nodiscard]] std::optional<LogEntry>
ParseLogEntry(std::string_view aLine);

/** Returns an entry as one line for people, with its time relative to a start,
    in seconds. */
[[nodiscard]] std::string
FormatLogEntry(const LogEntry& aEntry, Millis aStart);

} // namespace sapphirehook

#endif
