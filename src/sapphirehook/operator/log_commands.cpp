#include "sapphirehook/operator/log_commands.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/operator/log_merge.hpp"
#include "sapphirehook/operator/request_story.hpp"

#include <absl/status/statusor.h>
#include <fstream>

namespace sapphirehook {

namespace {

absl::StatusOr<LogMerge>
OpenLogs(const std::vector<std::string>& aPaths)
{
  std::vector<std::unique_ptr<std::istream>> logs;
  for (const auto& path : aPaths) {
    auto file = std::make_unique<std::ifstream>(path);
    if (!*file) {
      return absl::InvalidArgumentError(Concat(path, ": cannot be read"));
    }
    logs.push_back(std::move(file));
  }
  return LogMerge(std::move(logs));
}

} // namespace

absl::Status
ExplainRequest(std::ostream& aOut,
               const std::string& aId,
               const std::vector<std::string>& aPaths)
{
  RequestStory story(aId);
  auto first = OpenLogs(aPaths);
  if (!first.ok()) {
    return first.status();
  }
  while (const auto entry = first->Next()) {
    story.AddFromFirstReading(*entry);
  }
  if (!story.IsKnown()) {
    return absl::NotFoundError(
      Concat("no line of these logs has the id ",
             aId,
             "; requests that went well are logged by sample"));
  }
  auto second = OpenLogs(aPaths);
  if (!second.ok()) {
    return second.status();
  }
  while (const auto entry = second->Next()) {
    story.AddFromSecondReading(*entry);
  }
  aOut << "seconds from the arrival of " << aId << ":\n";
  for (const auto& line : story.Lines()) {
    aOut << FormatLogEntry(line, story.ArrivedAt()) << "\n";
  }
  if (story.LeftOut() > 0) {
    aOut << story.LeftOut() << " earlier lines left out\n";
  }
  if (second->Skipped() > 0) {
    aOut << second->Skipped() << " lines were not a gateway's\n";
  }
  return absl::OkStatus();
}

absl::Status
PrintLogTimeline(std::ostream& aOut,
                 const std::vector<std::string>& aPaths,
                 const TimelineFilter& aFilter)
{
  auto logs = OpenLogs(aPaths);
  if (!logs.ok()) {
    return logs.status();
  }
  std::optional<Millis> start;
  while (const auto entry = logs->Next()) {
    const auto* endpoint = entry->Find("endpoint");
    const bool named =
      aFilter.m_endpoint.empty() ||
      (endpoint != nullptr &&
       endpoint->find(aFilter.m_endpoint) != std::string::npos);
    if (entry->Find("id") == nullptr && named &&
        entry->m_wall >= aFilter.m_since) {
      start = start.value_or(entry->m_wall);
      aOut << FormatLogEntry(*entry, *start) << "\n";
    }
  }
  return absl::OkStatus();
}

} // namespace sapphirehook
