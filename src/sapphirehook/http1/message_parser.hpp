#ifndef SAPPHIREHOOK_HTTP1_MESSAGE_PARSER_HPP
#define SAPPHIREHOOK_HTTP1_MESSAGE_PARSER_HPP

#include "sapphirehook/http1/head.hpp"

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace sapphirehook {

/** What a parser is given bytes of. */
enum class MessageSide : unsigned char
{
  Request,
  Response,
};

/** Why bytes are not a message that may be passed on. */
enum class ParseFault : unsigned char
{
  None,
  /** The bytes break the protocol, or could be read in two ways. */
  Malformed,
  /** The head is longer than allowed. */
  HeadTooLarge,
};

/** What a parser tells its owner. Bodies are given in pieces as they come. */
struct MessageEvents
{
  /** The head is complete. */
  std::function<void()> m_onHead;
  std::function<void(std::string_view)> m_onBody;
  /** The message is complete; the parser stops until Resume is called. */
  std::function<void()> m_onComplete;
};

/** Strict HTTP/1.1 parser of one side of a connection, over http_parser. It
    stops after each message, so that bytes of the next one stay with the
    owner. */
class MessageParser
{
public:
  MessageParser(MessageSide aSide, MessageEvents aEvents);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Sets the most bytes that a head may have. */
  void LimitHead(std::size_t aBytes) noexcept { m_headLimit = aBytes; }

  /** Says that the next response answers a HEAD request and has no body. */
  void ExpectNoBody(bool aNoBody) noexcept { m_noBody = aNoBody; }

  /** Parses bytes. Returns how many belong to the current message; the rest
      must be given again after Resume. */
  std::size_t Feed(std::string_view aBytes);

  /** Tells that the peer has closed its side in an orderly way. */
  void FeedEnd();

  /** Goes on with the next message after one was complete. */
  void Resume();

  [[nodiscard]] ParseFault Fault() const noexcept { return m_fault; }

  /** True once any byte of the current message has been read. */
  [[nodiscard]] bool IsInMessage() const noexcept { return m_inMessage; }

  [[nodiscard]] bool IsHeadComplete() const noexcept { return m_headComplete; }

  [[nodiscard]] bool IsComplete() const noexcept { return m_complete; }

  /** Whether the peer keeps the connection open after this message. */
  [[nodiscard]] bool KeepsAlive() const noexcept { return m_keepAlive; }

  /** Whether the response's body ends with its connection. */
  [[nodiscard]] bool EndsWithConnection() const noexcept
  {
    return m_endsWithConnection;
  }

  /** Head of the current message; only the fields of its side are set. */
  [[nodiscard]] RequestHead& Request() noexcept { return m_request; }
  [[nodiscard]] ResponseHead& Response() noexcept { return m_response; }

private:
  template<auto Method>
  static int Forward(http_parser* aParser);
  template<auto Method>
  static int ForwardData(http_parser* aParser, const char* aAt, size_t aSize);
  static const http_parser_settings& Callbacks();

  int OnBegin();
  int OnUrl(std::string_view aPiece);
  int OnField(std::string_view aPiece);
  int OnValue(std::string_view aPiece);
  int OnHead();
  int OnBody(std::string_view aPiece);
  int OnComplete();
  [[nodiscard]] bool CountHead(std::size_t aBytes) noexcept;
  [[nodiscard]] bool HasPlainFraming() const;
  std::vector<Header>& Headers() noexcept;

  MessageSide m_side;
  MessageEvents m_events;
  http_parser m_parser{};
  RequestHead m_request;
  ResponseHead m_response;
  std::size_t m_headLimit = 65'536; // bytes; callers' limit comes with routes
  std::size_t m_headBytes = 0;
  ParseFault m_fault = ParseFault::None;
  bool m_noBody = false;
  bool m_inValue = false;
  bool m_inMessage = false;
  bool m_headComplete = false;
  bool m_complete = false;
  bool m_keepAlive = true;
  bool m_endsWithConnection = false;
};

} // namespace sapphirehook

#endif
