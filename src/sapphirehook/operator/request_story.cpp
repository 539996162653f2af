#include "sapphirehook/operator/request_story.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace sapphirehook {

namespace {

/** Fields that name an endpoint. */
constexpr std::array<std::string_view, 3> kEndpointFields{ "endpoint",
                                                           "holder",
                                                           "to" };

/** Events that matter to a request whichever daemon logs them. */
constexpr std::array<std::string_view, 2> kFleetEvents{ "leads",
                                                        "stops-leading" };

/** Events of endpoints and ranges: they matter by what they name. */
constexpr std::array<std::string_view, 5> kNamedEvents{
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
RequestStory::Keep(std::deque<LogEntry>& aLines, const LogEntry& aEntry)
{
  aLines.push_back(aEntry);
  if (aLines.size() > kMaxLines) {
    aLines.pop_front();
    ++m_leftOut;
  }
}

void
RequestStory::AddFromFirstReading(const LogEntry& aEntry)
{
  const auto* id = aEntry.Find("id");
  if (id == nullptr || *id != m_id) {
    return;
  }
  const Millis took(aEntry.FindNumber("took_ms").value_or(0));
  const Millis began = aEntry.m_wall - took;
  m_arrivedAt = m_own.empty() ? began : std::min(m_arrivedAt, began);
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
  Keep(m_own, aEntry);
}

void
RequestStory::AddFromSecondReading(const LogEntry& aEntry)
{
  if (aEntry.m_wall >= m_arrivedAt - kBefore && aEntry.m_wall <= m_endedAt &&
      aEntry.Find("id") == nullptr && Matters(aEntry)) {
    Keep(m_beliefs, aEntry);
  }
}

bool
RequestStory::Matters(const LogEntry& aEntry) const
{
  if (IsOneOf(kFleetEvents, aEntry.m_event)) {
    return true;
  }
  if (aEntry.m_event == "log-lines-dropped") {
    // Of requests that went well only a sample is logged in any case.
    return m_hosts.contains(aEntry.m_host) &&
           aEntry.FindNumber("events").value_or(0) > 0;
  }
  if (!IsOneOf(kNamedEvents, aEntry.m_event)) {
    return m_hosts.contains(aEntry.m_host);
  }
  const bool namesEndpoint = std::any_of(
    kEndpointFields.begin(), kEndpointFields.end(), [&](const auto aField) {
      const auto* name = aEntry.Find(aField);
      return name != nullptr && m_endpoints.contains(*name);
    });
  return aEntry.Find("first") != nullptr ? HoldsKey(aEntry) : namesEndpoint;
}

/** Whether an event of a range is about the request's key. */
bool
RequestStory::HoldsKey(const LogEntry& aEntry) const
{
  const auto first = aEntry.FindNumber("first");
  const auto last = aEntry.FindNumber("last");
  const auto* service = aEntry.Find("service");
  return m_key && first && last && *first <= *m_key && *m_key <= *last &&
         (service == nullptr || *service == m_service);
}

std::vector<LogEntry>
RequestStory::Lines() const
{
  std::vector<LogEntry> lines(m_beliefs.begin(), m_beliefs.end());
  lines.insert(lines.end(), m_own.begin(), m_own.end());
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const LogEntry& aLeft, const LogEntry& aRight) {
                     return aLeft.m_wall < aRight.m_wall;
                   });
  return lines;
}

} // namespace sapphirehook
