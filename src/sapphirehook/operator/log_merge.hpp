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

/** Reads the logs of several processes as one, in order of time. Memory is
    bounded by the number of logs. Each log is taken to be in its own order,
    which is kept even where its clock was set back. */
class LogMerge
{
public:
  explicit LogMerge(std::vector<std::unique_ptr<std::istream>> aLogs);

  /** Returns the next entry of all logs, or nothing at their end. */
  [[nodiscard]] std::optional<LogEntry> Next();

  /** Number of lines so far that were no entries, or too long. */
  [[nodiscard]] std::uint64_t Skipped() const noexcept { return m_skipped; }

private:
  struct Head
  {
    /** The latest time in the log up to this entry. */
    Millis m_order{};
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
