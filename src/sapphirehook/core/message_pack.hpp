#ifndef SAPPHIREHOOK_CORE_MESSAGE_PACK_HPP
#define SAPPHIREHOOK_CORE_MESSAGE_PACK_HPP

#include <absl/status/statusor.h>
#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace sapphirehook {

/** Serializes a value as MessagePack. */
template<typename Type>
[[nodiscard]] std::string
Pack(const Type& aValue)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aValue);
  return { buffer.data(), buffer.size() };
}

/** Parses a value from MessagePack. Returns InvalidArgument if the bytes are
    not exactly one value of this type. */
template<typename Type>
[[nodiscard]] absl::StatusOr<Type>
Unpack(std::string_view aBytes)
{
  constexpr std::size_t kMaxElements = std::size_t{ 1 } << 24U;
  constexpr std::size_t kMaxDepth = 32;
  const msgpack::unpack_limit limit(kMaxElements,
                                    kMaxElements,
                                    kMaxElements * 16,
                                    kMaxElements * 16,
                                    kMaxElements,
                                    kMaxDepth);
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), offset, nullptr, nullptr, limit);
    if (offset != aBytes.size()) {
      return absl::InvalidArgumentError("unexpected bytes after the message");
    }
    return handle.get().as<Type>();
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

namespace internal {

template<typename Variant, std::size_t Index = 0>
absl::StatusOr<Variant>
UnpackAlternative(std::size_t aIndex, std::string_view aBytes)
{
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (aIndex != Index) {
      return UnpackAlternative<Variant, Index + 1>(aIndex, aBytes);
    }
    auto value = Unpack<std::variant_alternative_t<Index, Variant>>(aBytes);
    if (!value.ok()) {
      return value.status();
    }
    return Variant(std::in_place_index<Index>, *std::move(value));
  } else {
    return absl::InvalidArgumentError("message kind is out of range");
  }
}

} // namespace internal

/** Serializes the active alternative of a variant as MessagePack. */
template<typename Variant>
[[nodiscard]] std::string
PackAlternative(const Variant& aVariant)
{
  return std::visit([](const auto& aValue) { return Pack(aValue); }, aVariant);
}

/** Parses the alternative with the given index of a variant type. */
template<typename Variant>
[[nodiscard]] absl::StatusOr<Variant>
UnpackAlternative(std::size_t aIndex, std::string_view aBytes)
{
  return internal::UnpackAlternative<Variant>(aIndex, aBytes);
}

} // namespace sapphirehook

#endif
