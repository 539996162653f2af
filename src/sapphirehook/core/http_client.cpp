#include "sapphirehook/core/http_client.hpp"

#include <algorithm>
#include <curl/curl.h>

namespace sapphirehook {

namespace {

/** Maximum size of an answer's body. */
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 256 } * 1024 * 1024;

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  auto& text = *static_cast<std::string*>(aText);
  const std::size_t bytes = aSize * aCount;
  if (text.size() + bytes > kMaxAnswerBytes) {
    return 0;
  }
  text.append(aData, bytes);
  return bytes;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aAnswer)
{
  const std::string line(aData, aSize * aCount);
  const auto colon = line.find(": ");
  if (colon != std::string::npos) {
    auto name = line.substr(0, colon);
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aLetter) {
        return static_cast<char>(std::tolower(aLetter));
      });
    const auto end = line.find_last_not_of("\r\n");
    static_cast<BlockingHttpAnswer*>(aAnswer)->m_headers[name] =
      line.substr(colon + 2, end - colon - 1);
  }
  return line.size();
}

int
OnProgress(void* aStop,
           curl_off_t /*aDownTotal*/,
           curl_off_t /*aDown*/,
           curl_off_t /*aUpTotal*/,
           curl_off_t /*aUp*/)
{
  const auto* stop = static_cast<const std::atomic<bool>*>(aStop);
  return stop != nullptr && stop->load() ? 1 : 0;
}

} // namespace

BlockingHttpClient::BlockingHttpClient(const std::atomic<bool>* aStop)
  : m_curl(curl_easy_init())
{
  curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(m_curl, CURLOPT_XFERINFOFUNCTION, OnProgress);
  curl_easy_setopt(
    m_curl, CURLOPT_XFERINFODATA, const_cast<std::atomic<bool>*>(aStop));
  curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(m_curl, CURLOPT_PROXY, "");
  curl_easy_setopt(m_curl, CURLOPT_TCP_NODELAY, 1L);
}

BlockingHttpClient::~BlockingHttpClient()
{
  curl_easy_cleanup(m_curl);
}

absl::StatusOr<BlockingHttpAnswer>
BlockingHttpClient::Call(const std::string& aMethod,
                         const std::string& aUrl,
                         const std::string& aBody,
                         Millis aTimeout,
                         const std::vector<std::string>& aHeaders)
{
  BlockingHttpAnswer answer;
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  headers =
    curl_slist_append(headers, "Content-Type: application/octet-stream");
  for (const auto& header : aHeaders) {
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(m_curl, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(m_curl, CURLOPT_HEADERDATA, &answer);
  curl_easy_setopt(m_curl, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(m_curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &answer.m_body);
  curl_easy_setopt(
    m_curl, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  if (aMethod == "GET") {
    curl_easy_setopt(m_curl, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(m_curl, CURLOPT_POST, 1L);
    curl_easy_setopt(m_curl, CURLOPT_POSTFIELDS, aBody.data());
    curl_easy_setopt(m_curl,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aBody.size()));
  }
  curl_easy_setopt(m_curl, CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  const CURLcode code = curl_easy_perform(m_curl);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) {
    return absl::UnavailableError(curl_easy_strerror(code));
  }
  curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &answer.m_status);
  return answer;
}

void
InitHttp()
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

} // namespace sapphirehook
