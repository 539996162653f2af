#ifndef SAPPHIREHOOK_HTTP1_HEAD_HPP
#define SAPPHIREHOOK_HTTP1_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** One HTTP header. */
struct Header
{
  std::string m_name;
  std::string m_value;
};

/** Returns whether two header names or values are equal but for case. */
[[nodiscard]] bool
EqualNoCase(std::string_view aLeft, std::string_view aRight) noexcept;

/** Returns the value of a header, whatever the case of its name; null when
    there is none. */
[[nodiscard]] const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/** Returns whether a header belongs to one connection only, so that it is not
    passed on. */
[[nodiscard]] bool
IsHopHeader(std::string_view aName);

/** Appends "name: value" and a line end. */
void
AppendHeader(std::string& aText,
             std::string_view aName,
             std::string_view aValue);

/** Appends a piece of a body as one chunk of chunked encoding. An empty piece
    appends nothing, since an empty chunk ends the body. */
void
AppendChunk(std::string& aText, std::string_view aPiece);

/** Ends a body in chunked encoding. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** Returns the whole number that a text holds; empty when it holds anything
    else. */
[[nodiscard]] std::optional<std::uint64_t>
ParseWholeNumber(std::string_view aText) noexcept;

/** The head of a request. */
struct RequestHead
{
  std::string m_method;
  /** Path and query as the caller sent them. */
  std::string m_target;
  std::vector<Header> m_headers;
  /** Size of the body when the caller declared it. */
  std::optional<std::uint64_t> m_bodySize;
  bool m_hasBody = false;
};

/** The head of an answer. */
struct ResponseHead
{
  int m_status = 0;
  std::vector<Header> m_headers;
  std::optional<std::uint64_t> m_bodySize;
};

} // namespace sapphirehook

#endif
