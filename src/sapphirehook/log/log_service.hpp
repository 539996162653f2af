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

/** A record of a stream of the log service. */
struct LogRecord
{
  Offset m_offset = 0;
  std::string m_bytes;
};

/** One answer to a read of a stream. */
struct LogBatch
{
  /** Oldest offset that is still in the stream. */
  Offset m_first = 0;
  /** Offset of the next record to be appended. */
  Offset m_next = 0;
  std::vector<LogRecord> m_records;
};

/** Parses the answer to a read. Returns InvalidArgument if the text is not a
    valid batch. */
[[nodiscard]] absl::StatusOr<LogBatch>
ParseLogBatch(const std::string& aText);

/** Parses the platform's list of hosts. Returns InvalidArgument if the text is
    not a valid list. */
[[nodiscard]] absl::StatusOr<std::vector<ListedHost>>
ParseHostList(const std::string& aText);

/** An event that a stream reader reports to its consumer. */
struct LogEvent
{
  enum class Kind : unsigned char
  {
    Record,
    /** The reader has reached the end of the stream. */
    CaughtUp,
    /** A read of the stream has failed. */
    Unreadable,
    /** The log has deleted the records before m_offset. */
    Trimmed,
  };

  Kind m_kind = Kind::Unreadable;
  Offset m_offset = 0;
  std::string m_bytes;
};

/** Reads a stream of the log service continuously on a dedicated thread. */
class StreamReader
{
public:
  /** aUrl is the address of the log service. The reader writes its events to
      aEvents, and calls aOnBytes with the total size of the URL and the answer
      body of each read. */
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

/** Appends records to a stream sequentially on a dedicated thread. Retries each
    append until the log service confirms it, so the stream may contain a record
    twice. */
class RecordAppender
{
public:
  /** aUrl is the address of the log service. */
  RecordAppender(std::string aUrl, std::string aStream);

  void Start();
  void Stop();

  /** Returns the ring from which the thread reads records. */
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

/** Polls the platform's list of hosts on a dedicated thread and reports each
    change. */
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
