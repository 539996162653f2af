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

/** An event at one daemon. */
struct TimelineEvent
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  /** Sequence number among the daemon's events. */
  std::uint64_t m_number = 0;
  /** Next offset of the state stream at the time of the event. Orders events
      of different daemons causally. */
  Offset m_offset = 0;
  Millis m_monotonic{};
  Millis m_wall{};
  std::string m_kind;
  std::string m_group;
  std::string m_endpoint;
  std::string m_detail;
};

/** Keeps the newest kCapacity events of one daemon. Thread-safe. */
class Timeline
{
public:
  static constexpr std::size_t kCapacity = 8192;

  explicit Timeline(HostId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** Adds an event. Sets its host, incarnation, number and times. */
  void Add(TimelineEvent aEvent);

  /** Returns the kept events, oldest first. */
  [[nodiscard]] std::vector<TimelineEvent> Events() const;

private:
  HostId m_self;
  mutable std::mutex m_mutex;
  std::uint64_t m_lastNumber = 0;
  std::deque<TimelineEvent> m_events;
};

/** Selects events. Empty members match every event. */
struct TimelineFilter
{
  std::string m_group;
  std::string m_endpoint;
  Millis m_since{};
};

/** Serializes events as JSON. */
[[nodiscard]] std::string
EncodeTimeline(const std::vector<TimelineEvent>& aEvents);

/** Parses events from JSON. Returns InvalidArgument if the text is malformed.
 */
[[nodiscard]] absl::StatusOr<std::vector<TimelineEvent>>
ParseTimeline(const std::string& aText);

/** Merges the events of several daemons in causal order: by offset of the
    state stream, then by wall clock. The order of the events of each daemon is
    kept. */
[[nodiscard]] std::vector<TimelineEvent>
MergeTimelines(std::vector<std::vector<TimelineEvent>> aTimelines,
               const TimelineFilter& aFilter);

/** Renders events as a self-contained HTML page with a column per host. */
[[nodiscard]] std::string
RenderTimeline(const std::vector<TimelineEvent>& aEvents);

} // namespace sapphirehook

#endif
