#ifndef SAPPHIREHOOK_HTTP1_ANSWER_TEXT_HPP
#define SAPPHIREHOOK_HTTP1_ANSWER_TEXT_HPP

#include "sapphirehook/http1/head.hpp"

#include <cstddef>
#include <string>

namespace sapphirehook {

/** Returns whether an answer has a body, which depends on its status and on
    whether the request's method is HEAD (RFC 9110 section 6.4.1). */
[[nodiscard]] bool
HasBody(int aStatus, bool aIsHead) noexcept;

/** Returns the head of an answer with a body of a known size. The answer to a
    HEAD request keeps the size that the head states. */
[[nodiscard]] ResponseHead
WithBodySize(const ResponseHead& aHead, bool aIsHead, std::size_t aBodyBytes);

/** Serializes the head of an answer without its hop-by-hop headers. The body is
    chunked, or has the size that the head states. */
[[nodiscard]] std::string
SerializeAnswerHead(const ResponseHead& aHead, bool aChunked, bool aCloses);

} // namespace sapphirehook

#endif
