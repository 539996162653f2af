#ifndef SAPPHIREHOOK_SOAK_JOURNAL_HPP
#define SAPPHIREHOOK_SOAK_JOURNAL_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace sapphirehook::soak {

/** What an endpoint writes down. */
enum class EntryKind : unsigned char
{
  /** It holds a range with a fence until a time. */
  Held,
  /** It starts no more work on a range. */
  Released,
  /** It begins to work on a request, under a fence when it has a key. */
  Began,
  /** It has ended a request's work with a status. */
  Ended,
  /** The store has accepted that it leaves. */
  Leaving,
};

/** One entry of an endpoint's journal. */
struct Entry
{
  EntryKind m_kind = EntryKind::Held;
  TimePoint m_at{};
  /** The request's id; "-" for entries about ranges. */
  std::string m_id = "-";
  KeyRange m_range = {};
  Fence m_fence = 0;
  TimePoint m_until{};
  int m_status = 0;
};

/** Writes entries to a file, each at once, so that a kill loses none. */
class JournalWriter
{
public:
  explicit JournalWriter(const std::string& aPath);
  ~JournalWriter();
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  void Write(const Entry& aEntry);

private:
  std::FILE* m_file;
};

/** Reads a journal; a last line that was cut by a kill is left out. */
[[nodiscard]] std::vector<Entry>
ReadJournal(const std::string& aPath);

} // namespace sapphirehook::soak

#endif
