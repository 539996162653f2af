#ifndef SAPPHIREHOOK_OWNERSHIP_ACTION_HPP
#define SAPPHIREHOOK_OWNERSHIP_ACTION_HPP

#include "sapphirehook/ownership/endpoint_lease.hpp"
#include "sapphirehook/peer/message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace sapphirehook {

/** Append these bytes to the state stream, after all earlier ones, and repeat
    until the log confirms it. */
struct AppendAction
{
  std::string m_bytes;
};

/** Send a heartbeat to a daemon. */
struct HeartbeatAction
{
  std::string m_address;
  Heartbeat m_message;
};

/** Ask a daemon for records. */
struct FetchAction
{
  std::string m_address;
  FetchRequest m_message;
};

/** Call an endpoint's lease interface. */
struct LeaseCallAction
{
  std::string m_endpoint;
  std::string m_address;
  std::string m_service;
  bool m_checksGrants = true;
  LeaseCall m_call;
  std::vector<std::uint64_t> m_partitions;
  std::vector<std::string> m_keys;
  /** Moment after which the call must not be sent any more. */
  TimePoint m_authorityUntil{};
};

/** Note an event on the time line. */
struct EventAction
{
  std::string m_kind;
  std::string m_group;
  std::string m_endpoint;
  std::string m_detail;
};

/** Something that the decision logic wants done. */
using Action = std::variant<AppendAction,
                            HeartbeatAction,
                            FetchAction,
                            LeaseCallAction,
                            EventAction>;

/** Actions in the order in which they are to be done. */
using Actions = std::vector<Action>;

} // namespace sapphirehook

#endif
