#ifndef SAPPHIREHOOK_SOAK_HISTORY_HPP
#define SAPPHIREHOOK_SOAK_HISTORY_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace sapphirehook::soak {

/** Kind of an event in an endpoint's history. */
enum class HistoryEventKind : unsigned char
{
  /** The endpoint accepted a grant of a range with a fence and an expiry. */
  GrantAccepted,
  /** The endpoint starts no more requests on a range. */
  Released,
  /** The endpoint started a request, under a fence if the request has a key. */
  RequestStarted,
  /** The endpoint finished a request with a status. */
  RequestEnded,
  /** The store accepted the entry that marks the endpoint as draining. */
  DrainAccepted,
};

/** One event of an endpoint's history. */
struct HistoryEvent
{
  HistoryEventKind m_kind = HistoryEventKind::GrantAccepted;
  TimePoint m_at{};
  /** The request's id; "-" for events about ranges. */
  std::string m_id = "-";
  KeyRange m_range = {};
  Fence m_fence = 0;
  TimePoint m_until{};
  int m_status = 0;
};

/** Writes events to a file. Each line is flushed at once, so that a kill of the
    process loses no event. */
class HistoryWriter
{
public:
  explicit HistoryWriter(const std::string& aPath);
  ~HistoryWriter();
  HistoryWriter(const HistoryWriter&) = delete;
  HistoryWriter& operator=(const HistoryWriter&) = delete;

  void Write(const HistoryEvent& aEvent);

private:
  std::FILE* m_file;
};

/** Reads the events of a history file. A last line that a kill truncated is
    skipped. */
[[nodiscard]] std::vector<HistoryEvent>
ReadHistory(const std::string& aPath);

} // namespace sapphirehook::soak

#endif
