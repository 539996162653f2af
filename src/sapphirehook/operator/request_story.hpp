#ifndef SAPPHIREHOOK_OPERATOR_REQUEST_STORY_HPP
#define SAPPHIREHOOK_OPERATOR_REQUEST_STORY_HPP

#include "sapphirehook/operator/log_entry.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

/** What the logs tell of one request: its own lines, and what daemons came to
    believe shortly before about the endpoints and the key that it needed. The
    logs are read twice, since what matters is known only from the request's
    own lines. Memory is bounded: of each kind of line the latest are kept. */
class RequestStory
{
public:
  /** Most lines that are kept, of the request and of beliefs each. */
  static constexpr std::size_t kMaxLines = 200;

  /** Changes of belief this long before the request's first line are told: as
      long as a lost holder's keys can stay unserved. */
  static constexpr Millis kBefore{ 10'000 };

  explicit RequestStory(std::string aId)
    : m_id(std::move(aId))
  {
  }

  /** Takes a line of the first reading. */
  void AddFromFirstReading(const LogEntry& aEntry);

  /** Takes a line of the second reading. */
  void AddFromSecondReading(const LogEntry& aEntry);

  /** Whether any line told of the request. */
  [[nodiscard]] bool IsKnown() const noexcept { return !m_own.empty(); }

  /** When the request arrived, by the log of the daemon that ended it. */
  [[nodiscard]] Millis ArrivedAt() const noexcept { return m_arrivedAt; }

  /** Returns the lines in order of time. */
  [[nodiscard]] std::vector<LogEntry> Lines() const;

  /** Number of lines that were left out since there were too many. */
  [[nodiscard]] std::uint64_t LeftOut() const noexcept { return m_leftOut; }

private:
  [[nodiscard]] bool Matters(const LogEntry& aEntry) const;
  [[nodiscard]] bool HoldsKey(const LogEntry& aEntry) const;
  void Keep(std::deque<LogEntry>& aLines, const LogEntry& aEntry);

  std::string m_id;
  std::deque<LogEntry> m_own;
  std::deque<LogEntry> m_beliefs;
  std::uint64_t m_leftOut = 0;
  Millis m_arrivedAt{};
  Millis m_endedAt{};
  std::set<std::string> m_hosts;
  std::set<std::string> m_endpoints;
  std::string m_service;
  std::optional<long long> m_key;
};

} // namespace sapphirehook

#endif
