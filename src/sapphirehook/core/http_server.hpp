#ifndef SAPPHIREHOOK_CORE_HTTP_SERVER_HPP
#define SAPPHIREHOOK_CORE_HTTP_SERVER_HPP

#include "sapphirehook/core/time.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct MHD_Daemon;

namespace sapphirehook {

/** A request to a small HTTP server. */
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  /** Header values by their names in lower case. */
  std::map<std::string, std::string> m_headers;
  /** Query values by name. */
  std::map<std::string, std::string> m_query;
  /** The first bytes of the body; see ThreadedHttpServer. */
  std::string m_body;
  /** Size of the whole body in bytes. */
  std::uint64_t m_bodySize = 0;
};

/** The answer of a small HTTP server. */
struct HttpResponse
{
  int m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /** Bytes of filler that follow the body. */
  std::uint64_t m_fillerBytes = 0;
  /** The answer is cut off after so many bytes when this is not negative. */
  std::int64_t m_cutAfter = -1;
  /** The connection is closed without an answer. */
  bool m_drop = false;
};

/** HTTP server with a thread for each connection, for operators' ports and
    stand-ins. The handler may block; it gets at most kKeptBodyBytes of a
    body, whatever its size. */
class ThreadedHttpServer
{
public:
  static constexpr std::size_t kKeptBodyBytes = std::size_t{ 4 } * 1024 * 1024;

  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit ThreadedHttpServer(Handler aHandler)
    : m_handler(std::move(aHandler))
  {
  }
  ~ThreadedHttpServer() { Stop(); }
  ThreadedHttpServer(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer& operator=(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer(ThreadedHttpServer&&) = delete;
  ThreadedHttpServer& operator=(ThreadedHttpServer&&) = delete;

  /** Listens on "number:port". Returns Unavailable when that is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);

  void Stop();

  /** Answers one request; called by the server's threads. */
  [[nodiscard]] HttpResponse Handle(const HttpRequest& aRequest) const
  {
    return m_handler(aRequest);
  }

private:
  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
};

} // namespace sapphirehook

#endif
