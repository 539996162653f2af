#ifndef SAPPHIREHOOK_OPERATOR_TICKET_HPP
#define SAPPHIREHOOK_OPERATOR_TICKET_HPP

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** Number of partitions of a service whose ticket does not set it. */
inline constexpr std::uint32_t kDefaultPartitions = 4096;

/** Location of the key in a request: a header, or, if m_header is empty, a
    segment of the path, counted from zero. */
struct KeySource
{
  std::string m_header;
  std::uint32_t m_segment = 0;
  MSGPACK_DEFINE_ARRAY(m_header, m_segment)
  bool operator==(const KeySource&) const = default;
};

/** The endpoints that may own the keys with a prefix. */
struct KeyRule
{
  std::string m_prefix;
  std::vector<std::string> m_endpoints;
  MSGPACK_DEFINE_ARRAY(m_prefix, m_endpoints)
  bool operator==(const KeyRule&) const = default;
};

/** Options for requests with a method and a path prefix. */
struct RequestRule
{
  /** If empty, the rule applies to every method. */
  std::string m_method;
  std::string m_pathPrefix;
  bool m_neverRepeat = false;
  bool m_long = false;
  /** Maximum deadline in milliseconds. A caller may request a shorter one. */
  std::uint32_t m_deadlineMs = 0;
  MSGPACK_DEFINE_ARRAY(m_method,
                       m_pathPrefix,
                       m_neverRepeat,
                       m_long,
                       m_deadlineMs)
  bool operator==(const RequestRule&) const = default;
};

/** Complete configuration of one service. */
struct ServiceConfig
{
  std::string m_prefix;
  std::uint32_t m_partitions = 0;
  KeySource m_keySource;
  std::vector<KeyRule> m_keyRules;
  std::vector<RequestRule> m_requestRules;
  std::uint32_t m_deadlineMs = 0;
  MSGPACK_DEFINE_ARRAY(m_prefix,
                       m_partitions,
                       m_keySource,
                       m_keyRules,
                       m_requestRules,
                       m_deadlineMs)
  bool operator==(const ServiceConfig&) const = default;
};

/** Complete configuration of one endpoint. */
struct EndpointConfig
{
  std::string m_service;
  std::string m_address;
  std::string m_region;
  std::string m_zone;
  double m_weight = 1;
  bool m_checksGrants = true;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  MSGPACK_DEFINE_ARRAY(m_service,
                       m_address,
                       m_region,
                       m_zone,
                       m_weight,
                       m_checksGrants,
                       m_slots,
                       m_connections)
  bool operator==(const EndpointConfig&) const = default;
};

/** A numbered change of the configuration. An object without a value is
    removed. */
struct Ticket
{
  std::uint64_t m_number = 0;
  /** Number of groups per region, or zero if the ticket does not set it. */
  std::uint32_t m_groups = 0;
  std::map<std::string, std::optional<ServiceConfig>> m_services;
  std::map<std::string, std::optional<EndpointConfig>> m_endpoints;
};

/** Parses a ticket from JSON. If the text is not a valid ticket, returns
    InvalidArgument with all faults, each with the path of its member. */
[[nodiscard]] absl::StatusOr<Ticket>
ParseTicket(std::string_view aText);

/** Returns the matching rule with the longest path prefix. If none matches,
    returns a default rule with the deadline of the service. */
[[nodiscard]] RequestRule
RuleFor(const ServiceConfig& aService,
        std::string_view aMethod,
        std::string_view aPath);

} // namespace sapphirehook

#endif
