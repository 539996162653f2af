#ifndef SAPPHIREHOOK_CORE_EVENT_LOG_HPP
#define SAPPHIREHOOK_CORE_EVENT_LOG_HPP

#include "sapphirehook/core/log_budget.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirehook {

/** One structured line: a JSON object with the time, the host, the event's
    name and its fields. */
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& Add(std::string_view aName, std::string_view aValue);
  LogLine& Add(std::string_view aName, const char* aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  template<std::integral Number>
  LogLine& Add(std::string_view aName, Number aValue)
  {
    return AddNumber(aName, static_cast<long long>(aValue));
  }
  /** Adds a span in whole milliseconds. */
  LogLine& Add(std::string_view aName, std::chrono::nanoseconds aSpan);

  [[nodiscard]] const std::string& Fields() const noexcept { return m_fields; }

  [[nodiscard]] const std::string& Event() const noexcept { return m_event; }

private:
  LogLine& AddNumber(std::string_view aName, long long aValue);

  std::string m_event;
  std::string m_fields;
};

/** Writes lines to standard output without ever waiting. Lines beyond the
    budget of a second are counted and left out, routine ones first. */
class EventLog
{
public:
  explicit EventLog(std::string aHost);

  void Write(const LogLine& aLine, LogRank aRank = LogRank::Event);

  /** Hands the gathered lines to the system; what it does not take is kept
      up to a limit, then dropped and counted. */
  void Flush();

private:
  void TellDropped();

  std::string m_host;
  std::string m_buffer;
  LogBudget m_budget;
  /** Lines of each rank that were left out since the last line that says so. */
  std::uint64_t m_droppedRoutine = 0;
  std::uint64_t m_droppedEvents = 0;
};

} // namespace sapphirehook

#endif
