#include "sapphirehook/operator/log_commands.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/operator/log_merge.hpp"
#include "sapphirehook/operator/request_trace.hpp"

#include <absl/status/statusor.h>
#include <fstream>

namespace sapphirehook {

namespace {

/** Calls a function for each entry of the logs in order of time. Returns the
    number of lines that were skipped because they are not entries. */
template<typename Function>
absl::StatusOr<std::uint64_t>
ReadLogs(const std::vector<std::string>& aPaths, Function aFunction)
{
  std::vector<std::unique_ptr<std::istream>> logs;
  for (const auto& path : aPaths) {
    auto file = std::make_unique<std::ifstream>(path);
    if (!*file) {
      return absl::InvalidArgumentError(
        Concat(path, ": cannot open the log file"));
    }
    logs.push_back(std::move(file));
  }
  LogMerge merge(std::move(logs));
  while (const auto entry = merge.Next()) {
    aFunction(*entry);
  }
  return merge.Skipped();
}

} // namespace

absl::Status
ExplainRequest(std::ostream& aOut,
               const std::string& aId,
               const std::vector<std::string>& aPaths)
{
  RequestTrace trace(aId);
  const auto first = ReadLogs(
    aPaths, [&](const LogEntry& aEntry) { trace.AddFromFirstPass(aEntry); });
  if (!first.ok()) {
    return first.status();
  }
  if (!trace.IsKnown()) {
    return absl::NotFoundError(
      Concat("no line of the given logs has the id ",
             aId,
             "; only a sample of the successful requests is logged"));
  }
  const auto skipped = ReadLogs(
    aPaths, [&](const LogEntry& aEntry) { trace.AddFromSecondPass(aEntry); });
  if (!skipped.ok()) {
    return skipped.status();
  }
  aOut << "seconds from the arrival of " << aId << ":\n";
  for (const auto& line : trace.Lines()) {
    aOut << FormatLogEntry(line, trace.ArrivedAt()) << "\n";
  }
  if (trace.DroppedLines() > 0) {
    aOut << trace.DroppedLines() << " earlier lines left out\n";
  }
  if (*skipped > 0) {
    aOut << *skipped << " lines were not a gateway's\n";
  }
  return absl::OkStatus();
}

absl::Status
PrintLogTimeline(std::ostream& aOut,
                 const std::vector<std::string>& aPaths,
                 const TimelineFilter& aFilter)
{
  std::optional<Millis> start;
  return ReadLogs(aPaths,
                  [&](const LogEntry& aEntry) {
                    const auto* endpoint = aEntry.Find("endpoint");
                    const bool endpointMatches =
                      aFilter.m_endpoint.empty() ||
                      (endpoint != nullptr &&
                       endpoint->find(aFilter.m_endpoint) != std::string::npos);
                    if (aEntry.Find("id") == nullptr && endpointMatches &&
                        aEntry.m_wall >= aFilter.m_since) {
                      start = start.value_or(aEntry.m_wall);
                      aOut << FormatLogEntry(aEntry, *start) << "\n";
                    }
                  })
    .status();
}

} // namespace sapphirehook
