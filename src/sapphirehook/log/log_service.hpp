#ifndef SAPPHIREHOOK_LOG_LOG_SERVICE_HPP
#define SAPPHIREHOOK_LOG_LOG_SERVICE_HPP

#include "sapphirehook/core/http_client.hpp"
#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/ring.hpp"
#include "sapphirehook/core/worker.hpp"
#include "sapphirehook/ownership/group_manager.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirehook {

/** A record as the log service gives it. */
struct LogRecord
{
  Offset m_offset = 0;
  std::string m_bytes;
};

/** One answer to a read of a stream. */
struct LogBatch
{
  /** Oldest offset that the stream still has. */
  Offset m_first = 0;
  /** Offset that the next record will have. */
  Offset m_next = 0;
  std::vector<LogRecord> m_records;
};

/** Parses the answer to a read. Returns InvalidArgument when it is none. */
[[nodiscard]] absl::StatusOr<LogBatch>
ParseLogBatch(const std::string& aText);

/** Parses the platform's list of hosts. Returns InvalidArgument when the text
    is none. */
[[nodiscard]] absl::StatusOr<std::vector<ListedHost>>
ParseHostList(const std::string& aText);

/** What a stream reader tells its consumer. */
struct LogEvent
{
  enum class Kind : unsigned char
  {
    Record,
    /** The stream was read up to its end. */
    Reached,
    /** The stream could not be read. */
    Unreadable,
    /** The log no longer has records before m_offset. */
    Trimmed,
  };

  Kind m_kind = Kind::Unreadable;
  Offset m_offset = 0;
  std::string m_bytes;
};

/** Follows a stream of the log service on a thread of its own. */
class StreamReader
{
public:
  /** Reads from aUrl, the address of the service, into the ring. */
  StreamReader(std::string aUrl,
               std::string aStream,
               Ring<LogEvent>& aEvents,
               std::function<void(std::uint64_t)> aOnBytes);

  void Start();
  void Stop();

private:
  void Run();
  bool ReadOnce(BlockingHttpClient& aClient);
  void Emit(const LogEvent& aEvent);

  std::string m_url;
  std::string m_stream;
  Ring<LogEvent>& m_events;
  std::function<void(std::uint64_t)> m_onBytes;
  Offset m_next = 0;
  Worker m_worker;
};

/** Appends records to a stream, one after the other, on a thread of its own.
    A record whose append was not confirmed is appended again, so that the
    stream may hold it twice. */
class RecordAppender
{
public:
  /** Appends to a stream of the service at aUrl. */
  RecordAppender(std::string aUrl, std::string aStream);

  void Start();
  void Stop();

  /** Returns the ring that the thread takes records from. */
  [[nodiscard]] Ring<std::string>& Records() noexcept { return m_records; }

  [[nodiscard]] std::uint64_t Appended() const noexcept
  {
    return m_appended.load();
  }

private:
  void Run();
  void AppendUntilConfirmed(BlockingHttpClient& aClient,
                            const std::string& aBytes);

  static constexpr std::size_t kRingCapacity = 4096;

  std::string m_url;
  std::string m_stream;
  Waker m_waker;
  Ring<std::string> m_records;
  std::atomic<std::uint64_t> m_appended{ 0 };
  Worker m_worker;
};

/** Reads the platform's list of hosts now and then on a thread of its own. */
class HostListReader
{
public:
  HostListReader(std::string aUrl, Ring<std::vector<ListedHost>>& aLists);

  void Start();
  void Stop() { m_worker.Stop(); }

private:
  void Run();

  std::string m_url;
  Ring<std::vector<ListedHost>>& m_lists;
  Worker m_worker;
};

} // namespace sapphirehook

#endif
