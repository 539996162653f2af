#ifndef SAPPHIREHOOK_DISPATCH_EXCHANGE_HPP
#define SAPPHIREHOOK_DISPATCH_EXCHANGE_HPP

#include "sapphirehook/core/byte_pipe.hpp"
#include "sapphirehook/core/error.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/http1/head.hpp"
#include "sapphirehook/operator/ticket.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** What the tickets say about a request, found when it is admitted. */
struct RequestPlan
{
  std::string m_service;
  std::string m_key;
  RequestRule m_rule;
  TimePoint m_deadline{};
};

/** One request and its answer on their way through a daemon. One thread acts
    for the caller and one for the side towards the endpoint. */
class Exchange
{
public:
  Exchange(std::uint64_t aId, RequestHead aHead)
    : m_id(aId)
    , m_head(std::move(aHead))
  {
  }

  [[nodiscard]] std::uint64_t Id() const noexcept { return m_id; }
  [[nodiscard]] const RequestHead& Head() const noexcept { return m_head; }
  [[nodiscard]] BytePipe& RequestBody() noexcept { return m_requestBody; }
  [[nodiscard]] BytePipe& ResponseBody() noexcept { return m_responseBody; }

  /** Found by the decision thread before the exchange is passed on. */
  RequestPlan m_plan;

  /** True for a request that another daemon has passed on. */
  bool m_forwarded = false;

  /** Attempts that the decision thread has made. */
  unsigned m_attempts = 0;

  /** An earlier attempt may have run, so that "not run" would be untrue. */
  bool m_mayHaveRun = false;

  /** The idempotency key has been admitted by this dispatcher. */
  bool m_repeatAdmitted = false;

  /** Gives the head of the endpoint's answer. Returns false when the exchange
      has an answer already. */
  bool Respond(ResponseHead aHead);

  /** Ends the exchange: without an answer with an error, else by cutting the
      answer's body. */
  void Fail(ErrorKind aKind);

  /** Returns whether an answer or an error is there. */
  [[nodiscard]] bool IsAnswered() const;

  /** Returns whether an answer or an error is there; otherwise aBlocked is
      called under the lock and aResume once when there is. */
  template<typename Blocked>
  bool AwaitAnswer(Blocked&& aBlocked, std::function<void()> aResume)
  {
    const std::lock_guard lock(m_mutex);
    if (m_response || m_failure) {
      return true;
    }
    aBlocked();
    m_answerResume = std::move(aResume);
    return false;
  }

  /** Returns the answer's head; empty when there is none. */
  [[nodiscard]] std::optional<ResponseHead> Response() const;

  /** Returns the error; empty when there is none. */
  [[nodiscard]] std::optional<ErrorKind> Failure() const;

  /** Tells the side towards the endpoint that the caller has left. */
  void Cancel();

  [[nodiscard]] bool IsCanceled() const noexcept { return m_canceled.load(); }

  /** Sets what is called once when the caller leaves; called at once when it
      has left already. */
  void OnCancel(std::function<void()> aHook);

private:
  const std::uint64_t m_id;
  const RequestHead m_head;
  BytePipe m_requestBody;
  BytePipe m_responseBody;
  mutable std::mutex m_mutex;
  std::optional<ResponseHead> m_response;
  std::optional<ErrorKind> m_failure;
  std::function<void()> m_answerResume;
  std::function<void()> m_cancelHook;
  std::atomic<bool> m_canceled{ false };
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace sapphirehook

#endif
