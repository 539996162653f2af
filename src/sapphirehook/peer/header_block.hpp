#ifndef SAPPHIREHOOK_PEER_HEADER_BLOCK_HPP
#define SAPPHIREHOOK_PEER_HEADER_BLOCK_HPP

#include "sapphirehook/dispatch/exchange.hpp"

#include <nghttp2/nghttp2.h>
#include <string>
#include <vector>

namespace sapphirehook::internal {

/** Headers of a stream in the form that nghttp2 takes, with their texts. */
class HeaderBlock
{
public:
  /** Adds a header; its name is put in lower case. */
  void Add(std::string aName, std::string aValue);

  /** Adds the headers that are passed on, with a prefix that keeps names that
      HTTP/2 reserves, such as host, apart. */
  void AddPassedOn(const std::vector<Header>& aHeaders);

  /** Returns the headers; valid as long as the block is unchanged. */
  [[nodiscard]] std::vector<nghttp2_nv> View() const;

private:
  std::vector<Header> m_texts;
};

/** Returns the passed-on headers of a stream without their prefix. */
[[nodiscard]] std::vector<Header>
PassedOn(const std::vector<Header>& aHeaders);

} // namespace sapphirehook::internal

#endif
