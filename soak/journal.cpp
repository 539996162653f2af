#include "soak/journal.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sapphirehook::soak {

namespace {

long long
Nanos(TimePoint aMoment)
{
  return aMoment.time_since_epoch().count();
}

} // namespace

JournalWriter::JournalWriter(const std::string& aPath)
  : m_file(std::fopen(aPath.c_str(), "w"))
{
  if (m_file == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
  std::setvbuf(m_file, nullptr, _IOLBF, BUFSIZ);
}

JournalWriter::~JournalWriter()
{
  std::fclose(m_file);
}

void
JournalWriter::Write(const Entry& aEntry)
{
  std::fprintf(m_file,
               "%d %lld %s %u %u %llu %lld %d .\n",
               static_cast<int>(aEntry.m_kind),
               Nanos(aEntry.m_at),
               aEntry.m_id.c_str(),
               unsigned{ aEntry.m_range.m_first },
               unsigned{ aEntry.m_range.m_last },
               static_cast<unsigned long long>(aEntry.m_fence),
               Nanos(aEntry.m_until),
               aEntry.m_status);
}

std::vector<Entry>
ReadJournal(const std::string& aPath)
{
  std::vector<Entry> entries;
  std::ifstream file(aPath);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    Entry entry;
    int kind = 0;
    long long at = 0;
    long long until = 0;
    std::string end;
    words >> kind >> at >> entry.m_id >> entry.m_range.m_first >>
      entry.m_range.m_last >> entry.m_fence >> until >> entry.m_status >> end;
    if (end != ".") {
      continue;
    }
    entry.m_kind = static_cast<EntryKind>(kind);
    entry.m_at = TimePoint(std::chrono::nanoseconds(at));
    entry.m_until = TimePoint(std::chrono::nanoseconds(until));
    entries.push_back(entry);
  }
  return entries;
}

} // namespace sapphirehook::soak
