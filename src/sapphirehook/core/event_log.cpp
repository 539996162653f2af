#include "sapphirehook/core/event_log.hpp"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace sapphirehook {

namespace {

/** Above this number of bytes that standard output has not accepted, lines are
    dropped. */
constexpr std::size_t kMaxBufferBytes = 131'072;

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  constexpr char kFirstPrintable = 0x20;
  aText += '"';
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aText += '\\';
      aText += byte;
    } else if (byte >= 0 && byte < kFirstPrintable) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      aText += escaped.data();
    } else {
      aText += byte;
    }
  }
  aText += '"';
}

} // namespace

LogLine::LogLine(std::string_view aEvent)
  : m_event(aEvent)
{
  Add("event", aEvent);
}

LogLine&
LogLine::Add(std::string_view aName, std::string_view aValue)
{
  m_fields += ",\"";
  m_fields += aName;
  m_fields += "\":";
  AppendQuoted(m_fields, aValue);
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, std::chrono::nanoseconds aDuration)
{
  return AddNumber(aName,
                   std::chrono::duration_cast<Millis>(aDuration).count());
}

LogLine&
LogLine::AddNumber(std::string_view aName, long long aValue)
{
  m_fields += ",\"";
  m_fields += aName;
  m_fields += "\":";
  m_fields += std::to_string(aValue);
  return *this;
}

EventLog::EventLog(std::string aHost)
  : m_host(std::move(aHost))
{
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
EventLog::ReportDropped()
{
  if (m_droppedRoutine + m_droppedEvents > 0) {
    const auto routine = std::exchange(m_droppedRoutine, 0);
    const auto events = std::exchange(m_droppedEvents, 0);
    Write(LogLine("log-lines-dropped")
            .Add("routine", routine)
            .Add("events", events),
          LogPriority::State);
  }
}

void
EventLog::Write(const LogLine& aLine, LogPriority aPriority)
{
  const Millis now = SinceBoot(BootClock::now());
  if (m_budget.BeginSecond(now)) {
    ReportDropped();
  }
  if (m_buffer.size() > kMaxBufferBytes || !m_budget.TryTake(aPriority)) {
    ++(aPriority == LogPriority::Routine ? m_droppedRoutine : m_droppedEvents);
    return;
  }
  const auto wall = std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
  m_buffer += "{\"t_ms\":" + std::to_string(wall.count()) +
              ",\"boot_ms\":" + std::to_string(now.count()) + ",\"host\":\"" +
              m_host + "\"" + aLine.Fields() + "}\n";
}

void
EventLog::Flush()
{
  if (m_buffer.empty()) {
    return;
  }
  const auto written = write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
  if (written > 0) {
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace sapphirehook
