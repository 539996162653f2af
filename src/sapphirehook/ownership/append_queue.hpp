#ifndef SAPPHIREHOOK_OWNERSHIP_APPEND_QUEUE_HPP
#define SAPPHIREHOOK_OWNERSHIP_APPEND_QUEUE_HPP

#include "sapphirehook/ownership/action.hpp"
#include "sapphirehook/ownership/record.hpp"

#include <map>
#include <set>
#include <string>

namespace sapphirehook {

/** Assigns sequence numbers to this daemon's records. Allows one record per
    purpose in flight: a second one is rejected until the first has been read
    back from the log. */
class AppendQueue
{
public:
  explicit AppendQueue(HostId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** Appends a record unless one with the same purpose is in flight. Returns
      whether the record was appended. */
  bool AppendOnce(const std::string& aPurpose,
                  RecordBody aBody,
                  Actions& aActions);

  /** Returns whether a record with this purpose is in flight. */
  [[nodiscard]] bool IsInFlight(const std::string& aPurpose) const
  {
    return m_purposes.contains(aPurpose);
  }

  /** Marks all own records up to a sequence number as read back. */
  void OnRead(std::uint64_t aSequence);

  /** Returns whether no record is in flight. */
  [[nodiscard]] bool Empty() const noexcept { return m_inFlight.empty(); }

private:
  HostId m_self;
  std::uint64_t m_lastSequence = 0;
  std::map<std::uint64_t, std::string> m_inFlight;
  std::set<std::string> m_purposes;
};

} // namespace sapphirehook

#endif
