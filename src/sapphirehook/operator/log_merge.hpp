#ifndef SAPPHIREHOOK_OPERATOR_LOG_MERGE_HPP
#define SAPPHIREHOOK_OPERATOR_LOG_MERGE_HPP

#include "sapphirehook/operator/log_entry.hpp"

#include <cstdint>
#include <istream>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace sapphirehook {

/** Merges the logs of several processes in order of time. Memory is
    proportional to the number of logs. The order of the lines within a log is
    kept, even where its clock was set back. */
class LogMerge
{
public:
  explicit LogMerge(std::vector<std::unique_ptr<std::istream>> aLogs);

  /** Returns the earliest entry that is left, or empty at the end of all
      logs. */
  [[nodiscard]] std::optional<LogEntry> Next();

  /** Number of lines skipped so far because they are not entries or are too
      long. */
  [[nodiscard]] std::uint64_t Skipped() const noexcept { return m_skipped; }

private:
  /** The first entry of a log that Next() has not returned. */
  struct Head
  {
    /** Latest time in the log up to and including this entry. */
    Millis m_sortTime{};
    std::size_t m_log = 0;
    LogEntry m_entry;
  };
  struct IsLater
  {
    [[nodiscard]] bool operator()(const Head& aLeft,
                                  const Head& aRight) const noexcept;
  };

  void Advance(std::size_t aLog, Millis aNotBefore);

  std::vector<std::unique_ptr<std::istream>> m_logs;
  std::priority_queue<Head, std::vector<Head>, IsLater> m_heads;
  std::uint64_t m_skipped = 0;
};

} // namespace sapphirehook

#endif
