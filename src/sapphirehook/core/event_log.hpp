#ifndef SAPPHIREHOOK_CORE_EVENT_LOG_HPP
#define SAPPHIREHOOK_CORE_EVENT_LOG_HPP

#include "sapphirehook/core/log_budget.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirehook {

/** One structured log line: a JSON object with the time, the host, the name of
    the event and its fields. */
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
  /** Adds a duration in whole milliseconds. */
  LogLine& Add(std::string_view aName, std::chrono::nanoseconds aDuration);

  [[nodiscard]] const std::string& Fields() const noexcept { return m_fields; }

  [[nodiscard]] const std::string& Event() const noexcept { return m_event; }

private:
  LogLine& AddNumber(std::string_view aName, long long aValue);

  std::string m_event;
  std::string m_fields;
};

/** Writes log lines to standard output without blocking. Lines above the limit
    per second are dropped and counted, routine lines first. */
class EventLog
{
public:
  explicit EventLog(std::string aHost);

  void Write(const LogLine& aLine, LogPriority aPriority = LogPriority::Event);

  /** Writes the buffered lines to standard output. Bytes that it does not
      accept stay in the buffer; once the buffer exceeds its limit, new lines
      are dropped and counted. */
  void Flush();

private:
  void ReportDropped();

  std::string m_host;
  std::string m_buffer;
  LogBudget m_budget;
  /** Lines dropped since the last report of dropped lines. */
  std::uint64_t m_droppedRoutine = 0;
  std::uint64_t m_droppedEvents = 0;
};

} // namespace sapphirehook

#endif
