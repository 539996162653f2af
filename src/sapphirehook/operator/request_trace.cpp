#include "sapphirehook/operator/request_trace.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace sapphirehook {

namespace {

/** Fields that name an endpoint. */
constexpr std::array<std::string_view, 3> kEndpointFields{ "endpoint",
                                                           "holder",
                                                           "to" };

/** Events that are relevant to every request, whichever daemon logs them. */
constexpr std::array<std::string_view, 2> kLeadershipEvents{ "leads",
                                                             "stops-leading" };

/** Events of endpoints and ranges. They are relevant if they name an endpoint
    or cover the key of the request. */
constexpr std::array<std::string_view, 5> kObjectEvents{
  "endpoint-entry",
  "endpoint-entry-rejected",
  "endpoint-removed",
  "range-moves",
  "release-sent"
};

template<std::size_t Count>
[[nodiscard]] bool
IsOneOf(const std::array<std::string_view, Count>& aNames,
        std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

void
RequestTrace::AppendBounded(std::deque<LogEntry>& aLines,
                            const LogEntry& aEntry)
{
  aLines.push_back(aEntry);
  if (aLines.size() > kMaxLines) {
    aLines.pop_front();
    ++m_droppedLines;
  }
}

void
RequestTrace::AddFromFirstPass(const LogEntry& aEntry)
{
  const auto* id = aEntry.Find("id");
  if (id == nullptr || *id != m_id) {
    return;
  }
  const Millis took(aEntry.FindNumber("took_ms").value_or(0));
  const Millis began = aEntry.m_wall - took;
  m_arrivedAt = m_requestLines.empty() ? began : std::min(m_arrivedAt, began);
  m_endedAt = std::max(m_endedAt, aEntry.m_wall);
  m_hosts.insert(aEntry.m_host);
  for (const auto field : kEndpointFields) {
    if (const auto* name = aEntry.Find(field); name != nullptr) {
      m_endpoints.insert(*name);
    }
  }
  m_endpoints.erase("");
  if (const auto* service = aEntry.Find("service")) {
    m_service = *service;
  }
  if (const auto key = aEntry.FindNumber("key")) {
    m_key = key;
  }
  AppendBounded(m_requestLines, aEntry);
}

void
RequestTrace::AddFromSecondPass(const LogEntry& aEntry)
{
  if (aEntry.m_wall >= m_arrivedAt - kLookback && aEntry.m_wall <= m_endedAt &&
      aEntry.Find("id") == nullptr && IsRelevant(aEntry)) {
    AppendBounded(m_stateChanges, aEntry);
  }
}

bool
RequestTrace::IsRelevant(const LogEntry& aEntry) const
{
  if (IsOneOf(kLeadershipEvents, aEntry.m_event)) {
    return true;
  }
  if (aEntry.m_event == "log-lines-dropped") {
    // Dropped routine lines are not relevant: of the successful requests, only
    // a sample is logged in any case.
    return m_hosts.contains(aEntry.m_host) &&
           aEntry.FindNumber("events").value_or(0) > 0;
  }
  if (!IsOneOf(kObjectEvents, aEntry.m_event)) {
    return m_hosts.contains(aEntry.m_host);
  }
  const bool namesEndpoint = std::any_of(
    kEndpointFields.begin(), kEndpointFields.end(), [&](const auto aField) {
      const auto* name = aEntry.Find(aField);
      return name != nullptr && m_endpoints.contains(*name);
    });
  return aEntry.Find("first") != nullptr ? CoversKey(aEntry) : namesEndpoint;
}

/** Returns whether the range of an event contains the request's key. */
bool
RequestTrace::CoversKey(const LogEntry& aEntry) const
{
  const auto first = aEntry.FindNumber("first");
  const auto last = aEntry.FindNumber("last");
  const auto* service = aEntry.Find("service");
  return m_key && first && last && *first <= *m_key && *m_key <= *last &&
         (service == nullptr || *service == m_service);
}

std::vector<LogEntry>
RequestTrace::Lines() const
{
  std::vector<LogEntry> lines(m_stateChanges.begin(), m_stateChanges.end());
  lines.insert(lines.end(), m_requestLines.begin(), m_requestLines.end());
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const LogEntry& aLeft, const LogEntry& aRight) {
                     return aLeft.m_wall < aRight.m_wall;
                   });
  return lines;
}

} // namespace sapphirehook
