#include "sapphirehook/operator/log_merge.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

namespace sapphirehook {

namespace {

/** Maximum length of a line in bytes. The lines of a gateway are below 1 KB. */
constexpr std::size_t kMaxLineBytes = 65'536;

/** Reads one line. Returns false at the end of the stream. A line beyond the
    limit is returned as an empty line. */
bool
ReadLine(std::istream& aFrom, std::string& aLine)
{
  aLine.resize(kMaxLineBytes);
  aFrom.getline(aLine.data(), static_cast<std::streamsize>(kMaxLineBytes));
  const auto extracted = static_cast<std::size_t>(aFrom.gcount());
  if (aFrom.fail() && !aFrom.eof() && extracted > 0) {
    aFrom.clear();
    aFrom.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    aLine.clear();
    return true;
  }
  if (extracted == 0) {
    return false;
  }
  // The count includes the newline, unless the log ends without one.
  aLine.resize(aFrom.eof() ? extracted : extracted - 1);
  return true;
}

} // namespace

bool
LogMerge::IsLater::operator()(const Head& aLeft,
                              const Head& aRight) const noexcept
{
  return std::tie(aLeft.m_sortTime, aLeft.m_log) >
         std::tie(aRight.m_sortTime, aRight.m_log);
}

LogMerge::LogMerge(std::vector<std::unique_ptr<std::istream>> aLogs)
  : m_logs(std::move(aLogs))
{
  for (std::size_t log = 0; log < m_logs.size(); ++log) {
    Advance(log, Millis{});
  }
}

std::optional<LogEntry>
LogMerge::Next()
{
  if (m_heads.empty()) {
    return std::nullopt;
  }
  Head head = m_heads.top();
  m_heads.pop();
  Advance(head.m_log, head.m_sortTime);
  return std::move(head.m_entry);
}

/** Adds the next entry of a log to the heap. An entry with a time before
    aNotBefore, the sort time of the previous entry, is sorted at
    aNotBefore. */
void
LogMerge::Advance(std::size_t aLog, Millis aNotBefore)
{
  std::string line;
  while (ReadLine(*m_logs[aLog], line)) {
    if (auto entry = ParseLogEntry(line)) {
      const auto sortTime = std::max(aNotBefore, entry->m_wall);
      m_heads.push({ sortTime, aLog, *std::move(entry) });
      return;
    }
    ++m_skipped;
  }
}

} // namespace sapphirehook
