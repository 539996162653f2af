#include "sapphirehook/gateway/version_history.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE(
  "the metrics report for how long each of the last versions is in force",
  "[gateway]")
{
  VersionHistory history;
  const TimePoint start{ Millis(5000) };
  for (unsigned version = 1; version <= 20; ++version) {
    history.Add(start + Millis(100) * version, version);
  }
  std::string text;
  history.AppendSamples(text, start + Millis(2500));
  CHECK(text.find("{version=\"20\"} 0.5") != std::string::npos);
  CHECK(text.find("{version=\"9\"} 1.6") != std::string::npos);
  CHECK(text.find("{version=\"8\"}") == std::string::npos);
}
