#ifndef SAPPHIREHOOK_CORE_JSON_TEXT_HPP
#define SAPPHIREHOOK_CORE_JSON_TEXT_HPP

#include <nlohmann/json.hpp>
#include <string>

namespace sapphirehook {

/** Serializes a JSON value. Strings may contain any bytes: those that are not
    UTF-8 are replaced, where the library's default throws an exception. */
[[nodiscard]] inline std::string
SerializeJson(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sapphirehook

#endif
