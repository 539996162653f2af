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

/** A process that a test has started; it is killed with the object. */
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

  /** Waits for the end and returns the exit code; -1 after a signal. */
  int Wait();

  [[nodiscard]] pid_t Id() const noexcept { return m_id; }

private:
  pid_t m_id = -1;
};

/** How a cluster is to be started. */
struct ClusterPlan
{
  std::size_t m_daemons = 3;
  std::size_t m_endpoints = 3;
  int m_serviceMs = 1;
  std::vector<std::string> m_endpointFlags;
  /** More lines for each daemon's settings. */
  std::string m_settings;
  /** Daemons may ask each other while the log cannot be read. */
  bool m_seeds = true;
};

/** Daemons, endpoints and a log service as processes on loopback, one cluster
    at a time. */
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

  /** Sends a request to a daemon's callers' port. */
  [[nodiscard]] absl::StatusOr<sapphirehook::BlockingHttpAnswer> Ask(
    std::size_t aDaemon,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody = "",
    const std::vector<std::string>& aHeaders = {},
    sapphirehook::Millis aTimeout = sapphirehook::Millis(8000)) const;

  /** Returns the name of the endpoint that answers for a key, or an empty
      text. */
  [[nodiscard]] std::string OwnerOf(std::size_t aDaemon,
                                    const std::string& aKey) const;

  /** Waits until a daemon answers for a key; returns the endpoint's name. */
  std::string AwaitServed(std::size_t aDaemon, const std::string& aKey) const;

  /** Waits until a condition holds. Returns false after half a minute. */
  static bool Await(const std::function<bool()>& aCondition);

  /** Returns a daemon's page as JSON; null when it does not answer. */
  [[nodiscard]] nlohmann::json Page(std::size_t aDaemon,
                                    const std::string& aPath) const;

  /** Returns the index of the daemon that leads the group of an endpoint. */
  [[nodiscard]] std::size_t LeaderOf(std::size_t aDaemon,
                                     const std::string& aEndpoint) const;

  /** Posts JSON to the log service's or an endpoint's control page. */
  void ControlLog(const std::string& aPath, const nlohmann::json& aBody) const;
  void ControlEndpoint(std::size_t aIndex, const nlohmann::json& aBody) const;

  /** Files a ticket. */
  void File(const nlohmann::json& aTicket) const;

  /** Returns the ticket that sets up the cluster's service and endpoints. */
  [[nodiscard]] nlohmann::json FirstTicket() const;

  /** Returns what an endpoint has run, also when it was killed. A request
      that was cut off by the kill ends at its start. */
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

/** What became of the requests of a steady load. */
struct LoadResult
{
  std::size_t m_answered = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_transport = 0;
  /** Idempotency keys by the outcome that the caller was told. */
  std::map<std::string, std::string> m_outcomes;
};

/** Threads that send never-repeat requests with an idempotency key each. */
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

/** Judges by the endpoints' own records. Returns the faults found: a key run
    by two endpoints at once, a never-repeat request run twice, or one run
    that the caller was told had not. */
[[nodiscard]] std::vector<std::string>
JudgeRecords(const Cluster& aCluster,
             std::size_t aEndpoints,
             const LoadResult& aLoad);

} // namespace support

#endif
