#include "sapphirehook/http1/answer_text.hpp"

#include <http_parser.h>

namespace sapphirehook {

namespace {

const char*
ReasonOf(int aStatus)
{
  switch (aStatus) {
#define SAPPHIREHOOK_REASON(aNumber, aName, aText)                             \
  case aNumber:                                                                \
    return #aText;
    HTTP_STATUS_MAP(SAPPHIREHOOK_REASON)
#undef SAPPHIREHOOK_REASON
    default:
      return "Unknown";
  }
}

} // namespace

bool
HasBody(int aStatus, bool aIsHead) noexcept
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return !aIsHead && aStatus != kNoContent && aStatus != kNotModified;
}

ResponseHead
WithBodySize(const ResponseHead& aHead, bool aIsHead, std::size_t aBodyBytes)
{
  ResponseHead head = aHead;
  if (HasBody(head.m_status, aIsHead)) {
    head.m_bodySize = aBodyBytes;
  } else if (!aIsHead) {
    head.m_bodySize.reset();
  }
  return head;
}

std::string
SerializeAnswerHead(const ResponseHead& aHead, bool aChunked, bool aCloses)
{
  std::string text = "HTTP/1.1 " + std::to_string(aHead.m_status) + " " +
                     ReasonOf(aHead.m_status) + "\r\n";
  for (const auto& header : aHead.m_headers) {
    if (!IsHopByHopHeader(header.m_name)) {
      AppendHeader(text, header.m_name, header.m_value);
    }
  }
  if (aChunked) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  } else if (aHead.m_bodySize) {
    AppendHeader(text, "Content-Length", std::to_string(*aHead.m_bodySize));
  }
  if (aCloses) {
    AppendHeader(text, "Connection", "close");
  }
  text += "\r\n";
  return text;
}

} // namespace sapphirehook
