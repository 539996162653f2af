#include "sapphirehook/operator/timeline.hpp"

#include "sapphirehook/core/json_text.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace sapphirehook {

namespace {

using Json = nlohmann::json;

Json
ToJson(const TimelineEvent& aEvent)
{
  return { { "host", aEvent.m_host },
           { "incarnation", aEvent.m_incarnation },
           { "number", aEvent.m_number },
           { "offset", aEvent.m_offset },
           { "monotonic_ms", aEvent.m_monotonic.count() },
           { "wall_ms", aEvent.m_wall.count() },
           { "kind", aEvent.m_kind },
           { "group", aEvent.m_group },
           { "endpoint", aEvent.m_endpoint },
           { "detail", aEvent.m_detail } };
}

TimelineEvent
FromJson(const Json& aJson)
{
  TimelineEvent event;
  event.m_host = aJson.at("host").get<std::string>();
  event.m_incarnation = aJson.at("incarnation").get<std::uint64_t>();
  event.m_number = aJson.at("number").get<std::uint64_t>();
  event.m_offset = aJson.at("offset").get<Offset>();
  event.m_monotonic = Millis(aJson.at("monotonic_ms").get<Millis::rep>());
  event.m_wall = Millis(aJson.at("wall_ms").get<Millis::rep>());
  event.m_kind = aJson.at("kind").get<std::string>();
  event.m_group = aJson.at("group").get<std::string>();
  event.m_endpoint = aJson.at("endpoint").get<std::string>();
  event.m_detail = aJson.at("detail").get<std::string>();
  return event;
}

bool
Matches(const TimelineEvent& aEvent, const TimelineFilter& aFilter)
{
  const bool group =
    aFilter.m_group.empty() || aEvent.m_group == aFilter.m_group;
  const bool endpoint =
    aFilter.m_endpoint.empty() ||
    aEvent.m_endpoint.find(aFilter.m_endpoint) != std::string::npos;
  return group && endpoint && aEvent.m_wall >= aFilter.m_since;
}

std::string
EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

} // namespace

void
Timeline::Add(TimelineEvent aEvent)
{
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const std::lock_guard lock(m_mutex);
  aEvent.m_host = m_self.m_host;
  aEvent.m_incarnation = m_self.m_incarnation;
  aEvent.m_number = ++m_lastNumber;
  aEvent.m_monotonic = SinceBoot(BootClock::now());
  aEvent.m_wall = std::chrono::duration_cast<Millis>(wall);
  m_events.push_back(std::move(aEvent));
  if (m_events.size() > kCapacity) {
    m_events.pop_front();
  }
}

std::vector<TimelineEvent>
Timeline::Events() const
{
  const std::lock_guard lock(m_mutex);
  return { m_events.begin(), m_events.end() };
}

std::string
EncodeTimeline(const std::vector<TimelineEvent>& aEvents)
{
  Json list = Json::array();
  for (const auto& event : aEvents) {
    list.push_back(ToJson(event));
  }
  return SerializeJson(list);
}

absl::StatusOr<std::vector<TimelineEvent>>
ParseTimeline(const std::string& aText)
{
  std::vector<TimelineEvent> events;
  try {
    for (const auto& item : Json::parse(aText)) {
      events.push_back(FromJson(item));
    }
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return events;
}

std::vector<TimelineEvent>
MergeTimelines(std::vector<std::vector<TimelineEvent>> aTimelines,
               const TimelineFilter& aFilter)
{
  std::vector<TimelineEvent> merged;
  for (auto& events : aTimelines) {
    Offset offset = 0;
    Millis wall{};
    for (auto& event : events) {
      // Keeps the order of the daemon's own events, even if its clock was set
      // back.
      offset = std::max(offset, event.m_offset);
      wall = std::max(wall, event.m_wall);
      event.m_offset = offset;
      event.m_wall = wall;
      if (Matches(event, aFilter)) {
        merged.push_back(std::move(event));
      }
    }
  }
  const auto sortKey = [](const TimelineEvent& aEvent) {
    return std::tie(aEvent.m_offset,
                    aEvent.m_wall,
                    aEvent.m_host,
                    aEvent.m_incarnation,
                    aEvent.m_number);
  };
  std::sort(merged.begin(),
            merged.end(),
            [&](const TimelineEvent& aLeft, const TimelineEvent& aRight) {
              return sortKey(aLeft) < sortKey(aRight);
            });
  return merged;
}

std::string
RenderTimeline(const std::vector<TimelineEvent>& aEvents)
{
  std::set<std::string> hosts;
  for (const auto& event : aEvents) {
    hosts.insert(event.m_host);
  }
  std::string page =
    "<!doctype html><meta charset=utf-8><title>time line</title><style>"
    "body{font:13px sans-serif}td,th{border:1px solid #ccc;padding:2px 6px;"
    "vertical-align:top}table{border-collapse:collapse}</style><table><tr>"
    "<th>offset<th>ms";
  for (const auto& host : hosts) {
    page += "<th>" + EscapeHtml(host);
  }
  const auto start = aEvents.empty() ? Millis{} : aEvents.front().m_wall;
  for (const auto& event : aEvents) {
    page += Concat(
      "<tr><td>", event.m_offset, "<td>", (event.m_wall - start).count());
    for (const auto& host : hosts) {
      page += "<td>";
      if (host == event.m_host) {
        page += Concat("<b>", EscapeHtml(event.m_kind), "</b> ");
        page += EscapeHtml(
          Concat(event.m_group, " ", event.m_endpoint, " ", event.m_detail));
      }
    }
  }
  return page + "</table>\n";
}

} // namespace sapphirehook
