#ifndef SAPPHIREHOOK_PEER_HEADER_BLOCK_HPP
#define SAPPHIREHOOK_PEER_HEADER_BLOCK_HPP

#include "sapphirehook/dispatch/exchange.hpp"

#include <nghttp2/nghttp2.h>
#include <string>
#include <vector>

namespace sapphirehook::internal {

/** The headers of a stream. Owns the strings that the nghttp2 structures refer
    to. */
class HeaderBlock
{
public:
  /** Adds a header with its name converted to lower case. */
  void Add(std::string aName, std::string aValue);

  /** Adds the end-to-end headers of a forwarded message. A prefix to each name
      avoids conflicts with names that HTTP/2 reserves, such as host. */
  void AddForwarded(const std::vector<Header>& aHeaders);

  /** Returns the headers for nghttp2. Valid until the block changes. */
  [[nodiscard]] std::vector<nghttp2_nv> View() const;

private:
  std::vector<Header> m_headers;
};

/** Returns the forwarded headers of a stream without their prefix. */
[[nodiscard]] std::vector<Header>
ForwardedHeaders(const std::vector<Header>& aHeaders);

} // namespace sapphirehook::internal

#endif
