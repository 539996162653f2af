#include "sapphirehook/http1/message_parser.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** Status codes outside this range are invalid (RFC 9110, section 15). */
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

/** Returns whether responses with this status have no body (RFC 9112). */
constexpr bool
HasNoBodyByStatus(int aStatus) noexcept
{
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus < kFirstFinal || aStatus == kNoContent ||
         aStatus == kNotModified;
}

/** Returns whether a text is a token of RFC 9110. http_parser accepts header
    names with spaces, which other implementations interpret differently. */
bool
IsToken(std::string_view aText) noexcept
{
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](char aByte) {
           return (aByte >= 'a' && aByte <= 'z') ||
                  (aByte >= 'A' && aByte <= 'Z') ||
                  (aByte >= '0' && aByte <= '9') ||
                  kTokenSymbols.find(aByte) != std::string_view::npos;
         });
}

} // namespace

MessageParser::MessageParser(HttpMessageType aType, MessageEvents aEvents)
  : m_type(aType)
  , m_events(std::move(aEvents))
{
  http_parser_init(&m_parser,
                   aType == HttpMessageType::Request ? HTTP_REQUEST
                                                     : HTTP_RESPONSE);
  m_parser.data = this;
}

template<auto Method>
int
MessageParser::Forward(http_parser* aParser)
{
  return (static_cast<MessageParser*>(aParser->data)->*Method)();
}

template<auto Method>
int
MessageParser::ForwardData(http_parser* aParser, const char* aAt, size_t aSize)
{
  return (static_cast<MessageParser*>(aParser->data)->*Method)({ aAt, aSize });
}

const http_parser_settings&
MessageParser::Callbacks()
{
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = Forward<&MessageParser::OnBegin>;
    settings.on_url = ForwardData<&MessageParser::OnUrl>;
    settings.on_header_field = ForwardData<&MessageParser::OnField>;
    settings.on_header_value = ForwardData<&MessageParser::OnValue>;
    settings.on_headers_complete = Forward<&MessageParser::OnHead>;
    settings.on_body = ForwardData<&MessageParser::OnBody>;
    settings.on_message_complete = Forward<&MessageParser::OnComplete>;
    return settings;
  }();
  return callbacks;
}

std::size_t
MessageParser::Feed(std::string_view aBytes)
{
  if (m_fault != ParseFault::None || m_complete || m_paused || aBytes.empty()) {
    return 0;
  }
  const std::size_t used =
    http_parser_execute(&m_parser, &Callbacks(), aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error != HPE_OK && error != HPE_PAUSED && m_fault == ParseFault::None) {
    m_fault = error == HPE_HEADER_OVERFLOW ? ParseFault::HeadTooLarge
                                           : ParseFault::Malformed;
  }
  return used;
}

void
MessageParser::FeedEof()
{
  if (m_fault == ParseFault::None && !m_complete) {
    http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      m_fault = ParseFault::Malformed;
    }
  }
}

void
MessageParser::Resume()
{
  const std::size_t limit = m_headLimit;
  http_parser_init(&m_parser,
                   m_type == HttpMessageType::Request ? HTTP_REQUEST
                                                      : HTTP_RESPONSE);
  m_parser.data = this;
  m_request = {};
  m_response = {};
  m_headLimit = limit;
  m_headBytes = 0;
  m_inValue = false;
  m_inMessage = false;
  m_headComplete = false;
  m_complete = false;
  m_isCloseDelimited = false;
  m_paused = false;
}

void
MessageParser::Pause() noexcept
{
  m_paused = true;
  http_parser_pause(&m_parser, 1);
}

void
MessageParser::Unpause() noexcept
{
  m_paused = false;
  http_parser_pause(&m_parser, 0);
}

std::vector<Header>&
MessageParser::Headers() noexcept
{
  return m_type == HttpMessageType::Request ? m_request.m_headers
                                            : m_response.m_headers;
}

bool
MessageParser::CountHead(std::size_t aBytes) noexcept
{
  m_headBytes += aBytes;
  if (m_headBytes <= m_headLimit) {
    return true;
  }
  m_fault = ParseFault::HeadTooLarge;
  return false;
}

int
MessageParser::OnBegin()
{
  m_inMessage = true;
  return 0;
}

int
MessageParser::OnUrl(std::string_view aPiece)
{
  m_request.m_target.append(aPiece);
  return CountHead(aPiece.size()) ? 0 : 1;
}

int
MessageParser::OnField(std::string_view aPiece)
{
  auto& headers = Headers();
  if (m_inValue || headers.empty()) {
    headers.emplace_back();
    m_inValue = false;
  }
  // Trailer fields arrive after the head; they are parsed and ignored.
  headers.back().m_name.append(aPiece);
  return CountHead(aPiece.size() + 2) ? 0 : 1;
}

int
MessageParser::OnValue(std::string_view aPiece)
{
  m_inValue = true;
  auto& headers = Headers();
  if (headers.empty()) {
    return 1;
  }
  headers.back().m_value.append(aPiece);
  return CountHead(aPiece.size() + 2) ? 0 : 1;
}

bool
MessageParser::HasUnambiguousFraming() const
{
  const auto& headers = m_type == HttpMessageType::Request
                          ? m_request.m_headers
                          : m_response.m_headers;
  unsigned lengths = 0;
  unsigned encodings = 0;
  bool chunked = true;
  for (const auto& header : headers) {
    if (!IsToken(header.m_name)) {
      return false;
    }
    if (EqualNoCase(header.m_name, "content-length")) {
      ++lengths;
    } else if (EqualNoCase(header.m_name, "transfer-encoding")) {
      ++encodings;
      chunked = chunked && EqualNoCase(header.m_value, "chunked");
    }
  }
  // The next server could interpret two framings, or an encoding other than
  // chunked, differently (request smuggling, RFC 9112 section 6.3).
  return lengths + encodings <= 1 && chunked;
}

int
MessageParser::OnHead()
{
  if (!HasUnambiguousFraming()) {
    m_fault = ParseFault::Malformed;
    return -1;
  }
  // Upgrades are not forwarded, so the following bytes are a body.
  m_parser.upgrade = 0;
  m_keepAlive = http_should_keep_alive(&m_parser) != 0;
  m_takesChunks = m_parser.http_major > 1 ||
                  (m_parser.http_major == 1 && m_parser.http_minor >= 1);
  const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
  const bool chunked = (m_parser.flags & F_CHUNKED) != 0;
  std::optional<std::uint64_t> size;
  if (hasLength) {
    size = m_parser.content_length;
  }
  if (m_type == HttpMessageType::Request) {
    m_request.m_method =
      http_method_str(static_cast<http_method>(m_parser.method));
    m_request.m_bodySize = size;
    m_request.m_hasBody = chunked || size.value_or(0) > 0;
  } else {
    m_response.m_status = static_cast<int>(m_parser.status_code);
    if (m_response.m_status < kFirstStatus ||
        m_response.m_status > kLastStatus) {
      m_fault = ParseFault::Malformed;
      return -1;
    }
    m_response.m_bodySize = size;
    m_isCloseDelimited =
      !m_noBody && !chunked && !size && !HasNoBodyByStatus(m_response.m_status);
  }
  m_headComplete = true;
  if (m_events.m_onHead) {
    m_events.m_onHead();
  }
  return m_type == HttpMessageType::Response && m_noBody ? 1 : 0;
}

int
MessageParser::OnBody(std::string_view aPiece)
{
  if (m_events.m_onBody) {
    m_events.m_onBody(aPiece);
  }
  return 0;
}

int
MessageParser::OnComplete()
{
  m_complete = true;
  http_parser_pause(&m_parser, 1);
  if (m_events.m_onComplete) {
    m_events.m_onComplete();
  }
  return 0;
}

} // namespace sapphirehook
