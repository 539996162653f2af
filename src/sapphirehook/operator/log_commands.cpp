#include "sapphirehook/operator/log_commands.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/operator/log_merge.hpp"
#include "sapphirehook/operator/request_story.hpp"

#include <absl/status/statusor.h>
#include <fstream>

namespace sapphirehook {

namespace {

/** Gives each entry of logs to a function, in order of time. Returns how many
    lines were no entries. */
template<typename Function>
absl::StatusOr<std::uint64_t>
ReadLogs(const std::vector<std::string>& aPaths, Function aFunction)
{
  std::vector<std::unique_ptr<std::istream>> logs;
  for (const auto& path : aPaths) {
    auto file = std::make_unique<std::ifstream>(path);
    if (!*file) {
      return absl::InvalidArgumentError(Concat(path, ": cannot be read"));
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
  RequestStory story(aId);
  const auto first = ReadLogs(
    aPaths, [&](const LogEntry& aEntry) { story.AddFromFirstReading(aEntry); });
  if (!first.ok()) {
    return first.status();
  }
  if (!story.IsKnown()) {
    return absl::NotFoundError(
      Concat("no line of these logs has the id ",
             aId,
             "; requests that went well are logged by sample"));
  }
  const auto skipped = ReadLogs(aPaths, [&](const LogEntry& aEntry) {
    story.AddFromSecondReading(aEntry);
  });
  if (!skipped.ok()) {
    return skipped.status();
  }
  aOut << "seconds from the arrival of " << aId << ":\n";
  for (const auto& line : story.Lines()) {
    aOut << FormatLogEntry(line, story.ArrivedAt()) << "\n";
  }
  if (story.LeftOut() > 0) {
    aOut << story.LeftOut() << " earlier lines left out\n";
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
                    const bool named =
                      aFilter.m_endpoint.empty() ||
                      (endpoint != nullptr &&
                       endpoint->find(aFilter.m_endpoint) != std::string::npos);
                    if (aEntry.Find("id") == nullptr && named &&
                        aEntry.m_wall >= aFilter.m_since) {
                      start = start.value_or(aEntry.m_wall);
                      aOut << FormatLogEntry(aEntry, *start) << "\n";
                    }
                  })
    .status();
}

} // namespace sapphirehook
