#ifndef SAPPHIREHOOK_HTTP1_MESSAGE_PARSER_HPP
#define SAPPHIREHOOK_HTTP1_MESSAGE_PARSER_HPP

#include "sapphirehook/http1/head.hpp"

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace sapphirehook {

/** Type of the messages that a parser reads. */
enum class HttpMessageType : unsigned char
{
  Request,
  Response,
};

/** Why a message is rejected. */
enum class ParseFault : unsigned char
{
  None,
  /** The bytes violate the protocol or are ambiguous. */
  Malformed,
  /** The head exceeds the limit. */
  HeadTooLarge,
};

/** Callbacks of a parser. A body is passed in pieces as they arrive. */
struct MessageEvents
{
  /** The head is complete. */
  std::function<void()> m_onHead;
  std::function<void(std::string_view)> m_onBody;
  /** The message is complete. The parser stops until Resume is called. */
  std::function<void()> m_onComplete;
};

/** Strict HTTP/1.1 parser for one direction of a connection, over http_parser.
    It stops after each message and does not consume bytes of the next one. */
class MessageParser
{
public:
  MessageParser(HttpMessageType aType, MessageEvents aEvents);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Sets the maximum size of a head in bytes. */
  void LimitHead(std::size_t aBytes) noexcept { m_headLimit = aBytes; }

  /** Sets whether the next response answers a HEAD request and so has no
      body. */
  void ExpectNoBody(bool aNoBody) noexcept { m_noBody = aNoBody; }

  /** Parses bytes. Returns how many of them belong to the current message; the
      rest is passed again after Resume. */
  std::size_t Feed(std::string_view aBytes);

  /** Signals the end of the stream: the peer has closed its side (FIN). */
  void FeedEof();

  /** Starts the next message after a complete one. */
  void Resume();

  /** Stops after the head, if called from m_onHead: Feed consumes nothing until
      Unpause is called. */
  void Pause() noexcept;
  void Unpause() noexcept;

  [[nodiscard]] ParseFault Fault() const noexcept { return m_fault; }

  /** Returns whether any byte of the current message has been parsed. */
  [[nodiscard]] bool IsInMessage() const noexcept { return m_inMessage; }

  [[nodiscard]] bool IsHeadComplete() const noexcept { return m_headComplete; }

  [[nodiscard]] bool IsComplete() const noexcept { return m_complete; }

  /** Returns whether the peer keeps the connection open after this message. */
  [[nodiscard]] bool KeepsAlive() const noexcept { return m_keepAlive; }

  /** Returns whether the peer understands the chunked encoding: it states
      HTTP/1.1 or later. */
  [[nodiscard]] bool TakesChunks() const noexcept { return m_takesChunks; }

  /** Returns whether the close of the connection ends the response's body. */
  [[nodiscard]] bool IsCloseDelimited() const noexcept
  {
    return m_isCloseDelimited;
  }

  /** Head of the current message; only the one of the parser's type is set. */
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
  [[nodiscard]] bool HasUnambiguousFraming() const;
  std::vector<Header>& Headers() noexcept;

  HttpMessageType m_type;
  MessageEvents m_events;
  http_parser m_parser{};
  RequestHead m_request;
  ResponseHead m_response;
  std::size_t m_headLimit = 65'536; // bytes; the routes set the callers' limit
  std::size_t m_headBytes = 0;
  ParseFault m_fault = ParseFault::None;
  bool m_noBody = false;
  bool m_inValue = false;
  bool m_inMessage = false;
  bool m_headComplete = false;
  bool m_complete = false;
  bool m_keepAlive = true;
  bool m_isCloseDelimited = false;
  bool m_takesChunks = true;
  bool m_paused = false;
};

} // namespace sapphirehook

#endif
