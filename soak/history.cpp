#include "soak/history.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sapphirehook::soak {

namespace {

long long
Nanos(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

HistoryWriter::HistoryWriter(const std::string& aPath)
  : m_file(std::fopen(aPath.c_str(), "w"))
{
  if (m_file == nullptr) {
    throw std::runtime_error("cannot open history file for writing: " + aPath);
  }
  std::setvbuf(m_file, nullptr, _IOLBF, BUFSIZ);
}

HistoryWriter::~HistoryWriter()
{
  std::fclose(m_file);
}

void
HistoryWriter::Write(const HistoryEvent& aEvent)
{
  std::fprintf(m_file,
               "%d %lld %s %u %u %llu %lld %d .\n",
               static_cast<int>(aEvent.m_kind),
               Nanos(aEvent.m_at),
               aEvent.m_id.c_str(),
               unsigned{ aEvent.m_range.m_first },
               unsigned{ aEvent.m_range.m_last },
               static_cast<unsigned long long>(aEvent.m_fence),
               Nanos(aEvent.m_until),
               aEvent.m_status);
}

std::vector<HistoryEvent>
ReadHistory(const std::string& aPath)
{
  std::vector<HistoryEvent> events;
  std::ifstream file(aPath);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    HistoryEvent event;
    int kind = 0;
    long long at = 0;
    long long until = 0;
    std::string end;
    words >> kind >> at >> event.m_id >> event.m_range.m_first >>
      event.m_range.m_last >> event.m_fence >> until >> event.m_status >> end;
    if (end != ".") {
      continue;
    }
    event.m_kind = static_cast<HistoryEventKind>(kind);
    event.m_at = TimePoint(std::chrono::nanoseconds(at));
    event.m_until = TimePoint(std::chrono::nanoseconds(until));
    events.push_back(event);
  }
  return events;
}

} // namespace sapphirehook::soak
