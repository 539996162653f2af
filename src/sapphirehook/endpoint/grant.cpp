#include "sapphirehook/endpoint/grant.hpp"

#include "sapphirehook/core/json_text.hpp"

#include <nlohmann/json.hpp>

namespace sapphirehook {

using Json = nlohmann::json;

std::string
EncodeLeaseCall(const LeaseCallAction& aAction)
{
  const auto& call = aAction.m_call;
  Json json;
  json["service"] = aAction.m_service;
  if (!call.m_boot.empty()) {
    json["token"] = { { "term", call.m_token.m_term },
                      { "sequence", call.m_token.m_sequence } };
    json["boot"] = call.m_boot;
    json["until_ms"] = call.m_until.count();
  }
  if (call.m_withPartitions) {
    json["partitions"] = aAction.m_partitions;
    json["keys"] = aAction.m_keys;
  }
  return SerializeJson(json);
}

absl::StatusOr<LeaseAnswer>
ParseLeaseAnswer(const std::string& aText)
{
  LeaseAnswer answer;
  try {
    const auto json = Json::parse(aText);
    answer.m_boot = json.at("boot").get<std::string>();
    answer.m_clock = Millis(json.at("clock_ms").get<Millis::rep>());
    answer.m_accepted = json.at("accepted").get<bool>();
    answer.m_draining = json.value("draining", false);
    if (json.contains("running")) {
      answer.m_running = json.at("running").get<std::vector<std::uint64_t>>();
    }
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (answer.m_boot.empty()) {
    return absl::InvalidArgumentError("\"boot\" of a lease answer is empty");
  }
  return answer;
}

} // namespace sapphirehook
