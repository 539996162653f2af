#include "process/gateway_fixture.hpp"

#include "platform/protocol.hpp"
#include "platform/standin_formats.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/operator/log_entry.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <unistd.h>
#include <utility>

namespace sapphirehook::test {

GatewayFixture::GatewayFixture(std::size_t aGateways)
  : m_protocol(platform::Protocol())
  , m_folder(std::filesystem::temp_directory_path() /
             Concat("sapphirehook-bed-", getpid(), "-", aGateways))
  , m_fleet(m_loop, m_protocol, Options(aGateways))
{
  m_fleet.Start();
  RunFor(Millis(300));
}

GatewayFixture::~GatewayFixture()
{
  m_fleet.StopAll();
  std::filesystem::remove_all(m_folder);
}

soak::FleetOptions
GatewayFixture::Options(std::size_t aGateways) const
{
  std::filesystem::create_directories(m_folder);
  soak::FleetOptions options;
  options.m_self = Concat(SAPPHIREHOOK_BIN_DIR, "/soak");
  options.m_gateway = Concat(SAPPHIREHOOK_BIN_DIR, "/sapphirehook-gateway");
  options.m_folder = m_folder;
  options.m_gateways = aGateways;
  options.m_keyedEndpoints = 0;
  options.m_plainEndpoints = 0;
  return options;
}

void
GatewayFixture::PutConfig(const RoutingConfig& aConfig)
{
  PutRecord(m_protocol.m_configTopic,
            m_protocol.m_configKey,
            platform::WriteConfig(aConfig));
}

void
GatewayFixture::PutEndpoint(const EndpointRecord& aRecord)
{
  PutRecord(m_protocol.m_endpointTopic,
            aRecord.m_incarnation.m_name,
            platform::WriteServerEntry(aRecord, 0));
}

void
GatewayFixture::PutRecord(const std::string& aTopic,
                          const std::string& aKey,
                          const std::string& aValue)
{
  m_fleet.CallStore(soak::PutCall(aTopic, aKey, aValue, {}));
}

std::size_t
GatewayFixture::Leader() const
{
  std::size_t leader = 0;
  long long highest = -1;
  for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
    std::ifstream log(m_folder / Concat("g", i, ".log"));
    for (std::string line; std::getline(log, line);) {
      const auto entry = ParseLogEntry(line);
      if (entry && entry->m_event == "leads" &&
          entry->FindNumber("term").value_or(0) > highest) {
        highest = *entry->FindNumber("term");
        leader = i;
      }
    }
  }
  return leader;
}

std::set<std::size_t>
GatewayFixture::LeaderAndSuccessors() const
{
  constexpr std::size_t kSuccessors = 4;
  const auto leader = Leader();
  std::map<std::string, std::size_t> byName;
  for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
    if (i != leader) {
      byName[m_fleet.m_gateways[i].m_host] = i;
    }
  }
  std::set<std::size_t> chosen{ leader };
  for (const auto& [name, index] : byName) {
    if (chosen.size() <= kSuccessors) {
      chosen.insert(index);
    }
  }
  return chosen;
}

void
GatewayFixture::CutFromStore(std::size_t aGateway)
{
  m_fleet.m_gateways[aGateway].m_storeLink->SetFault(soak::LinkFault::Cut, {});
}

void
GatewayFixture::StallOpenConnections(std::size_t aGateway)
{
  m_fleet.m_gateways[aGateway].m_storeLink->SetFault(soak::LinkFault::StallOpen,
                                                     {});
}

void
GatewayFixture::LoseDatagrams(std::size_t aGateway, double aShare)
{
  m_fleet.m_datagrams.SetLoss(m_fleet.m_gateways[aGateway].m_peers, aShare);
}

void
GatewayFixture::Signal(std::size_t aGateway, int aSignal) const
{
  m_fleet.m_gateways[aGateway].m_process->Signal(aSignal);
}

void
GatewayFixture::Restart(std::size_t aGateway)
{
  m_fleet.m_gateways[aGateway].m_process->Kill();
  m_fleet.StartGateway(aGateway);
}

bool
GatewayFixture::HasEnded(std::size_t aGateway)
{
  return m_fleet.m_gateways[aGateway].m_process->HasEnded();
}

std::string
GatewayFixture::Log(std::size_t aGateway) const
{
  std::ifstream log(m_folder / Concat("g", aGateway, ".log"));
  return { std::istreambuf_iterator<char>(log), {} };
}

void
GatewayFixture::RunFor(Millis aTime)
{
  support::RunFor(m_loop, aTime);
}

bool
GatewayFixture::RunUntil(const std::function<bool()>& aCondition, Millis aTime)
{
  return support::RunUntil(m_loop, aCondition, aTime);
}

ScriptedEndpoint::ScriptedEndpoint(GatewayFixture& aFixture,
                                   std::string aName,
                                   std::string aService)
  : m_fixture(aFixture)
  , m_server(aFixture.Loop(),
             [this](const HttpExchangePtr& aExchange) { OnCall(aExchange); })
{
  m_onRequest = [this](const HttpExchangePtr& aExchange) {
    AnswerSuccess(aExchange);
  };
  m_record.m_incarnation.m_name = std::move(aName);
  m_record.m_incarnation.m_startedAt = 1;
  m_record.m_service = std::move(aService);
  m_record.m_address = support::FreeAddress();
  m_record.m_zone = "z";
  m_record.m_slots = 6;
  REQUIRE(m_server.Listen(m_record.m_address));
}

void
ScriptedEndpoint::Announce(bool aDraining)
{
  m_record.m_draining = aDraining;
  m_fixture.PutEndpoint(m_record);
}

HttpReply
ScriptedEndpoint::SuccessReply(const RequestHead& aHead) const
{
  const auto* id =
    FindHeader(aHead.m_headers, m_fixture.Protocol().m_attemptHeader);
  HttpReply reply;
  reply.m_headers = { { m_fixture.Protocol().m_attemptHeader, id ? *id : "" },
                      { std::string(platform::SignatureHeader()), "signed" } };
  reply.m_body = m_record.m_incarnation.m_name;
  return reply;
}

void
ScriptedEndpoint::AnswerSuccess(const HttpExchangePtr& aExchange)
{
  aExchange->Answer(SuccessReply(aExchange->m_head));
}

void
ScriptedEndpoint::OnCall(const HttpExchangePtr& aExchange)
{
  if (platform::IsGrant(aExchange->m_head)) {
    aExchange->Answer({ 200 });
    return;
  }
  if (platform::IsRelease(aExchange->m_head)) {
    aExchange->Answer(platform::HandoverReply(m_record.m_incarnation.m_name));
    return;
  }
  if (const auto identity = platform::IdentityReply(
        aExchange->m_head, soak::kHealthPath, m_record.m_incarnation.m_name)) {
    aExchange->Answer(*identity);
    return;
  }
  m_arrivals.push_back(BootClock::now());
  m_onRequest(aExchange);
}

SteadyCaller::SteadyCaller(GatewayFixture& aFixture,
                           std::vector<std::size_t> aGateways,
                           std::string aTarget,
                           Millis aEvery)
  : m_fixture(aFixture)
  , m_gateways(std::move(aGateways))
  , m_target(std::move(aTarget))
  , m_timer(aFixture.Loop(), [this] { Send(); })
{
  m_timer.StartEvery(aEvery);
}

void
SteadyCaller::Send()
{
  std::erase_if(m_clients, [](const auto& aOne) { return !aOne->IsBusy(); });
  const auto gateway = m_gateways[m_next++ % m_gateways.size()];
  m_clients.push_back(std::make_unique<HttpClient>(
    m_fixture.Loop(), m_fixture.CallersAddress(gateway)));
  m_clients.back()->Call(
    { "GET", m_target, "", "" },
    Millis(3000),
    [this](const CallResult& aResult) {
      const bool answered = aResult.m_end == CallEnd::Answered;
      ++m_byStatus[answered ? aResult.m_answer.m_head.m_status : 0];
    });
}

} // namespace sapphirehook::test
