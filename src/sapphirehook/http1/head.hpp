#ifndef SAPPHIREHOOK_HTTP1_HEAD_HPP
#define SAPPHIREHOOK_HTTP1_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

struct Header
{
  std::string m_name;
  std::string m_value;
};

/** Compares two header names or values without regard to case. */
[[nodiscard]] bool
EqualNoCase(std::string_view aLeft, std::string_view aRight) noexcept;

/** Returns the value of a header, or null if there is none. The case of the
    name is ignored. */
[[nodiscard]] const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/** Returns whether a header is hop-by-hop: it applies to one connection only
    and is not forwarded. */
[[nodiscard]] bool
IsHopByHopHeader(std::string_view aName);

/** Appends a header line in the form "name: value". */
void
AppendHeader(std::string& aText,
             std::string_view aName,
             std::string_view aValue);

/** Appends a piece of a body as one chunk of the chunked encoding. An empty
    piece appends nothing, because an empty chunk ends the body. */
void
AppendChunk(std::string& aText, std::string_view aPiece);

/** The last chunk of a body in chunked encoding. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** Parses a decimal whole number. Returns nothing if the text has another
    form. */
[[nodiscard]] std::optional<std::uint64_t>
ParseWholeNumber(std::string_view aText) noexcept;

struct RequestHead
{
  std::string m_method;
  /** Path and query as received from the caller. */
  std::string m_target;
  std::vector<Header> m_headers;
  /** Size of the body if the caller declared it. */
  std::optional<std::uint64_t> m_bodySize;
  bool m_hasBody = false;
};

struct ResponseHead
{
  int m_status = 0;
  std::vector<Header> m_headers;
  std::optional<std::uint64_t> m_bodySize;
};

} // namespace sapphirehook

#endif
