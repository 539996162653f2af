#include "sapphirehook/operator/log_commands.hpp"

#include "sapphirehook/operator/log_merge.hpp"
#include "sapphirehook/operator/request_trace.hpp"

#include <absl/status/status.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <sstream>

using namespace sapphirehook;

namespace {

std::unique_ptr<std::istream>
Log(const std::string& aText)
{
  return std::make_unique<std::istringstream>(aText);
}

std::string
Line(int aMillis, const std::string& aHost, const std::string& aRest)
{
  return "{\"t_ms\":" + std::to_string(aMillis) + ",\"boot_ms\":1,\"host\":\"" +
         aHost + "\"," + aRest + "}\n";
}

std::string
Event(int aMillis, const std::string& aHost, const std::string& aEvent)
{
  return Line(aMillis, aHost, R"("event":")" + aEvent + "\"");
}

std::vector<std::string>
EventsOf(LogMerge& aLogs)
{
  std::vector<std::string> events;
  while (const auto entry = aLogs.Next()) {
    events.push_back(entry->m_event);
  }
  return events;
}

/** Returns the paths of the recorded logs of eight gateways. The logs cover a
    day with hot keys, endpoints that reset connections, and hosts that did not
    reach the store. */
std::vector<std::string>
RecordedLogs()
{
  std::vector<std::string> paths;
  const std::filesystem::path folder(SAPPHIREHOOK_SOURCE_DIR "/test/data/logs");
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    paths.push_back(file.path());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

std::string
Explained(const std::string& aId)
{
  std::ostringstream out;
  const auto status = ExplainRequest(out, aId, RecordedLogs());
  INFO(status.message());
  REQUIRE(status.ok());
  return out.str();
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("logs are merged by time and each keeps its own order", "[operator]")
{
  std::vector<std::unique_ptr<std::istream>> logs;
  // The clock of "a" is set back after its second line.
  logs.push_back(Log(Event(10, "a", "a1") + Event(40, "a", "a2") +
                     Event(15, "a", "a3") + Event(60, "a", "a4")));
  logs.push_back(Log(Event(20, "b", "b1") + Event(50, "b", "b2")));
  LogMerge merge(std::move(logs));
  CHECK(EventsOf(merge) ==
        std::vector<std::string>{ "a1", "b1", "a2", "a3", "b2", "a4" });
  CHECK(merge.Skipped() == 0);
}

TEST_CASE("lines that are not gateway log lines are skipped and counted",
          "[operator]")
{
  std::vector<std::unique_ptr<std::istream>> logs;
  logs.push_back(Log("usage: gateway\n{\"t_ms\":1}\n{\"t_ms\":\n" +
                     std::string(100'000, '{') + "\n\n" + "12.5 host-1 " +
                     Event(10, "a", "a1") +
                     // The last line has no line break.
                     R"({"t_ms":20,"host":"a","event":"a2"})"));
  LogMerge merge(std::move(logs));
  CHECK(EventsOf(merge) == std::vector<std::string>{ "a1", "a2" });
  CHECK(merge.Skipped() == 5);
}

TEST_CASE("a request trace is limited to the latest lines", "[operator]")
{
  RequestTrace trace("x");
  const auto entry = [](int aMillis, const std::string& aRest) {
    return *ParseLogEntry(Line(aMillis, "a", aRest));
  };
  trace.AddFromFirstPass(entry(
    9000, R"("event":"request-ended","id":"x","took_ms":100,"endpoint":"e")"));
  for (int line = 0; line < 1000; ++line) {
    trace.AddFromSecondPass(entry(
      line * 9, R"("event":"endpoint-entry","endpoint":"e","draining":0)"));
  }
  const auto lines = trace.Lines();
  CHECK(lines.size() == RequestTrace::kMaxLines + 1);
  CHECK(lines.back().m_event == "request-ended");
  CHECK(lines.front().m_wall == Millis(800 * 9));
  CHECK(trace.DroppedLines() == 800);
}

TEST_CASE("an unknown id and an unreadable file give different errors",
          "[operator]")
{
  std::ostringstream out;
  CHECK(absl::IsNotFound(ExplainRequest(out, "nobody", RecordedLogs())));
  CHECK(absl::IsInvalidArgument(ExplainRequest(out, "x", { "/nowhere/log" })));
}

// The next three tests use the requests described in docs/OPERATIONS.md.

TEST_CASE("the trace of a request refused at a load peak shows its hot key",
          "[operator]")
{
  const auto trace = Explained("92f454e5f30763e5");
  CHECK(Has(trace, R"(outcome="too many wait")"));
  CHECK(Has(trace, "holder_limit=8"));
  CHECK(Has(trace, "range-moves service=rabo25a first=62180 last=62180"));
}

TEST_CASE("the trace of a request lost at an endpoint shows the connection",
          "[operator]")
{
  const auto trace = Explained("13d573900e978a5d");
  CHECK(Has(trace, R"(outcome="endpoint lost during the request")"));
  CHECK(Has(trace, "attempt-ended id=13d573900e978a5d"));
  CHECK(Has(trace, "end=lost"));
  CHECK(Has(trace, "endpoint-entry endpoint=i-0bebe87c72"));
}

TEST_CASE("the trace of a request that waited shows the move of its key",
          "[operator]")
{
  const auto trace = Explained("c2fcd1dae0d18d13");
  CHECK(Has(trace, R"(outcome="no room in time")"));
  CHECK(Has(trace, "granted=0"));
  CHECK(Has(trace, "range-moves service=rabo25a first=41984 last=42302"));
  // Moves of ranges that do not contain the key are left out.
  CHECK_FALSE(Has(trace, "first=62180"));
}

TEST_CASE("a timeline contains no individual requests", "[operator]")
{
  std::ostringstream all;
  REQUIRE(PrintLogTimeline(all, RecordedLogs(), {}).ok());
  CHECK(Has(all.str(), "leads term="));
  CHECK_FALSE(Has(all.str(), "request-ended"));
  std::ostringstream one;
  REQUIRE(
    PrintLogTimeline(one, RecordedLogs(), { "", "i-0bebe87c72", {} }).ok());
  CHECK(Has(one.str(), "endpoint-entry endpoint=i-0bebe87c72"));
  CHECK_FALSE(Has(one.str(), "leads term="));
}
