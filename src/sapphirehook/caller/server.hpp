#ifndef SAPPHIREHOOK_CALLER_SERVER_HPP
#define SAPPHIREHOOK_CALLER_SERVER_HPP

#include "sapphirehook/core/ring.hpp"
#include "sapphirehook/core/worker.hpp"
#include "sapphirehook/dispatch/exchange.hpp"

#include <absl/status/status.h>
#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <unordered_map>

struct MHD_Daemon;

namespace sapphirehook {

namespace internal {
class CallerCall;
} // namespace internal

/** Limits of the callers' port. */
struct CallerPortLimits
{
  unsigned m_connections = 4096;
  unsigned m_connectionsPerAddress = 2048;
  /** Connections without a byte for this long are closed. */
  std::chrono::seconds m_idle{ 60 };
};

/** Takes callers' HTTP/1.1 requests and gives them their answers. */
class CallerServer
{
public:
  CallerServer(Ring<ExchangePtr>& aExchanges, CallerPortLimits aLimits);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  CallerServer(CallerServer&&) = delete;
  CallerServer& operator=(CallerServer&&) = delete;

  /** Listens on an address and starts to serve. Returns Unavailable when the
      address is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);

  /** Takes no further connection, and closes each after its answer. */
  void BeginStop();

  /** Ends the server. Requests under way are cut. */
  void Stop();

  /** Returns the number of requests under way. */
  [[nodiscard]] std::size_t UnderWay() const noexcept
  {
    return m_underWay.load();
  }

private:
  friend class internal::CallerCall;

  /** Cancels the requests of callers that have closed their connection. */
  void WatchCallers();

  Ring<ExchangePtr>& m_exchanges;
  CallerPortLimits m_limits;
  MHD_Daemon* m_daemon = nullptr;
  int m_listener = -1;
  std::atomic<std::uint64_t> m_lastId{ 0 };
  std::atomic<std::size_t> m_underWay{ 0 };
  std::atomic<bool> m_closing{ false };
  std::mutex m_mutex;
  /** Calls that wait for an answer, by the caller's socket. */
  std::unordered_map<int, std::weak_ptr<internal::CallerCall>> m_waiting;
  Worker m_watcher;
};

} // namespace sapphirehook

#endif
