#ifndef SAPPHIREHOOK_DAEMON_DAEMON_HPP
#define SAPPHIREHOOK_DAEMON_DAEMON_HPP

#include "sapphirehook/caller/server.hpp"
#include "sapphirehook/core/http_server.hpp"
#include "sapphirehook/daemon/decision_loop.hpp"
#include "sapphirehook/daemon/settings.hpp"

#include <memory>

namespace sapphirehook {

/** A daemon: owns the threads, their ring buffers and the ports. */
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  Daemon(Daemon&&) = delete;
  Daemon& operator=(Daemon&&) = delete;

  /** Binds the ports and starts the threads. Returns Unavailable if a port is
      in use. */
  [[nodiscard]] absl::Status Start();

  /** Performs a planned stop: fails the health check so that the load balancer
      removes this daemon, hands its groups over and waits for the requests in
      flight. Returns whether the handover and all requests finished within the
      time limit of the settings. */
  [[nodiscard]] bool StopGracefully();

  /** Returns whether an operator has requested a planned stop. */
  [[nodiscard]] bool IsStopRequested() const noexcept
  {
    return m_stopRequested.load();
  }

private:
  HttpResponse OnOperator(const HttpRequest& aRequest);
  void FillStats(DaemonStats& aStats);

  Settings m_settings;
  HostId m_self;
  Metrics m_metrics;
  Timeline m_timeline;
  DecisionLoop m_loop;
  EndpointClient m_endpoints;
  PeerMesh m_peers;
  RecordAppender m_appender;
  std::atomic<std::uint64_t> m_logBytes{ 0 };
  StreamReader m_stateReader;
  StreamReader m_ticketReader;
  HostListReader m_hostReader;
  CallerServer m_callers;
  ThreadedHttpServer m_operators;
  std::atomic<bool> m_stopRequested{ false };
};

} // namespace sapphirehook

#endif
