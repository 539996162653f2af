#ifndef SAPPHIREHOOK_DAEMON_DAEMON_HPP
#define SAPPHIREHOOK_DAEMON_DAEMON_HPP

#include "sapphirehook/caller/server.hpp"
#include "sapphirehook/core/http_server.hpp"
#include "sapphirehook/daemon/decision_loop.hpp"
#include "sapphirehook/daemon/settings.hpp"

#include <memory>

namespace sapphirehook {

/** All threads of one daemon. */
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  Daemon(Daemon&&) = delete;
  Daemon& operator=(Daemon&&) = delete;

  /** Binds the ports and starts the threads. Returns Unavailable when a port
      is in use. */
  [[nodiscard]] absl::Status Start();

  /** Does a planned stop: leaves the balancer, hands its groups over and lets
      what runs finish. Returns whether everything finished within the limit
      of the settings. */
  [[nodiscard]] bool StopGracefully();

  /** Returns whether an operator has asked for a planned stop. */
  [[nodiscard]] bool IsStopAsked() const noexcept { return m_stopAsked.load(); }

private:
  HttpResponse OnOperator(const HttpRequest& aRequest);
  void FillFigures(StatusFigures& aFigures);

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
  std::atomic<bool> m_stopAsked{ false };
};

} // namespace sapphirehook

#endif
