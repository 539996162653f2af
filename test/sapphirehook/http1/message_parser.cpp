#include "sapphirehook/http1/message_parser.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace sapphirehook;

namespace {

/** Feeds the pieces to a parser and returns its events as text. */
std::string
Read(HttpMessageType aSide, const std::vector<std::string>& aPieces, bool aEnd)
{
  std::string found;
  MessageParser* self = nullptr;
  MessageParser parser(
    aSide,
    MessageEvents{ [&] {
                    if (aSide == HttpMessageType::Request) {
                      found += self->Request().m_method + " " +
                               self->Request().m_target;
                    } else {
                      found += std::to_string(self->Response().m_status);
                    }
                    const auto& headers = aSide == HttpMessageType::Request
                                            ? self->Request().m_headers
                                            : self->Response().m_headers;
                    for (const auto& header : headers) {
                      found += " " + header.m_name + "=" + header.m_value;
                    }
                    found += " body:";
                  },
                   [&](std::string_view aPiece) { found.append(aPiece); },
                   [&] { found += ";"; } });
  self = &parser;
  std::string pending;
  for (const auto& piece : aPieces) {
    pending += piece;
    while (!pending.empty() && parser.Fault() == ParseFault::None) {
      const auto used = parser.Feed(pending);
      pending.erase(0, used);
      if (!parser.IsComplete()) {
        break;
      }
      parser.Resume();
    }
  }
  if (aEnd) {
    parser.FeedEof();
  }
  if (parser.Fault() != ParseFault::None) {
    found += "fault";
  }
  return found;
}

const std::string kRequests =
  "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
  "GET /c HTTP/1.1\r\nHost: h\r\n\r\n"
  "PUT /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
  "DELETE /e HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_CASE("the split of the input does not change the parsed messages",
          "[http1]")
{
  const auto whole = Read(HttpMessageType::Request, { kRequests }, false);
  CHECK(whole == "POST /a?b Host=h Content-Length=5 body:hello;"
                 "GET /c Host=h body:;"
                 "PUT /d Host=h Transfer-Encoding=chunked body:abcde;"
                 "DELETE /e Host=h Content-Length=0 body:;");
  std::mt19937 random(4);
  for (int round = 0; round < 200; ++round) {
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < kRequests.size();) {
      const auto size = 1 + support::Draw(random, round % 2 == 0 ? 3 : 60);
      pieces.push_back(kRequests.substr(at, size));
      at += size;
    }
    REQUIRE(Read(HttpMessageType::Request, pieces, false) == whole);
  }
}

TEST_CASE("ambiguous requests are rejected", "[http1]")
{
  const auto head =
    GENERATE("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3\r\nContent-Length: 3\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding : chunked\r\n",
             "Content-Length: +3\r\n",
             "Content-Length: 3x\r\n",
             "Bad Name: x\r\n");
  INFO(head);
  const auto found = Read(HttpMessageType::Request,
                          { std::string("POST / HTTP/1.1\r\nHost: h\r\n") +
                            head + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n" },
                          false);
  CHECK(found.find("fault") != std::string::npos);
  CHECK(found.find("smuggled") == std::string::npos);
}

TEST_CASE("a head above the limit is rejected", "[http1]")
{
  MessageParser parser(HttpMessageType::Request, MessageEvents{});
  parser.LimitHead(100);
  parser.Feed("GET /" + std::string(200, 'a') + " HTTP/1.1\r\n");
  CHECK(parser.Fault() == ParseFault::HeadTooLarge);
}

TEST_CASE("an answer without a length ends when the connection closes",
          "[http1]")
{
  const std::string text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome bytes";
  CHECK(Read(HttpMessageType::Response, { text }, false) ==
        "200 X=y body:some bytes");
  CHECK(Read(HttpMessageType::Response, { text }, true) ==
        "200 X=y body:some bytes;");
}

TEST_CASE("a truncated answer is never complete", "[http1]")
{
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome";
  const auto found = Read(HttpMessageType::Response, { text }, true);
  CHECK(found.find(';') == std::string::npos);
}

TEST_CASE("bytes that are not an HTTP answer are a parse error", "[http1]")
{
  CHECK(Read(HttpMessageType::Response, { "\x01\x02garbage\r\n\r\n" }, false) ==
        "fault");
}
