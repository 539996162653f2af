#ifndef SAPPHIREHOOK_CORE_HTTP_CLIENT_HPP
#define SAPPHIREHOOK_CORE_HTTP_CLIENT_HPP

#include "sapphirehook/core/time.hpp"

#include <absl/status/statusor.h>
#include <atomic>
#include <map>
#include <string>
#include <vector>

using CURL = void;

namespace sapphirehook {

/** The answer to a blocking HTTP call. */
struct BlockingHttpAnswer
{
  long m_status = 0;
  std::string m_body;
  /** Header values by their names in lower case. */
  std::map<std::string, std::string> m_headers;
};

/** Blocking HTTP calls over one kept connection. Used by one thread. */
class BlockingHttpClient
{
public:
  /** aStop ends a call under way when it becomes true; may be null. */
  explicit BlockingHttpClient(const std::atomic<bool>* aStop = nullptr);
  ~BlockingHttpClient();
  BlockingHttpClient(const BlockingHttpClient&) = delete;
  BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;
  BlockingHttpClient(BlockingHttpClient&&) = delete;
  BlockingHttpClient& operator=(BlockingHttpClient&&) = delete;

  /** Does one call, with headers in the form "Name: value". Returns Unavailable
     when there was no whole answer in time; the call may have taken effect all
     the same. */
  [[nodiscard]] absl::StatusOr<BlockingHttpAnswer> Call(
    const std::string& aMethod,
    const std::string& aUrl,
    const std::string& aBody,
    Millis aTimeout,
    const std::vector<std::string>& aHeaders = {});

private:
  CURL* m_curl;
};

/** Readies the HTTP library; called once at the start of each program. */
void
InitHttp();

} // namespace sapphirehook

#endif
