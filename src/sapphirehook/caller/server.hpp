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
  /** Idle time after which a connection is closed. */
  std::chrono::seconds m_idle{ 60 };
};

/** The HTTP/1.1 server for callers. */
class CallerServer
{
public:
  CallerServer(Ring<ExchangePtr>& aExchanges, CallerPortLimits aLimits);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  CallerServer(CallerServer&&) = delete;
  CallerServer& operator=(CallerServer&&) = delete;

  /** Listens on an address and starts the server. Returns Unavailable if the
      address is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);

  /** Stops accepting connections and closes each one after its next answer. */
  void BeginStop();

  /** Stops the server. Aborts the requests in flight. */
  void Stop();

  /** Returns the number of requests in flight. */
  [[nodiscard]] std::size_t InFlight() const noexcept
  {
    return m_inFlight.load();
  }

private:
  friend class internal::CallerCall;

  /** Polls the sockets of waiting callers and cancels the requests of those
     that have closed their connection. */
  void WatchCallers();

  Ring<ExchangePtr>& m_exchanges;
  CallerPortLimits m_limits;
  MHD_Daemon* m_daemon = nullptr;
  int m_listener = -1;
  std::atomic<std::uint64_t> m_lastId{ 0 };
  std::atomic<std::size_t> m_inFlight{ 0 };
  std::atomic<bool> m_closing{ false };
  std::mutex m_mutex;
  /** The calls that wait for an answer, by the caller's socket. */
  std::unordered_map<int, std::weak_ptr<internal::CallerCall>> m_waiting;
  Worker m_watcher;
};

} // namespace sapphirehook

#endif
