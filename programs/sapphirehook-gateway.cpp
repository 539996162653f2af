#include "platform/protocol.hpp"
#include "sapphirehook/gateway/gateway.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace sapphirehook;

/** Poll interval of the settings file, which may change without a signal. */
constexpr Millis kSettingsPollInterval{ 1000 };

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
SettingsPath(int aCount, char** aArguments)
{
  const char* provided = platform::ProvidedSettingsPath();
  cxxopts::Options options("sapphirehook-gateway",
                           "Routes requests directly to endpoints that check "
                           "the grant of each request.");
  options.add_options()("settings",
                        "path of the settings file",
                        cxxopts::value<std::string>()->default_value(
                          provided != nullptr ? provided : "settings.yaml"));
  return options.parse(aCount, aArguments)["settings"].as<std::string>();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string path;
  try {
    path = SettingsPath(aCount, aArguments);
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
  const auto reload = [&](bool aForce) {
    std::string current = ReadFile(path);
    if (aForce || current != text) {
      text = std::move(current);
      gateway.Reload(ParseGatewaySettings(text));
    }
  };
  gateway.Loop().OnSignal(SIGTERM, [&] { gateway.Stop(); });
  gateway.Loop().OnSignal(SIGINT, [&] { gateway.Stop(); });
  gateway.Loop().OnSignal(SIGHUP, [&] { reload(true); });
  Timer watch(gateway.Loop(), [&] { reload(false); });
  watch.StartEvery(kSettingsPollInterval);
  gateway.Run();
  return 0;
}
