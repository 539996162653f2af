#include "support/cluster.hpp"

#include "sapphirehook/core/text.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace support {

using nlohmann::json;
using sapphirehook::BlockingHttpAnswer;
using sapphirehook::BlockingHttpClient;
using sapphirehook::Concat;
using sapphirehook::Millis;

namespace {

constexpr Millis kTimeout{ 5000 };
constexpr Millis kPoll{ 20 };
constexpr int kAwaitPolls = 1500;
constexpr long kOk = 200;

/** Returns the first port of a range that no cluster of this process uses. */
std::size_t
NextBase()
{
  static std::atomic<std::size_t> next{ 20000 };
  constexpr std::size_t kPortsEach = 60;
  return next.fetch_add(kPortsEach);
}

std::string
BinaryPath(const std::string& aName)
{
  return Concat(SAPPHIREHOOK_BIN_DIR, "/", aName);
}

} // namespace

Process::Process(const std::vector<std::string>& aCommand)
{
  std::vector<char*> arguments;
  for (const auto& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn(&m_id, arguments[0], nullptr, nullptr, arguments.data(), environ);
}

Process::~Process()
{
  if (m_id > 0) {
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
}

void
Process::Signal(int aSignal) const
{
  kill(m_id, aSignal);
}

int
Process::Wait()
{
  int status = 0;
  waitpid(m_id, &status, 0);
  m_id = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Cluster::Cluster(ClusterPlan aPlan)
  : m_plan(std::move(aPlan))
  , m_base(NextBase())
  , m_daemons(m_plan.m_daemons)
  , m_endpoints(m_plan.m_endpoints)
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "sapphirehook-XXXXXX").string();
  m_directory = mkdtemp(pattern.data());
  m_log = std::make_unique<Process>(std::vector<std::string>{
    BinaryPath("standin-log"), "--listen", Address("log", 0) });
  for (std::size_t i = 0; i < m_plan.m_endpoints; ++i) {
    StartEndpoint(i);
  }
  for (std::size_t i = 0; i < m_plan.m_daemons; ++i) {
    StartDaemon(i);
  }
  File(FirstTicket());
}

Cluster::~Cluster()
{
  m_daemons.clear();
  m_endpoints.clear();
  m_log.reset();
  std::filesystem::remove_all(m_directory);
}

std::string
Cluster::Address(const std::string& aKind, std::size_t aIndex) const
{
  std::size_t port = m_base + aIndex;
  if (aKind == "callers") {
    port += 10;
  } else if (aKind == "peers") {
    port += 20;
  } else if (aKind == "operators") {
    port += 30;
  } else if (aKind == "endpoint") {
    port += 40; // the last range, since the number of endpoints has no limit
  }
  return Concat("127.0.0.1:", port);
}

void
Cluster::StartDaemon(std::size_t aIndex)
{
  const auto path = Concat(m_directory, "/h", aIndex, ".yaml");
  const auto seeds =
    Concat("seeds: [", Address("peers", 0), ", ", Address("peers", 1), "]\n");
  std::ofstream(path) << "host: h" << aIndex << "\nregion: r1\nzone: z"
                      << aIndex % 3
                      << "\nlisten:\n  callers: " << Address("callers", aIndex)
                      << "\n  peers: " << Address("peers", aIndex)
                      << "\n  operators: " << Address("operators", aIndex)
                      << "\nlog:\n  url: http://" << Address("log", 0) << "/h"
                      << aIndex << "\n"
                      << (m_plan.m_seeds ? seeds : "") << m_plan.m_settings;
  m_daemons[aIndex] = std::make_unique<Process>(std::vector<std::string>{
    BinaryPath("sapphirehookd"), "--settings", path });
}

void
Cluster::StartEndpoint(std::size_t aIndex)
{
  std::vector<std::string> command{ BinaryPath("standin-endpoint"),
                                    "--name",
                                    Concat("e", aIndex),
                                    "--listen",
                                    Address("endpoint", aIndex),
                                    "--service-ms",
                                    std::to_string(m_plan.m_serviceMs),
                                    "--journal",
                                    JournalOf(aIndex) };
  command.insert(command.end(),
                 m_plan.m_endpointFlags.begin(),
                 m_plan.m_endpointFlags.end());
  m_endpoints[aIndex] = std::make_unique<Process>(command);
}

std::string
Cluster::JournalOf(std::size_t aIndex) const
{
  return Concat(m_directory, "/e", aIndex, ".journal");
}

absl::StatusOr<BlockingHttpAnswer>
Cluster::Ask(std::size_t aDaemon,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody,
             const std::vector<std::string>& aHeaders,
             Millis aTimeout) const
{
  BlockingHttpClient client;
  return client.Call(aMethod,
                     Concat("http://", Address("callers", aDaemon), aPath),
                     aBody,
                     aTimeout,
                     aHeaders);
}

std::string
Cluster::OwnerOf(std::size_t aDaemon, const std::string& aKey) const
{
  const auto answer = Ask(aDaemon, "GET", Concat("/catalogue/", aKey, "/item"));
  if (!answer.ok() || answer->m_status != kOk) {
    return {};
  }
  return json::parse(answer->m_body).at("endpoint").get<std::string>();
}

bool
Cluster::Await(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < kAwaitPolls; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

std::string
Cluster::AwaitServed(std::size_t aDaemon, const std::string& aKey) const
{
  std::string owner;
  Await([&] {
    owner = OwnerOf(aDaemon, aKey);
    return !owner.empty();
  });
  return owner;
}

json
Cluster::Page(std::size_t aDaemon, const std::string& aPath) const
{
  BlockingHttpClient client;
  const auto answer =
    client.Call("GET",
                Concat("http://", Address("operators", aDaemon), aPath),
                "",
                kTimeout);
  if (!answer.ok() || answer->m_status != kOk) {
    return nullptr;
  }
  return json::parse(answer->m_body, nullptr, false);
}

std::size_t
Cluster::LeaderOf(std::size_t aDaemon, const std::string& aEndpoint) const
{
  const auto status = Page(aDaemon, "/status");
  const auto group =
    status.at("endpoints").at(aEndpoint).at("group").get<std::string>();
  return IndexOf(
    status.at("groups").at(group).at("dispatcher").get<std::string>());
}

void
Cluster::ControlLog(const std::string& aPath, const json& aBody) const
{
  BlockingHttpClient client;
  static_cast<void>(client.Call("POST",
                                Concat("http://", Address("log", 0), aPath),
                                aBody.dump(),
                                kTimeout));
}

void
Cluster::ControlEndpoint(std::size_t aIndex, const json& aBody) const
{
  BlockingHttpClient client;
  static_cast<void>(client.Call(
    "POST",
    Concat("http://", Address("endpoint", aIndex), "/standin/behavior"),
    aBody.dump(),
    kTimeout));
}

void
Cluster::File(const json& aTicket) const
{
  Await([&] {
    BlockingHttpClient client;
    const auto answer = client.Call(
      "POST",
      Concat("http://", Address("log", 0), "/v1/streams/tickets/records"),
      aTicket.dump(),
      kTimeout);
    return answer.ok() && answer->m_status == kOk;
  });
}

json
Cluster::FirstTicket() const
{
  json endpoints = json::object();
  const bool unchecked = !m_plan.m_endpointFlags.empty();
  for (std::size_t i = 0; i < m_plan.m_endpoints; ++i) {
    endpoints[Concat("e", i)] = { { "service", "catalogue" },
                                  { "address", Address("endpoint", i) },
                                  { "region", "r1" },
                                  { "zone", Concat("z", i % 3) },
                                  { "checks_grants", !unchecked } };
  }
  const json charge{ { "method", "POST" },
                     { "path", "/catalogue/" },
                     { "never_repeat", true } };
  return { { "number", 1 },
           { "groups", 4 },
           { "services",
             { { "catalogue",
                 { { "prefix", "/catalogue/" },
                   { "partitions", 64 },
                   { "key", { { "segment", 1 } } },
                   { "deadline_ms", 4000 },
                   { "rules", json::array({ charge }) } } } } },
           { "endpoints", endpoints } };
}

json
Cluster::Records(std::size_t aIndex) const
{
  // The record of a request's end replaces the record of its start.
  std::map<std::string, json> byId;
  std::ifstream journal(JournalOf(aIndex));
  std::string line;
  while (std::getline(journal, line)) {
    auto record = json::parse(line, nullptr, false);
    if (record.is_object()) {
      const auto id = record.at("id").get<std::string>();
      byId[id] = std::move(record);
    }
  }
  json all = json::array();
  for (auto& [id, record] : byId) {
    all.push_back(std::move(record));
  }
  return all;
}

std::size_t
Cluster::IndexOf(const std::string& aName)
{
  return std::strtoull(aName.c_str() + 1, nullptr, 10);
}

SteadyLoad::SteadyLoad(const Cluster& aCluster,
                       std::vector<std::size_t> aDaemons,
                       std::size_t aThreads,
                       std::size_t aKeys)
  : m_cluster(aCluster)
  , m_daemons(std::move(aDaemons))
  , m_keys(aKeys)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    m_threads.emplace_back([this, i] { Run(i); });
  }
}

SteadyLoad::~SteadyLoad()
{
  Stop();
}

void
SteadyLoad::Run(std::size_t aThread)
{
  for (std::size_t i = 0; !m_stop.load(); ++i) {
    const auto name = Concat("load-", aThread, "-", i);
    const auto daemon = m_daemons[(aThread + i) % m_daemons.size()];
    const auto key = (aThread * 31 + i) % m_keys;
    const auto answer = m_cluster.Ask(daemon,
                                      "POST",
                                      Concat("/catalogue/k", key, "/charge"),
                                      "x",
                                      { "Idempotency-Key: " + name });
    const std::lock_guard lock(m_mutex);
    auto& outcome = m_result.m_outcomes[name];
    if (!answer.ok()) {
      ++m_result.m_transport;
      outcome = "transport";
    } else if (answer->m_status == kOk) {
      ++m_result.m_answered;
      outcome = "ok";
    } else {
      const auto header = answer->m_headers.find("sapphirehook-outcome");
      outcome = header == answer->m_headers.end() ? "none" : header->second;
      ++(outcome == "not-run" ? m_result.m_notRun : m_result.m_unknown);
    }
  }
}

LoadResult
SteadyLoad::Stop()
{
  m_stop = true;
  for (auto& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return m_result;
}

std::vector<std::string>
CheckRecords(const Cluster& aCluster,
             std::size_t aEndpoints,
             const LoadResult& aLoad)
{
  struct Span
  {
    long long m_start = 0;
    long long m_end = 0;
    std::size_t m_endpoint = 0;
  };
  std::vector<std::string> faults;
  std::map<std::string, std::vector<Span>> byKey;
  std::map<std::string, std::size_t> runs;
  for (std::size_t i = 0; i < aEndpoints; ++i) {
    for (const auto& record : aCluster.Records(i)) {
      byKey[record.at("key").get<std::string>()].push_back(
        { record.at("start_ms").get<long long>(),
          record.at("end_ms").get<long long>(),
          i });
      const auto name = record.at("idempotency_key").get<std::string>();
      if (!name.empty() && ++runs[name] > 1) {
        faults.push_back(name + " has run twice");
      }
    }
  }
  for (auto& [key, spans] : byKey) {
    for (const auto& left : spans) {
      for (const auto& right : spans) {
        const bool overlap = left.m_endpoint < right.m_endpoint &&
                             left.m_start < right.m_end &&
                             right.m_start < left.m_end;
        if (overlap) {
          faults.push_back(Concat(
            key, " ran at e", left.m_endpoint, " and e", right.m_endpoint));
        }
      }
    }
  }
  for (const auto& [name, outcome] : aLoad.m_outcomes) {
    const bool ran = runs.contains(name);
    if (outcome == "not-run" && ran) {
      faults.push_back(name + " was reported as not run but has run");
    }
    if (outcome == "ok" && !ran) {
      faults.push_back(name + " was answered but has not run");
    }
  }
  return faults;
}

} // namespace support
