#include "sapphirehook/http1/client.hpp"

#include "sapphirehook/core/address.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** A host on the same network accepts a connection within a few round trips. */
constexpr Millis kConnectTimeout{ 400 };

} // namespace

std::string
SerializeCall(const HttpCall& aCall, const sockaddr_in& aPeer)
{
  std::string text = aCall.m_method + " " + aCall.m_target + " HTTP/1.1\r\n";
  AppendHeader(text, "Host", AddressText(aPeer));
  for (const auto& header : aCall.m_headers) {
    AppendHeader(text, header.m_name, header.m_value);
  }
  if (!aCall.m_bodyType.empty()) {
    AppendHeader(text, "Content-Type", aCall.m_bodyType);
    AppendHeader(text, "Content-Length", std::to_string(aCall.m_body.size()));
  }
  text += "\r\n";
  text += aCall.m_body;
  return text;
}

HttpClient::HttpClient(EventLoop& aLoop,
                       sockaddr_in aPeer,
                       std::size_t aMaxAnswerBytes)
  : m_loop(aLoop)
  , m_peer(aPeer)
  , m_maxAnswerBytes(aMaxAnswerBytes)
  , m_timer(aLoop, [this] { AbandonCall(); })
{
}

void
HttpClient::Call(const HttpCall& aCall,
                 Millis aTimeout,
                 Handler aHandler,
                 Millis aMaxDuration)
{
  m_finalDeadline = BootClock::now() + std::max(aTimeout, aMaxDuration);
  m_extendsTimeout = aMaxDuration > aTimeout;
  m_busy = true;
  m_sent = false;
  m_answerBegun = false;
  m_answer = {};
  m_handler = std::move(aHandler);
  m_request = SerializeCall(aCall, m_peer);
  m_timer.Start(aTimeout);
  if (!m_stream || !m_stream->IsOpen()) {
    Open();
    return;
  }
  if (!m_stream->IsConnected()) {
    return; // OnConnected sends the call
  }
  m_parser->Resume();
  m_sent = true;
  m_stream->Write(m_request);
}

void
HttpClient::Open()
{
  CloseConnection();
  m_parser = std::make_unique<MessageParser>(
    HttpMessageType::Response,
    MessageEvents{
      nullptr,
      [this](std::string_view aPiece) { m_answer.m_body.append(aPiece); },
      nullptr });
  m_stream = std::make_shared<TcpStream>(
    m_loop,
    StreamEvents{ [this] { OnConnected(); },
                  [this](std::string_view aBytes) { OnData(aBytes); },
                  nullptr,
                  [this](StreamEnd aEnd) { OnEnd(aEnd); } });
  m_stream->Connect(m_peer, kConnectTimeout, Millis(0));
}

void
HttpClient::Connect()
{
  if (!m_stream || !m_stream->IsOpen()) {
    Open();
  }
}

void
HttpClient::OnConnected()
{
  m_connectedAt = BootClock::now();
  if (m_busy) {
    if (m_maySend && !m_maySend(m_connectedAt)) {
      Finish(CallEnd::NotSent);
      return;
    }
    m_sent = true;
    m_stream->Write(m_request);
  }
}

void
HttpClient::OnData(std::string_view aBytes)
{
  if (!m_busy || m_parser->IsComplete()) {
    CloseConnection(); // no call is waiting for these bytes
    return;
  }
  m_answerBegun = true;
  m_lastBytesAt = BootClock::now();
  if (m_extendsTimeout) {
    m_timer.Start(std::max<std::chrono::nanoseconds>(
      std::min<std::chrono::nanoseconds>(kAnswerIdleTimeout,
                                         m_finalDeadline - m_lastBytesAt),
      Millis(0)));
  }
  const std::size_t used = m_parser->Feed(aBytes);
  if (m_answer.m_body.size() > m_maxAnswerBytes) {
    AbandonCall();
    return;
  }
  if (m_parser->Fault() != ParseFault::None ||
      (m_parser->IsComplete() && used < aBytes.size())) {
    const bool answered = m_parser->Fault() == ParseFault::None;
    if (answered) {
      OnComplete();
    }
    CloseConnection();
    if (!answered) {
      Finish(CallEnd::NoAnswer);
    }
    return;
  }
  if (m_parser->IsComplete()) {
    OnComplete();
  }
}

void
HttpClient::OnComplete()
{
  m_answer.m_head = std::move(m_parser->Response());
  if (!m_parser->KeepsAlive()) {
    CloseConnection();
  }
  Finish(CallEnd::Answered);
}

void
HttpClient::OnEnd(StreamEnd aEnd)
{
  CloseConnection();
  if (!m_busy) {
    return;
  }
  if (m_sent) {
    Finish(CallEnd::NoAnswer);
  } else {
    Finish(aEnd == StreamEnd::Refused ? CallEnd::Refused : CallEnd::NotSent);
  }
}

void
HttpClient::CloseConnection()
{
  if (m_stream) {
    m_stream->Close();
    m_loop.Retire(std::exchange(m_stream, nullptr));
    m_loop.Retire(std::shared_ptr<MessageParser>(std::move(m_parser)));
  }
}

void
HttpClient::ResetConnection()
{
  if (m_stream) {
    m_stream->Reset();
  }
  CloseConnection();
}

void
HttpClient::Finish(CallEnd aEnd)
{
  if (!m_busy) {
    return;
  }
  m_timer.Stop();
  m_busy = false;
  CallResult result{ aEnd, std::move(m_answer) };
  m_answer = {};
  const auto handler = std::exchange(m_handler, nullptr);
  handler(result);
}

void
HttpClient::AbandonCall()
{
  ResetConnection();
  Finish(m_sent ? CallEnd::NoAnswer : CallEnd::NotSent);
}

void
HttpClient::Abort()
{
  m_timer.Stop();
  m_busy = false;
  m_handler = nullptr;
  ResetConnection();
}

} // namespace sapphirehook
