#include "sapphirehook/ownership/coordinator.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

/** One daemon with a log that accepts every record at once. */
class LoneDaemon
{
public:
  LoneDaemon()
    : m_coordinator({ { "h", 1 }, "r", "z", "127.0.0.1:1", {}, {} })
  {
  }

  /** Runs for the given time and returns how many snapshots were appended. */
  std::size_t Run(std::chrono::nanoseconds aSpan)
  {
    std::size_t snapshots = 0;
    const auto end = m_now + aSpan;
    while (m_now < end) {
      m_now += Millis(100);
      m_coordinator.OnLogStatus(m_now, true);
      m_coordinator.OnTick(m_now);
      for (const auto& action : m_coordinator.TakeActions()) {
        if (const auto* append = std::get_if<AppendAction>(&action)) {
          const auto record = DecodeRecord(append->m_bytes);
          snapshots +=
            std::holds_alternative<SnapshotRecord>(record->m_body) ? 1 : 0;
          m_coordinator.OnRecord(m_now, m_next++, append->m_bytes);
        }
      }
    }
    return snapshots;
  }

private:
  TimePoint m_now{ std::chrono::hours(1) };
  Offset m_next = 0;
  Coordinator m_coordinator;
};

} // namespace

TEST_CASE("an idle log gets a new snapshot within the retention time",
          "[coordinator]")
{
  LoneDaemon daemon;
  static_cast<void>(daemon.Run(std::chrono::minutes(5)));
  CHECK(daemon.Run(std::chrono::hours(1)) >= 4);
}
