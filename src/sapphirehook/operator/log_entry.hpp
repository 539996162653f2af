#ifndef SAPPHIREHOOK_OPERATOR_LOG_ENTRY_HPP
#define SAPPHIREHOOK_OPERATOR_LOG_ENTRY_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirehook {

/** A parsed line of a gateway's log. */
struct LogEntry
{
  /** Wall-clock time of the host. */
  Millis m_wall{};
  std::string m_host;
  std::string m_event;
  /** The remaining fields in the order of the line. Numbers are kept as
      text. */
  std::vector<std::pair<std::string, std::string>> m_fields;

  /** Returns the value of a field, or null if the line lacks the field. */
  [[nodiscard]] const std::string* Find(std::string_view aName) const noexcept;

  /** Returns the value of a field as a number. Empty if the field is missing
      or not an integer. */
  [[nodiscard]] std::optional<long long> FindNumber(
    std::string_view aName) const noexcept;
};

/** Parses a line of a log. Skips text before the first brace, because log
    collectors add a prefix. Returns empty if the rest was not written by a
    gateway. */
[[nodiscard]] std::optional<LogEntry>
ParseLogEntry(std::string_view aLine);

/** Formats an entry as one human-readable line. The time is in seconds
    relative to aStart. */
[[nodiscard]] std::string
FormatLogEntry(const LogEntry& aEntry, Millis aStart);

} // namespace sapphirehook

#endif
