#ifndef SAPPHIREHOOK_STANDIN_LOG_SERVICE_HPP
#define SAPPHIREHOOK_STANDIN_LOG_SERVICE_HPP

#include "sapphirehook/core/http_server.hpp"
#include "sapphirehook/core/ids.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace standin {

/** Injected faults of the log service. Can be set over HTTP. */
struct LogFaults
{
  bool m_down = false;
  int m_slowMs = 0;
  /** Number of next appends that take effect but are not answered. */
  int m_lostReplies = 0;
  /** Names of callers whose calls fail. A caller is named by the suffix "/NAME"
      of the address at which it calls the service. */
  std::vector<std::string> m_cut;
};

/** Stand-in for the platform's log service and host list. */
class LogService
{
public:
  LogService();

  /** Listens on "number:port", where the number is an IP address. Returns
      Unavailable if the address is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);
  void Stop();

  void SetFaults(const LogFaults& aFaults);

  /** Deletes the records of a stream before an offset. */
  void Trim(const std::string& aStream, sapphirehook::Offset aFirst);

private:
  struct Stream
  {
    sapphirehook::Offset m_first = 0;
    std::deque<std::string> m_records;
  };

  sapphirehook::HttpResponse Handle(const sapphirehook::HttpRequest& aRequest);
  sapphirehook::HttpResponse Append(const std::string& aStream,
                                    const std::string& aBytes);
  sapphirehook::HttpResponse Read(const std::string& aStream,
                                  sapphirehook::Offset aFrom,
                                  int aWaitMs);
  sapphirehook::HttpResponse Control(const sapphirehook::HttpRequest& aRequest);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  LogFaults m_faults;
  std::map<std::string, Stream> m_streams;
  std::map<std::string, std::string> m_hosts;
  std::uint64_t m_appends = 0;
  sapphirehook::ThreadedHttpServer m_server;
};

} // namespace standin

#endif
