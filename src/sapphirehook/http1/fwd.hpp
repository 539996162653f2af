#ifndef SAPPHIREHOOK_HTTP1_FWD_HPP
#define SAPPHIREHOOK_HTTP1_FWD_HPP

/** HTTP/1.1 message heads, a strict parser over the http_parser library, and a
    client and a server for messages that fit in memory. */
namespace sapphirehook {

struct Header;
struct RequestHead;
struct ResponseHead;
class MessageParser;
class HttpServer;
class HttpExchange;

} // namespace sapphirehook

#endif
