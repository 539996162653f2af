#ifndef SAPPHIREHOOK_HTTP1_FWD_HPP
#define SAPPHIREHOOK_HTTP1_FWD_HPP

/** HTTP/1.1 message heads, and strict parsers over the http_parser library. */
namespace sapphirehook {

struct Header;
struct RequestHead;
struct ResponseHead;
class MessageParser;
class HttpServer;
class HttpExchange;

} // namespace sapphirehook

#endif
