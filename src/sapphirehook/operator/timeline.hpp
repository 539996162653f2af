#ifndef SAPPHIREHOOK_OPERATOR_TIMELINE_HPP
#define SAPPHIREHOOK_OPERATOR_TIMELINE_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <absl/status/statusor.h>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace sapphirehook {

/** Something that happened at one daemon. */
struct TimelineEvent
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  /** Count of the daemon's events. */
  std::uint64_t m_number = 0;
  /** Next offset of the state stream when it happened: causal order. */
  Offset m_offset = 0;
  Millis m_monotonic{};
  Millis m_wall{};
  std::string m_kind;
  std::string m_group;
  std::string m_endpoint;
  std::string m_detail;
};

/** The newest events of one daemon, in bounded memory. Callable from any
    thread. */
class Timeline
{
public:
  static constexpr std::size_t kCapacity = 8192;

  explicit Timeline(HostId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** Adds an event; its host, number and times are filled in. */
  void Add(TimelineEvent aEvent);

  /** Returns the kept events, the oldest first. */
  [[nodiscard]] std::vector<TimelineEvent> Events() const;

private:
  HostId m_self;
  mutable std::mutex m_mutex;
  std::uint64_t m_lastNumber = 0;
  std::deque<TimelineEvent> m_events;
};

/** Which events to show; empty members match everything. */
struct TimelineFilter
{
  std::string m_group;
  std::string m_endpoint;
  Millis m_since{};
};

/** Returns the JSON form of events. */
[[nodiscard]] std::string
EncodeTimeline(const std::vector<TimelineEvent>& aEvents);

/** Parses the JSON form of events. Returns InvalidArgument when it is none. */
[[nodiscard]] absl::StatusOr<std::vector<TimelineEvent>>
ParseTimeline(const std::string& aText);

/** Returns the events of several daemons in causal order: by offset of the
    state stream, then by each daemon's own order and the wall clock. */
[[nodiscard]] std::vector<TimelineEvent>
MergeTimelines(std::vector<std::vector<TimelineEvent>> aTimelines,
               const TimelineFilter& aFilter);

/** Returns events as a self-contained HTML page, a column for each host. */
[[nodiscard]] std::string
RenderTimeline(const std::vector<TimelineEvent>& aEvents);

} // namespace sapphirehook

#endif
