#include "support/cluster.hpp"

#include "sapphirehook/core/text.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using sapphirehook::Concat;
using support::Cluster;
using Json = nlohmann::json;

constexpr int kSeconds = 10;
constexpr std::size_t kDaemons = 3;

/** Returns the CPU time of a process, in seconds. */
double
CpuOf(pid_t aProcess)
{
  std::ifstream file(Concat("/proc/", aProcess, "/stat"));
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  constexpr int kUserField = 11;
  double ticks = 0;
  for (int i = 0; i <= kUserField + 1 && fields >> field; ++i) {
    if (i >= kUserField) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Returns the resident memory of a process, in KiB. */
double
MemoryOf(pid_t aProcess)
{
  std::ifstream file(Concat("/proc/", aProcess, "/status"));
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6));
    }
  }
  return 0;
}

/** Measures the control traffic and CPU time per daemon of an idle cluster. */
Json
MeasureIdle(std::size_t aEndpoints)
{
  Cluster cluster({ kDaemons, aEndpoints, 0, {}, "" });
  cluster.AwaitServed(0, "k0");
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const auto read = [&] {
    Json sum{ { "peer_bytes", 0.0 },
              { "lease_bytes", 0.0 },
              { "log_bytes", 0.0 },
              { "cpu", 0.0 } };
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto control = cluster.Page(i, "/status").at("control");
      for (const std::string name :
           { "peer_bytes", "lease_bytes", "log_bytes" }) {
        sum[name] = sum[name].get<double>() + control.at(name).get<double>();
      }
      sum["cpu"] = sum["cpu"].get<double>() + CpuOf(cluster.Daemon(i).Id());
    }
    return sum;
  };
  const auto before = read();
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const auto after = read();
  Json result{ { "endpoints", aEndpoints } };
  for (const auto& [name, value] : after.items()) {
    result[name + "_per_second"] =
      (value.get<double>() - before.at(name).get<double>()) / kSeconds /
      static_cast<double>(kDaemons);
  }
  result["resident_kib"] = MemoryOf(cluster.Daemon(0).Id());
  std::cerr << result.dump() << "\n";
  return result;
}

/** Measures the peak memory of two daemons while a large body passes through
    both. */
Json
MeasureTransfer()
{
  constexpr std::size_t kBytes = std::size_t{ 200 } * 1024 * 1024;
  Cluster cluster({ kDaemons, 1, 0, {}, "" });
  cluster.AwaitServed(0, "k0");
  const auto leader = cluster.LeaderOf(0, "e0");
  const auto entry = (leader + 1) % kDaemons;
  const std::string body(kBytes, 'x');
  const auto upload = cluster.Ask(
    entry, "PUT", "/catalogue/k0/file", body, {}, sapphirehook::Millis(60'000));
  const auto download = cluster.Ask(entry,
                                    "GET",
                                    "/catalogue/k0/file",
                                    "",
                                    { Concat("X-Download-Bytes: ", kBytes) },
                                    sapphirehook::Millis(60'000));
  const auto peak = [&](std::size_t aDaemon) {
    std::ifstream file(
      Concat("/proc/", cluster.Daemon(aDaemon).Id(), "/status"));
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with("VmHWM:")) {
        return std::stod(line.substr(6)) / 1024;
      }
    }
    return 0.0;
  };
  Json result{ { "name", "transfer_200_mib" },
               { "upload_status", upload.ok() ? upload->m_status : 0 },
               { "upload_seen_by_endpoint",
                 upload.ok() && upload->m_body.find(std::to_string(kBytes)) !=
                                  std::string::npos },
               { "download_bytes",
                 download.ok() ? download->m_body.size() : 0 },
               { "entry_peak_mib", peak(entry) },
               { "dispatcher_peak_mib", peak(leader) } };
  std::cerr << result.dump() << "\n";
  return result;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  sapphirehook::InitHttp();
  Json idle = Json::array();
  for (const std::size_t endpoints : { 1, 3, 9, 18 }) {
    idle.push_back(MeasureIdle(endpoints));
  }
  const Json all{ { "idle", idle }, { "transfer", MeasureTransfer() } };
  const auto text = all.dump(2) + "\n";
  if (aCount > 1) {
    std::ofstream(aArguments[1]) << text;
  } else {
    std::cout << text;
  }
  return 0;
}
