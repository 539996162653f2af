#ifndef SAPPHIREHOOK_STANDIN_ENDPOINT_HPP
#define SAPPHIREHOOK_STANDIN_ENDPOINT_HPP

#include "sapphirehook/core/http_server.hpp"
#include "sapphirehook/core/ids.hpp"

#include <fstream>
#include <map>
#include <mutex>
#include <vector>

namespace standin {

/** How an endpoint stand-in behaves; the faults are set over HTTP. */
struct EndpointBehavior
{
  std::string m_name;
  /** File that each start and end of a request is written to before its
      answer, so that a test can judge a killed endpoint; empty for none. */
  std::string m_journal;
  bool m_checksGrants = true;
  int m_serviceMs = 0;
  bool m_draining = false;
  /** Refuses every request as not run. */
  bool m_shedding = false;
  /** Cuts answers off after so many bytes; -1 for never. */
  int m_cutAfter = -1;
  /** Closes the connection after the work, without an answer. */
  bool m_dropAnswers = false;
  /** Does not answer lease calls. */
  bool m_muteLease = false;
  /** Leaves out of its lease answers what it runs. */
  bool m_hideRunning = false;
};

/** One request that the endpoint has run. */
struct ServedRequest
{
  std::string m_key;
  std::string m_path;
  std::string m_idempotencyKey;
  sapphirehook::FencingToken m_token;
  std::uint64_t m_partition = 0;
  std::uint64_t m_bodyBytes = 0;
  /** Times on the host's boot clock. */
  sapphirehook::Millis m_start{};
  sapphirehook::Millis m_end{};
};

/** Stands in for an endpoint: takes fenced grants, holds leases on its own
    clock, runs requests and remembers each of them. */
class Endpoint
{
public:
  explicit Endpoint(EndpointBehavior aBehavior);

  /** Listens on "number:port". Returns Unavailable when that is in use. */
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
  sapphirehook::Millis m_leaseUntil{};
  std::uint64_t m_lastRun = 0;
  std::map<std::uint64_t, std::uint64_t> m_running;
  std::vector<ServedRequest> m_served;
  std::ofstream m_journal;
  sapphirehook::ThreadedHttpServer m_server;
};

} // namespace standin

#endif
