#ifndef SAPPHIREHOOK_STANDIN_ENDPOINT_HPP
#define SAPPHIREHOOK_STANDIN_ENDPOINT_HPP

#include "sapphirehook/core/http_server.hpp"
#include "sapphirehook/core/ids.hpp"

#include <fstream>
#include <map>
#include <mutex>
#include <vector>

namespace standin {

/** Configuration of an endpoint stand-in. Faults can be set over HTTP. */
struct EndpointBehavior
{
  std::string m_name;
  /** File to which each start and end of a request is written before its
      answer, so that a test can check a killed endpoint. Empty for none. */
  std::string m_journal;
  bool m_checksGrants = true;
  int m_serviceMs = 0;
  bool m_draining = false;
  /** Whether every request is refused as not run. */
  bool m_shedding = false;
  /** Number of bytes after which answers are cut off, or -1 for no limit. */
  int m_cutAfter = -1;
  /** Whether the connection is closed without an answer after a request has
      run. */
  bool m_dropAnswers = false;
  /** Whether lease calls stay unanswered. */
  bool m_muteLease = false;
  /** Whether lease answers omit the running requests. */
  bool m_hideRunning = false;
};

/** A request that the endpoint has run. */
struct ServedRequest
{
  std::string m_key;
  std::string m_path;
  std::string m_idempotencyKey;
  sapphirehook::FencingToken m_token;
  std::uint64_t m_partition = 0;
  std::uint64_t m_bodyBytes = 0;
  /** Times of the host's boot clock. */
  sapphirehook::Millis m_start{};
  sapphirehook::Millis m_end{};
};

/** Stand-in for an endpoint. Accepts fenced grants, measures leases on its own
    clock, runs requests and records each of them. */
class Endpoint
{
public:
  explicit Endpoint(EndpointBehavior aBehavior);

  /** Listens on "number:port", where the number is an IP address. Returns
      Unavailable if the address is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);
  void Stop() { m_server.Stop(); }

  void SetBehavior(const EndpointBehavior& aBehavior);
  [[nodiscard]] EndpointBehavior Behavior() const;
  [[nodiscard]] std::vector<ServedRequest> Served() const;

private:
  sapphirehook::HttpResponse Handle(const sapphirehook::HttpRequest& aRequest);
  sapphirehook::HttpResponse OnLease(const sapphirehook::HttpRequest& aRequest);
  sapphirehook::HttpResponse OnControl(
    const sapphirehook::HttpRequest& aRequest);
  sapphirehook::HttpResponse OnRecords() const;
  sapphirehook::HttpResponse Run(const sapphirehook::HttpRequest& aRequest);
  [[nodiscard]] bool MayRun(const sapphirehook::HttpRequest& aRequest) const;
  void WriteJournal(std::uint64_t aId, const ServedRequest& aServed);

  mutable std::mutex m_mutex;
  EndpointBehavior m_behavior;
  std::string m_boot;
  sapphirehook::FencingToken m_token;
  sapphirehook::Millis m_leaseExpiry{};
  std::uint64_t m_lastRunId = 0;
  std::map<std::uint64_t, std::uint64_t> m_running;
  std::vector<ServedRequest> m_served;
  std::ofstream m_journal;
  sapphirehook::ThreadedHttpServer m_server;
};

} // namespace standin

#endif
