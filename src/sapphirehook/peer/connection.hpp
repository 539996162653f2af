#ifndef SAPPHIREHOOK_PEER_CONNECTION_HPP
#define SAPPHIREHOOK_PEER_CONNECTION_HPP

#include "sapphirehook/peer/mesh.hpp"

#include <map>
#include <nghttp2/nghttp2.h>

namespace sapphirehook::internal {

/** One stream of a connection: a message or a request, in either direction. */
struct PeerStream
{
  std::int32_t m_id = 0;
  bool m_outbound = false;
  bool m_isMessage = false;
  bool m_sent = false;
  bool m_remoteEnded = false;
  bool m_responded = false;
  /** The pipe that is being sent was cut at its source. */
  bool m_cut = false;
  TimePoint m_openedAt{};
  /** Request or answer head as it arrives. */
  std::vector<Header> m_headers;
  std::string m_method;
  std::string m_path;
  int m_status = 0;
  /** Message bytes, out or in. */
  std::string m_out;
  std::size_t m_outPosition = 0;
  std::string m_in;
  ExchangePtr m_exchange;
  /** Bytes received whose window has not been given back. */
  std::size_t m_unconsumed = 0;
};

/** One HTTP/2 connection with another daemon. */
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

  /** Readiness that the thread waits for at present. */
  std::uint32_t m_watched = 0;

  [[nodiscard]] const std::string& Address() const noexcept
  {
    return m_address;
  }

  /** Returns whether bytes wait to be written. */
  [[nodiscard]] bool WantsWrite() const;

  /** Reads and handles what has arrived. Returns false when the connection is
      to be dropped. */
  [[nodiscard]] bool OnReadable();

  /** Writes what can be written. Returns false as OnReadable does. */
  [[nodiscard]] bool Flush();

  void Send(std::string aMessage);
  void Answer(std::int32_t aStream, std::string aMessage);
  void Forward(const ExchangePtr& aExchange);

  /** Goes on with a stream whose pipe, answer or cancellation has news. */
  void Resume(std::int32_t aStream);

  /** Pings the other side when streams wait. Returns false when it has been
      silent for too long. */
  [[nodiscard]] bool CheckAlive(TimePoint aNow);

  /** Reports the end of every stream. */
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
  void GiveWindowBack(PeerStream& aStream);
  void Respond(PeerStream& aStream);
  void End(PeerStream& aStream, std::uint32_t aError);
  [[nodiscard]] std::function<void()> Resumer(std::int32_t aStream);

  PeerMesh& m_mesh;
  std::uint64_t m_id;
  int m_socket;
  std::string m_address;
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, PeerStream> m_streams;
  std::string m_out;
  /** The socket has taken bytes, so that the other side may have them. */
  bool m_connected = false;
  TimePoint m_lastHeard;
  TimePoint m_lastPing{};
};

} // namespace sapphirehook::internal

#endif
