#include "sapphirehook/operator/log_merge.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

namespace sapphirehook {

namespace {

/** Longest line that is read, in bytes; a gateway's lines are below 1 KB. */
constexpr std::size_t kMaxLine = 65'536;

/** Reads one line. Returns false at the end; a line beyond the limit becomes
    an empty one. */
bool
ReadLine(std::istream& aFrom, std::string& aLine)
{
  aLine.resize(kMaxLine);
  aFrom.getline(aLine.data(), static_cast<std::streamsize>(kMaxLine));
  const auto taken = static_cast<std::size_t>(aFrom.gcount());
  if (aFrom.fail() && !aFrom.eof() && taken > 0) {
    aFrom.clear();
    aFrom.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    aLine.clear();
    return true;
  }
  if (taken == 0) {
    return false;
  }
  // The count includes the line's end, unless the log ends without one.
  aLine.resize(aFrom.eof() ? taken : taken - 1);
  return true;
}

} // namespace

bool
LogMerge::IsLater::operator()(const Head& aLeft,
                              const Head& aRight) const noexcept
{
  return std::tie(aLeft.m_order, aLeft.m_log) >
         std::tie(aRight.m_order, aRight.m_log);
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
  Advance(head.m_log, head.m_order);
  return std::move(head.m_entry);
}

/** Takes the next entry of a log in; one from before an earlier entry of its
   log counts as simultaneous with that. */
void
LogMerge::Advance(std::size_t aLog, Millis aNotBefore)
{
  std::string line;
  while (ReadLine(*m_logs[aLog], line)) {
    if (auto entry = ParseLogEntry(line)) {
      const auto order = std::max(aNotBefore, entry->m_wall);
      m_heads.push({ order, aLog, *std::move(entry) });
      return;
    }
    ++m_skipped;
  }
}

} // namespace sapphirehook
