#include "sapphirehook/core/http_client.hpp"
#include "sapphirehook/daemon/daemon.hpp"

#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sstream>
#include <thread>

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

volatile std::sig_atomic_t stopSignal = 0;

void
OnSignal(int /*aSignal*/)
{
  stopSignal = 1;
}

void
SetUpLogs(bool aJson)
{
  if (aJson) {
    spdlog::set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","message":"%v"})");
  }
  spdlog::flush_on(spdlog::level::info);
}

int
Serve(const sapphirehook::Settings& aSettings)
{
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLogs(aSettings.m_jsonLogs);
  sapphirehook::InitHttp();
  sapphirehook::Daemon daemon(aSettings);
  if (const auto status = daemon.Start(); !status.ok()) {
    std::cerr << status.message() << "\n";
    return kExitFailure;
  }
  constexpr std::chrono::milliseconds kPoll{ 20 };
  while (stopSignal == 0 && !daemon.IsStopRequested()) {
    std::this_thread::sleep_for(kPoll);
  }
  return daemon.StopGracefully() ? 0 : kExitFailure;
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "sapphirehookd",
    "Routes the requests of callers to the endpoint that "
    "owns the request's key.");
  options.add_options()(
    "settings", "settings file in YAML", cxxopts::value<std::string>())(
    "version", "print the version")("help", "print this help");
  const auto given = options.parse(aCount, aArguments);
  if (given.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (given.count("version") > 0) {
    std::cout << "sapphirehookd " << SAPPHIREHOOK_VERSION << "\n";
    return 0;
  }
  if (given.count("settings") == 0) {
    std::cerr << "option --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const auto path = given["settings"].as<std::string>();
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot open the settings file\n";
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = sapphirehook::ParseSettings(text.str());
  if (!settings.ok()) {
    std::cerr << path << ":\n" << settings.status().message() << "\n";
    return kExitUsage;
  }
  return Serve(*settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
}
