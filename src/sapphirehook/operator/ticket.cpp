#include "sapphirehook/operator/ticket.hpp"

#include "sapphirehook/core/text.hpp"
#include <nlohmann/json.hpp>
#include <set>

namespace sapphirehook {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMaxPartitions = 65536;
constexpr std::uint32_t kDefaultDeadlineMs = 5000;
constexpr std::uint32_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint32_t kDefaultSlots = 6;
constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kDefaultConnections = 120;
constexpr std::uint32_t kMaxConnections = 4096;
constexpr std::uint32_t kMaxGroups = 4096;
constexpr std::uint32_t kMaxSegment = 32;
constexpr double kMaxWeight = 1000;
constexpr std::size_t kMaxNameLength = 128;

/** Reads and validates the members of one JSON object. Appends each fault to a
    list. The reason of a refused ticket is part of the stored state, so the
    texts of the faults are stored data. */
class ObjectReader
{
public:
  ObjectReader(const Json& aObject,
               std::string aPath,
               std::vector<std::string>& aFaults)
    : m_object(aObject)
    , m_path(std::move(aPath))
    , m_faults(aFaults)
  {
    if (!aObject.is_object()) {
      Fault("", "must be an object");
    }
  }

  void Fault(std::string_view aMember, std::string_view aMessage)
  {
    const auto dot = aMember.empty() || m_path.empty() ? "" : ".";
    m_faults.push_back(Concat(m_path, dot, aMember, ": ", aMessage));
  }

  const Json* Find(const std::string& aMember)
  {
    m_readMembers.insert(aMember);
    if (!m_object.is_object()) {
      return nullptr;
    }
    const auto found = m_object.find(aMember);
    return found == m_object.end() ? nullptr : &*found;
  }

  std::string Text(const std::string& aMember, bool aRequired)
  {
    const auto* value = Find(aMember);
    if (value == nullptr) {
      if (aRequired) {
        Fault(aMember, "is missing");
      }
      return {};
    }
    if (!value->is_string()) {
      Fault(aMember, "must be a string");
      return {};
    }
    auto text = value->get<std::string>();
    if (text.size() > kMaxNameLength || (aRequired && text.empty())) {
      Fault(aMember, Concat("must have 1 to ", kMaxNameLength, " bytes"));
      return {};
    }
    return text;
  }

  std::uint64_t Integer(const std::string& aMember,
                        std::uint64_t aLowest,
                        std::uint64_t aHighest,
                        std::optional<std::uint64_t> aDefault)
  {
    const auto* value = Find(aMember);
    if (value == nullptr) {
      if (!aDefault) {
        Fault(aMember, "is missing");
      }
      return aDefault.value_or(aLowest);
    }
    const bool isValid = value->is_number_unsigned() &&
                         value->get<std::uint64_t>() >= aLowest &&
                         value->get<std::uint64_t>() <= aHighest;
    if (!isValid) {
      Fault(aMember,
            Concat("must be an integer from ", aLowest, " to ", aHighest));
      return aLowest;
    }
    return value->get<std::uint64_t>();
  }

  std::uint32_t Integer32(const std::string& aMember,
                          std::uint32_t aLowest,
                          std::uint32_t aHighest,
                          std::uint32_t aDefault)
  {
    return static_cast<std::uint32_t>(
      Integer(aMember, aLowest, aHighest, aDefault));
  }

  bool Flag(const std::string& aMember, bool aDefault)
  {
    const auto* value = Find(aMember);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_boolean()) {
      Fault(aMember, "must be true or false");
      return aDefault;
    }
    return value->get<bool>();
  }

  double Weight(const std::string& aMember)
  {
    const auto* value = Find(aMember);
    if (value == nullptr) {
      return 1;
    }
    const bool isValid = value->is_number() && value->get<double>() > 0 &&
                         value->get<double>() <= kMaxWeight;
    if (!isValid) {
      Fault(aMember, Concat("must be above 0 and at most ", kMaxWeight));
      return 1;
    }
    return value->get<double>();
  }

  /** Adds a fault for each member that was not read by one of the calls
      above. */
  void RejectUnknown()
  {
    if (!m_object.is_object()) {
      return;
    }
    for (const auto& [name, value] : m_object.items()) {
      if (!m_readMembers.contains(name)) {
        Fault(name, "is not a known member");
      }
    }
  }

  [[nodiscard]] std::string PathOf(std::string_view aMember) const
  {
    return m_path.empty() ? std::string(aMember) : Concat(m_path, ".", aMember);
  }

  [[nodiscard]] std::vector<std::string>& Faults() { return m_faults; }

private:
  const Json& m_object;
  std::string m_path;
  std::vector<std::string>& m_faults;
  std::set<std::string> m_readMembers;
};

template<typename Parse>
void
ForEachElement(ObjectReader& aReader, const std::string& aMember, Parse aParse)
{
  const auto* list = aReader.Find(aMember);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    aReader.Fault(aMember, "must be an array");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    aParse((*list)[i], Concat(aReader.PathOf(aMember), "[", i, "]"));
  }
}

KeySource
ParseKeySource(ObjectReader& aService)
{
  const auto* value = aService.Find("key");
  if (value == nullptr) {
    aService.Fault("key", "is missing");
    return {};
  }
  ObjectReader reader(*value, aService.PathOf("key"), aService.Faults());
  KeySource source;
  const bool hasSegment = reader.Find("segment") != nullptr;
  source.m_header = reader.Text("header", !hasSegment);
  source.m_segment = reader.Integer32("segment", 0, kMaxSegment, 0);
  if (hasSegment && !source.m_header.empty()) {
    reader.Fault("segment", "cannot stand beside header");
  }
  reader.RejectUnknown();
  return source;
}

KeyRule
ParseKeyRule(const Json& aValue,
             const std::string& aPath,
             std::vector<std::string>& aFaults)
{
  ObjectReader reader(aValue, aPath, aFaults);
  KeyRule rule;
  rule.m_prefix = reader.Text("prefix", true);
  ForEachElement(
    reader, "endpoints", [&](const Json& aName, const std::string& aWhere) {
      if (!aName.is_string()) {
        aFaults.push_back(aWhere + ": must be a string");
        return;
      }
      rule.m_endpoints.push_back(aName.get<std::string>());
    });
  if (rule.m_endpoints.empty()) {
    reader.Fault("endpoints", "must name at least one endpoint");
  }
  reader.RejectUnknown();
  return rule;
}

RequestRule
ParseRequestRule(const Json& aValue,
                 const std::string& aPath,
                 std::vector<std::string>& aFaults,
                 std::uint32_t aDeadlineMs)
{
  ObjectReader reader(aValue, aPath, aFaults);
  RequestRule rule;
  rule.m_method = reader.Text("method", false);
  rule.m_pathPrefix = reader.Text("path", true);
  rule.m_neverRepeat = reader.Flag("never_repeat", false);
  rule.m_long = reader.Flag("long", false);
  rule.m_deadlineMs =
    reader.Integer32("deadline_ms", 1, kMaxDeadlineMs, aDeadlineMs);
  reader.RejectUnknown();
  return rule;
}

ServiceConfig
ParseService(const Json& aValue,
             const std::string& aPath,
             std::vector<std::string>& aFaults)
{
  ObjectReader reader(aValue, aPath, aFaults);
  ServiceConfig service;
  service.m_prefix = reader.Text("prefix", true);
  if (!service.m_prefix.starts_with("/")) {
    reader.Fault("prefix", "must start with /");
  }
  service.m_partitions =
    reader.Integer32("partitions", 1, kMaxPartitions, kDefaultPartitions);
  service.m_deadlineMs =
    reader.Integer32("deadline_ms", 1, kMaxDeadlineMs, kDefaultDeadlineMs);
  service.m_keySource = ParseKeySource(reader);
  std::set<std::string> prefixes;
  ForEachElement(
    reader, "keys", [&](const Json& aRule, const std::string& aWhere) {
      service.m_keyRules.push_back(ParseKeyRule(aRule, aWhere, aFaults));
      if (!prefixes.insert(service.m_keyRules.back().m_prefix).second) {
        aFaults.push_back(aWhere + ".prefix: stands twice");
      }
    });
  ForEachElement(
    reader, "rules", [&](const Json& aRule, const std::string& aWhere) {
      service.m_requestRules.push_back(
        ParseRequestRule(aRule, aWhere, aFaults, service.m_deadlineMs));
    });
  reader.RejectUnknown();
  return service;
}

EndpointConfig
ParseEndpoint(const Json& aValue,
              const std::string& aPath,
              std::vector<std::string>& aFaults)
{
  ObjectReader reader(aValue, aPath, aFaults);
  EndpointConfig endpoint;
  endpoint.m_service = reader.Text("service", true);
  endpoint.m_address = reader.Text("address", true);
  if (endpoint.m_address.find(':') == std::string::npos) {
    reader.Fault("address", "must be an IP number and a port");
  }
  endpoint.m_region = reader.Text("region", true);
  endpoint.m_zone = reader.Text("zone", true);
  endpoint.m_weight = reader.Weight("weight");
  endpoint.m_checksGrants = reader.Flag("checks_grants", true);
  endpoint.m_slots = reader.Integer32("slots", 1, kMaxSlots, kDefaultSlots);
  endpoint.m_connections =
    reader.Integer32("connections", 1, kMaxConnections, kDefaultConnections);
  reader.RejectUnknown();
  return endpoint;
}

template<typename Config, typename Parse>
std::map<std::string, std::optional<Config>>
ParseObjects(ObjectReader& aTicket, const std::string& aMember, Parse aParse)
{
  std::map<std::string, std::optional<Config>> objects;
  const auto* value = aTicket.Find(aMember);
  if (value == nullptr) {
    return objects;
  }
  if (!value->is_object()) {
    aTicket.Fault(aMember, "must be an object");
    return objects;
  }
  for (const auto& [name, config] : value->items()) {
    if (name.empty() || name.size() > kMaxNameLength) {
      aTicket.Fault(aMember, "has a name that is empty or too long");
    }
    if (config.is_null()) {
      objects[name] = std::nullopt;
      continue;
    }
    const auto path = Concat(aMember, ".", name);
    objects[name] = aParse(config, path, aTicket.Faults());
  }
  return objects;
}

} // namespace

absl::StatusOr<Ticket>
ParseTicket(std::string_view aText)
{
  const auto json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    return absl::InvalidArgumentError("the ticket is not valid JSON");
  }
  std::vector<std::string> faults;
  ObjectReader reader(json, "", faults);
  Ticket ticket;
  ticket.m_number =
    reader.Integer("number", 1, std::uint64_t{ 1 } << 53U, std::nullopt);
  ticket.m_groups = reader.Integer32("groups", 1, kMaxGroups, 0);
  ticket.m_services =
    ParseObjects<ServiceConfig>(reader, "services", ParseService);
  ticket.m_endpoints =
    ParseObjects<EndpointConfig>(reader, "endpoints", ParseEndpoint);
  reader.RejectUnknown();
  if (!faults.empty()) {
    return absl::InvalidArgumentError(Join(faults, "; "));
  }
  return ticket;
}

RequestRule
RuleFor(const ServiceConfig& aService,
        std::string_view aMethod,
        std::string_view aPath)
{
  const RequestRule* best = nullptr;
  for (const auto& rule : aService.m_requestRules) {
    const bool matches = (rule.m_method.empty() || rule.m_method == aMethod) &&
                         aPath.starts_with(rule.m_pathPrefix);
    const bool better =
      best == nullptr || rule.m_pathPrefix.size() > best->m_pathPrefix.size();
    if (matches && better) {
      best = &rule;
    }
  }
  if (best != nullptr) {
    return *best;
  }
  RequestRule fallback;
  fallback.m_deadlineMs = aService.m_deadlineMs;
  return fallback;
}

} // namespace sapphirehook
