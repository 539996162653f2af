#ifndef SAPPHIREHOOK_OWNERSHIP_APPEND_QUEUE_HPP
#define SAPPHIREHOOK_OWNERSHIP_APPEND_QUEUE_HPP

#include "sapphirehook/ownership/action.hpp"
#include "sapphirehook/ownership/record.hpp"

#include <map>
#include <set>
#include <string>

namespace sapphirehook {

/** Numbers this daemon's records and holds back a second record of the same
    purpose until the first has been read back from the log. */
class AppendQueue
{
public:
  explicit AppendQueue(HostId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** Appends a record unless one of the same purpose is under way. Returns
      whether it was appended. */
  bool AppendOnce(const std::string& aPurpose,
                  RecordBody aBody,
                  Actions& aActions);

  /** Returns whether a record of this purpose is under way. */
  [[nodiscard]] bool IsUnderWay(const std::string& aPurpose) const
  {
    return m_purposes.contains(aPurpose);
  }

  /** Takes note that all own records up to a number have been read. */
  void OnRead(std::uint64_t aSequence);

  /** Returns whether no record is under way. */
  [[nodiscard]] bool Empty() const noexcept { return m_underWay.empty(); }

private:
  HostId m_self;
  std::uint64_t m_lastSequence = 0;
  std::map<std::uint64_t, std::string> m_underWay;
  std::set<std::string> m_purposes;
};

} // namespace sapphirehook

#endif
