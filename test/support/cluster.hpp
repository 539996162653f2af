#ifndef SAPPHIREHOOK_TEST_SUPPORT_CLUSTER_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_CLUSTER_HPP

#include "sapphirehook/core/http_client.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace support {

/** A process that a test starts. The destructor kills it. */
class Process
{
public:
  explicit Process(const std::vector<std::string>& aCommand);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&&) = delete;
  Process& operator=(Process&&) = delete;

  void Signal(int aSignal) const;

  /** Waits for the process to end. Returns the exit code, or -1 after a signal.
   */
  int Wait();

  [[nodiscard]] pid_t Id() const noexcept { return m_id; }

private:
  pid_t m_id = -1;
};

/** Configuration of a cluster. */
struct ClusterPlan
{
  std::size_t m_daemons = 3;
  std::size_t m_endpoints = 3;
  int m_serviceMs = 1;
  std::vector<std::string> m_endpointFlags;
  /** Additional lines for the settings of each daemon. */
  std::string m_settings;
  /** Whether daemons have seed peers, from which they obtain the state while
     the log cannot be read. */
  bool m_seeds = true;
};

/** Runs daemons, endpoints and a log service as processes on loopback. Tests
    run one cluster at a time. */
class Cluster
{
public:
  explicit Cluster(ClusterPlan aPlan);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  Cluster(Cluster&&) = delete;
  Cluster& operator=(Cluster&&) = delete;

  void StartDaemon(std::size_t aIndex);
  void StopDaemon(std::size_t aIndex) { m_daemons.at(aIndex).reset(); }
  void StartEndpoint(std::size_t aIndex);
  void KillEndpoint(std::size_t aIndex) { m_endpoints.at(aIndex).reset(); }

  [[nodiscard]] Process& Daemon(std::size_t aIndex)
  {
    return *m_daemons.at(aIndex);
  }
  [[nodiscard]] Process& Endpoint(std::size_t aIndex)
  {
    return *m_endpoints.at(aIndex);
  }

  /** Sends a request to the port for callers of a daemon. */
  [[nodiscard]] absl::StatusOr<sapphirehook::BlockingHttpAnswer> Ask(
    std::size_t aDaemon,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody = "",
    const std::vector<std::string>& aHeaders = {},
    sapphirehook::Millis aTimeout = sapphirehook::Millis(8000)) const;

  /** Returns the name of the endpoint that answers a request for a key, or an
      empty string if the request fails. */
  [[nodiscard]] std::string OwnerOf(std::size_t aDaemon,
                                    const std::string& aKey) const;

  /** Waits until a daemon serves a key. Returns the name of the endpoint. */
  std::string AwaitServed(std::size_t aDaemon, const std::string& aKey) const;

  /** Waits until a condition holds. Returns false after half a minute (1500
      polls, 20 ms apart). */
  static bool Await(const std::function<bool()>& aCondition);

  /** Returns a page of a daemon as JSON, or null if the daemon does not
      answer. */
  [[nodiscard]] nlohmann::json Page(std::size_t aDaemon,
                                    const std::string& aPath) const;

  /** Returns the index of the daemon that leads the group of an endpoint. */
  [[nodiscard]] std::size_t LeaderOf(std::size_t aDaemon,
                                     const std::string& aEndpoint) const;

  /** Posts JSON to the control page of the log service or of an endpoint. */
  void ControlLog(const std::string& aPath, const nlohmann::json& aBody) const;
  void ControlEndpoint(std::size_t aIndex, const nlohmann::json& aBody) const;

  void File(const nlohmann::json& aTicket) const;

  /** Returns the ticket that configures the cluster's service and endpoints. */
  [[nodiscard]] nlohmann::json FirstTicket() const;

  /** Returns the requests that an endpoint has run, also if it was killed. A
      request that was interrupted by the kill has its start as its end. */
  [[nodiscard]] nlohmann::json Records(std::size_t aIndex) const;

  [[nodiscard]] static std::size_t IndexOf(const std::string& aName);

private:
  [[nodiscard]] std::string Address(const std::string& aKind,
                                    std::size_t aIndex) const;
  [[nodiscard]] std::string JournalOf(std::size_t aIndex) const;

  ClusterPlan m_plan;
  std::string m_directory;
  std::size_t m_base;
  std::unique_ptr<Process> m_log;
  std::vector<std::unique_ptr<Process>> m_daemons;
  std::vector<std::unique_ptr<Process>> m_endpoints;
};

/** Outcomes of the requests of a steady load. */
struct LoadResult
{
  std::size_t m_answered = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_transport = 0;
  /** Outcome that the caller received, by idempotency key. */
  std::map<std::string, std::string> m_outcomes;
};

/** Threads that send never-repeat requests, each with its own idempotency
    key. */
class SteadyLoad
{
public:
  SteadyLoad(const Cluster& aCluster,
             std::vector<std::size_t> aDaemons,
             std::size_t aThreads,
             std::size_t aKeys);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;
  SteadyLoad(SteadyLoad&&) = delete;
  SteadyLoad& operator=(SteadyLoad&&) = delete;

  /** Ends the load and returns the outcomes. */
  LoadResult Stop();

private:
  void Run(std::size_t aThread);

  const Cluster& m_cluster;
  std::vector<std::size_t> m_daemons;
  std::size_t m_keys;
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  LoadResult m_result;
  std::vector<std::thread> m_threads;
};

/** Checks the outcomes against the records of the endpoints. Returns the
   faults: two endpoints ran requests of a key at the same time, a never-repeat
   request ran twice, a request that was reported as not run has run, or an
   answered request has not run. */
[[nodiscard]] std::vector<std::string>
CheckRecords(const Cluster& aCluster,
             std::size_t aEndpoints,
             const LoadResult& aLoad);

} // namespace support

#endif
