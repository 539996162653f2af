#ifndef SAPPHIREHOOK_OPERATOR_REQUEST_TRACE_HPP
#define SAPPHIREHOOK_OPERATOR_REQUEST_TRACE_HPP

#include "sapphirehook/operator/log_entry.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

/** Collects the log lines of one request, and the state changes of daemons
    shortly before it that concern its endpoints and its key. The logs are read
    in two passes, because the relevant endpoints and the key are known only
    after the lines of the request have been read. Memory is bounded: only the
    newest lines of each kind are kept. */
class RequestTrace
{
public:
  /** Maximum number of kept lines, for the request's own lines and for state
      changes each. */
  static constexpr std::size_t kMaxLines = 200;

  /** State changes up to this long before the request's arrival are included.
      The keys of a lost holder can stay unserved for this long. */
  static constexpr Millis kLookback{ 10'000 };

  explicit RequestTrace(std::string aId)
    : m_id(std::move(aId))
  {
  }

  /** Processes an entry of the first pass. */
  void AddFromFirstPass(const LogEntry& aEntry);

  /** Processes an entry of the second pass. */
  void AddFromSecondPass(const LogEntry& aEntry);

  /** Returns whether the first pass found a line of the request. */
  [[nodiscard]] bool IsKnown() const noexcept
  {
    return !m_requestLines.empty();
  }

  /** Arrival time of the request on the clock of the daemon that ended it. */
  [[nodiscard]] Millis ArrivedAt() const noexcept { return m_arrivedAt; }

  /** Returns the kept lines in order of time. */
  [[nodiscard]] std::vector<LogEntry> Lines() const;

  /** Number of lines that were dropped because of kMaxLines. */
  [[nodiscard]] std::uint64_t DroppedLines() const noexcept
  {
    return m_droppedLines;
  }

private:
  [[nodiscard]] bool IsRelevant(const LogEntry& aEntry) const;
  [[nodiscard]] bool CoversKey(const LogEntry& aEntry) const;
  void AppendBounded(std::deque<LogEntry>& aLines, const LogEntry& aEntry);

  std::string m_id;
  std::deque<LogEntry> m_requestLines;
  std::deque<LogEntry> m_stateChanges;
  std::uint64_t m_droppedLines = 0;
  Millis m_arrivedAt{};
  Millis m_endedAt{};
  std::set<std::string> m_hosts;
  std::set<std::string> m_endpoints;
  std::string m_service;
  std::optional<long long> m_key;
};

} // namespace sapphirehook

#endif
