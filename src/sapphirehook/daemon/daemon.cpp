#include "sapphirehook/daemon/daemon.hpp"

#include <chrono>
#include <spdlog/spdlog.h>

namespace sapphirehook {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kAccepted = 202;
constexpr Millis kStopPollInterval{ 20 };

/** Returns a number that increases with each start of the daemon on a host:
    the wall clock time in microseconds. */
std::uint64_t
NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

NodeConfig
MakeNodeConfig(const Settings& aSettings, const HostId& aSelf)
{
  return { aSelf,
           aSettings.m_region,
           aSettings.m_zone,
           aSettings.m_peers,
           aSettings.m_seeds,
           aSettings.m_timing };
}

HttpResponse
JsonResponse(std::string aBody)
{
  HttpResponse response;
  response.m_status = aBody.empty() ? kUnavailable : response.m_status;
  response.m_headers["Content-Type"] = "application/json";
  response.m_body = std::move(aBody);
  return response;
}

std::string
QueryValue(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? std::string() : found->second;
}

} // namespace

Daemon::Daemon(Settings aSettings)
  : m_settings(std::move(aSettings))
  , m_self{ m_settings.m_host, NewIncarnation() }
  , m_timeline(m_self)
  , m_loop(MakeNodeConfig(m_settings, m_self),
           m_settings.m_requests,
           m_metrics,
           m_timeline)
  , m_endpoints(m_loop.Endpoints(), m_settings.m_callTimeout)
  , m_peers(m_loop.Peers())
  , m_appender(m_settings.m_log, "state")
  , m_stateReader(m_settings.m_log,
                  "state",
                  m_loop.StateLog(),
                  [this](std::uint64_t aBytes) { m_logBytes += aBytes; })
  , m_ticketReader(m_settings.m_log,
                   "tickets",
                   m_loop.TicketLog(),
                   [this](std::uint64_t aBytes) { m_logBytes += aBytes; })
  , m_hostReader(m_settings.m_log, m_loop.Hosts())
  , m_callers(m_loop.Callers(), m_settings.m_limits)
  , m_operators(
      [this](const HttpRequest& aRequest) { return OnOperator(aRequest); })
{
}

Daemon::~Daemon()
{
  m_operators.Stop();
  m_stateReader.Stop();
  m_ticketReader.Stop();
  m_hostReader.Stop();
  m_callers.Stop();
  m_loop.Stop();
  m_appender.Stop();
  m_peers.Stop();
  m_endpoints.Stop();
}

absl::Status
Daemon::Start()
{
  // Binds the peers' port first: a successful bind shows that no earlier
  // process of this host is still running.
  if (auto status = m_peers.Listen(m_settings.m_peers); !status.ok()) {
    return status;
  }
  if (auto status = m_operators.Start(m_settings.m_operators); !status.ok()) {
    return status;
  }
  if (auto status = m_callers.Start(m_settings.m_callers); !status.ok()) {
    return status;
  }
  m_loop.Start(
    { m_endpoints.Commands(), m_peers.Commands(), m_appender.Records() },
    [this](DaemonStats& aStats) { FillStats(aStats); });
  m_peers.Start();
  m_endpoints.Start();
  m_appender.Start();
  m_stateReader.Start();
  m_ticketReader.Start();
  m_hostReader.Start();
  spdlog::info(
    "started host={} incarnation={}", m_self.m_host, m_self.m_incarnation);
  return absl::OkStatus();
}

void
Daemon::FillStats(DaemonStats& aStats)
{
  aStats.m_peerBytes = m_peers.ControlBytes();
  aStats.m_peerMessages = m_peers.ControlMessages();
  aStats.m_leaseBytes = m_endpoints.ControlBytes();
  aStats.m_logBytes = m_logBytes.load();
  aStats.m_appends = m_appender.Appended();
  aStats.m_ringRefusals = m_loop.Callers().Refused();
}

HttpResponse
Daemon::OnOperator(const HttpRequest& aRequest)
{
  const auto& path = aRequest.m_path;
  auto query = std::make_shared<Query>();
  if (path == "/healthz") {
    HttpResponse response;
    response.m_status = m_loop.IsHealthy() ? response.m_status : kUnavailable;
    response.m_body = m_loop.IsHealthy() ? "ok\n" : "not serving\n";
    return response;
  }
  if (path == "/metrics") {
    HttpResponse response;
    response.m_headers["Content-Type"] = "text/plain; version=0.0.4";
    response.m_body = m_metrics.Render();
    return response;
  }
  if (path == "/timeline") {
    return JsonResponse(EncodeTimeline(m_timeline.Events()));
  }
  if (path == "/status") {
    return JsonResponse(m_loop.RunQuery(query));
  }
  if (path == "/tickets") {
    query->m_kind = Query::Kind::Tickets;
    return JsonResponse(m_loop.RunQuery(query));
  }
  if (path == "/routes") {
    query->m_kind = Query::Kind::Route;
    query->m_service = QueryValue(aRequest, "service");
    query->m_key = QueryValue(aRequest, "key");
    return JsonResponse(m_loop.RunQuery(query));
  }
  if (path == "/drain" && aRequest.m_method == "POST") {
    m_stopRequested = true;
    auto response = JsonResponse("{\"stopping\":true}");
    response.m_status = kAccepted;
    return response;
  }
  HttpResponse response;
  response.m_status = kNotFound;
  response.m_body = "no such page\n";
  return response;
}

bool
Daemon::StopGracefully()
{
  const auto limit = BootClock::now() + m_settings.m_stopLimit;
  spdlog::info("stopping host={}", m_self.m_host);
  m_loop.BeginStop();
  std::this_thread::sleep_for(m_settings.m_leaveBalancerDelay);
  m_callers.BeginStop();
  bool finished = false;
  while (!finished && BootClock::now() < limit) {
    std::this_thread::sleep_for(kStopPollInterval);
    finished =
      m_loop.IsDrained() && m_loop.Active() == 0 && m_callers.InFlight() == 0;
  }
  spdlog::info("stopped host={} finished={}", m_self.m_host, finished);
  return finished;
}

} // namespace sapphirehook
