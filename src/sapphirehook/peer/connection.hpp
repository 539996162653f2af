#ifndef SAPPHIREHOOK_PEER_CONNECTION_HPP
#define SAPPHIREHOOK_PEER_CONNECTION_HPP

#include "sapphirehook/peer/mesh.hpp"

#include <map>
#include <nghttp2/nghttp2.h>

namespace sapphirehook::internal {

/** One HTTP/2 stream of a connection. Carries a message or a request, in either
    direction. */
struct PeerStream
{
  std::int32_t m_id = 0;
  bool m_outbound = false;
  bool m_isMessage = false;
  bool m_sent = false;
  bool m_remoteEnded = false;
  bool m_responded = false;
  /** The source aborted the pipe that this stream sends. */
  bool m_aborted = false;
  TimePoint m_openedAt{};
  /** Headers of the request or answer received so far. */
  std::vector<Header> m_headers;
  std::string m_method;
  std::string m_path;
  int m_status = 0;
  /** Bytes of the outgoing message, and of the incoming one in m_in. */
  std::string m_out;
  std::size_t m_outPosition = 0;
  std::string m_in;
  ExchangePtr m_exchange;
  /** Received bytes for which the flow-control window has not been released. */
  std::size_t m_unconsumed = 0;
};

/** One HTTP/2 connection to or from another daemon. */
class PeerConnection
{
public:
  PeerConnection(PeerMesh& aMesh,
                 std::uint64_t aId,
                 int aSocket,
                 std::string aAddress);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;
  PeerConnection(PeerConnection&&) = delete;
  PeerConnection& operator=(PeerConnection&&) = delete;

  [[nodiscard]] std::uint64_t Id() const noexcept { return m_id; }
  [[nodiscard]] int Socket() const noexcept { return m_socket; }

  /** The epoll events that the thread currently waits for on the socket. */
  std::uint32_t m_watchedEvents = 0;

  [[nodiscard]] const std::string& Address() const noexcept
  {
    return m_address;
  }

  /** Returns whether there are unsent bytes. */
  [[nodiscard]] bool WantsWrite() const;

  /** Reads and handles the available bytes. Returns false if the connection has
      failed and needs to be dropped. */
  [[nodiscard]] bool OnReadable();

  /** Writes as many bytes as the socket accepts. Returns false if the
      connection has failed and needs to be dropped. */
  [[nodiscard]] bool Flush();

  void Send(std::string aMessage);
  void Answer(std::int32_t aStream, std::string aMessage);
  void Forward(const ExchangePtr& aExchange);

  /** Resumes a stream after a change of its pipe, its answer or its
      cancellation. */
  void Resume(std::int32_t aStream);

  /** Pings the peer while any stream has been open for longer than the ping
      interval. Returns false after a timeout without received bytes. */
  [[nodiscard]] bool CheckAlive(TimePoint aNow);

  /** Ends every stream with an error. */
  void FailAll();

private:
  static nghttp2_session_callbacks* Callbacks();
  static int OnBeginHeaders(nghttp2_session* aSession,
                            const nghttp2_frame* aFrame,
                            void* aSelf);
  static int OnHeader(nghttp2_session* aSession,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameLength,
                      const std::uint8_t* aValue,
                      std::size_t aValueLength,
                      std::uint8_t aFlags,
                      void* aSelf);
  static int OnData(nghttp2_session* aSession,
                    std::uint8_t aFlags,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aLength,
                    void* aSelf);
  static int OnFrame(nghttp2_session* aSession,
                     const nghttp2_frame* aFrame,
                     void* aSelf);
  static int OnFrameSent(nghttp2_session* aSession,
                         const nghttp2_frame* aFrame,
                         void* aSelf);
  static int OnClose(nghttp2_session* aSession,
                     std::int32_t aStream,
                     std::uint32_t aError,
                     void* aSelf);
  static ssize_t OnSource(nghttp2_session* aSession,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* aSource,
                          void* aSelf);

  [[nodiscard]] PeerStream* Find(std::int32_t aStream);
  ssize_t ReadMessage(PeerStream& aStream,
                      char* aBuffer,
                      std::size_t aLength,
                      std::uint32_t& aFlags);
  ssize_t ReadPipe(PeerStream& aStream,
                   char* aBuffer,
                   std::size_t aLength,
                   std::uint32_t& aFlags);
  void OnHead(PeerStream& aStream, bool aEnded);
  void OnRequestHead(PeerStream& aStream, bool aEnded);
  void OnAnswerHead(PeerStream& aStream);
  void OnRemoteEnd(PeerStream& aStream);
  void TakeBody(PeerStream& aStream, std::string_view aBytes);
  void ReleaseWindow(PeerStream& aStream);
  void Respond(PeerStream& aStream);
  void End(PeerStream& aStream, std::uint32_t aError);
  [[nodiscard]] std::function<void()> MakeResumeCallback(std::int32_t aStream);

  PeerMesh& m_mesh;
  std::uint64_t m_id;
  int m_socket;
  std::string m_address;
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, PeerStream> m_streams;
  std::string m_out;
  /** The socket has accepted bytes, so the peer may have received them. */
  bool m_connected = false;
  TimePoint m_lastReceived;
  TimePoint m_lastPing{};
};

} // namespace sapphirehook::internal

#endif
