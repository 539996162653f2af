#ifndef SAPPHIREHOOK_OWNERSHIP_ACTION_HPP
#define SAPPHIREHOOK_OWNERSHIP_ACTION_HPP

#include "sapphirehook/ownership/endpoint_lease.hpp"
#include "sapphirehook/peer/message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace sapphirehook {

/** Appends bytes to the state stream, after all earlier appends. The append is
    retried until the log confirms it. */
struct AppendAction
{
  std::string m_bytes;
};

/** Sends a heartbeat to a daemon. */
struct HeartbeatAction
{
  std::string m_address;
  Heartbeat m_message;
};

/** Requests records of the state stream from a daemon. */
struct FetchAction
{
  std::string m_address;
  FetchRequest m_message;
};

/** Calls the lease interface of an endpoint. */
struct LeaseCallAction
{
  std::string m_endpoint;
  std::string m_address;
  std::string m_service;
  bool m_checksGrants = true;
  LeaseCall m_call;
  std::vector<std::uint64_t> m_partitions;
  std::vector<std::string> m_keys;
  /** End of the dispatcher's authority. The call is not sent later than
      this. */
  TimePoint m_authorityUntil{};
};

/** Adds an event to the timeline. */
struct EventAction
{
  std::string m_kind;
  std::string m_group;
  std::string m_endpoint;
  std::string m_detail;
};

/** An effect that the decision logic requests from its caller. */
using Action = std::variant<AppendAction,
                            HeartbeatAction,
                            FetchAction,
                            LeaseCallAction,
                            EventAction>;

/** Actions in the order of execution. */
using Actions = std::vector<Action>;

} // namespace sapphirehook

#endif
