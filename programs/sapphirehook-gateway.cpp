#include "platform/protocol.hpp"
#include "sapphirehook/gateway/gateway.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace sapphirehook;

/** How often the settings file is looked at, as it may change silently. */
constexpr Millis kSettingsEvery{ 1000 };

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
SettingsPath(int aCount, char** aWords)
{
  const char* placed = platform::PlacedSettings();
  cxxopts::Options options("sapphirehook-gateway",
                           "Routes requests straight to endpoints that check "
                           "what they are asked to run.");
  options.add_options()("settings",
                        "path of the settings file",
                        cxxopts::value<std::string>()->default_value(
                          placed != nullptr ? placed : "settings.yaml"));
  return options.parse(aCount, aWords)["settings"].as<std::string>();
}

} // namespace

int
main(int aCount, char** aWords)
{
  std::string path;
  try {
    path = SettingsPath(aCount, aWords);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::string text = ReadFile(path);
  const auto settings = ParseGatewaySettings(text);
  if (!settings.ok()) {
    std::cerr << path << ": " << settings.status().message() << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Gateway gateway(*settings, platform::Protocol());
  const auto opened = gateway.Open();
  if (!opened.ok()) {
    std::cerr << opened.message() << "\n";
    return 1;
  }
  const auto reload = [&](bool aAlways) {
    std::string now = ReadFile(path);
    if (aAlways || now != text) {
      text = std::move(now);
      gateway.Reload(ParseGatewaySettings(text));
    }
  };
  gateway.Loop().OnSignal(SIGTERM, [&] { gateway.Stop(); });
  gateway.Loop().OnSignal(SIGINT, [&] { gateway.Stop(); });
  gateway.Loop().OnSignal(SIGHUP, [&] { reload(true); });
  Timer watch(gateway.Loop(), [&] { reload(false); });
  watch.StartEvery(kSettingsEvery);
  gateway.Run();
  return 0;
}
