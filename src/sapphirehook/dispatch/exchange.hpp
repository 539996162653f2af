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

/** The configuration from tickets that applies to a request, resolved on
    admission. */
struct RequestPlan
{
  std::string m_service;
  std::string m_key;
  RequestRule m_rule;
  TimePoint m_deadline{};
};

/** A request and its answer while a daemon forwards them. One thread serves the
    caller, another the connection to the endpoint. */
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

  /** Set by the decision thread before it forwards the exchange. */
  RequestPlan m_plan;

  /** True for a request that another daemon has forwarded. */
  bool m_forwarded = false;

  /** Number of attempts that the decision thread has started. */
  unsigned m_attempts = 0;

  /** An earlier attempt may have run, so the answer cannot be "not run". */
  bool m_mayHaveRun = false;

  /** This dispatcher's RepeatWindow has admitted the idempotency key. */
  bool m_repeatAdmitted = false;

  /** Sets the head of the endpoint's answer. Returns false if the exchange
      already has an answer or an error. */
  bool Respond(ResponseHead aHead);

  /** Ends the exchange with an error, or cuts off the response body if the
      exchange already has an answer. */
  void Fail(ErrorKind aKind);

  /** Returns whether the exchange has an answer or an error. */
  [[nodiscard]] bool IsAnswered() const;

  /** Returns whether the exchange has an answer or an error. If not, calls
      aBlocked under the lock, and aResume once as soon as there is one. */
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

  /** Returns the head of the answer, if there is one. */
  [[nodiscard]] std::optional<ResponseHead> Response() const;

  /** Returns the error, if there is one. */
  [[nodiscard]] std::optional<ErrorKind> Failure() const;

  /** Cancels the exchange because the caller has disconnected. Closes
      both bodies and calls the callback set by OnCancel(). */
  void Cancel();

  [[nodiscard]] bool IsCanceled() const noexcept { return m_canceled.load(); }

  /** Sets a callback that Cancel() calls once. If the exchange is already
      canceled, the callback is called at once. */
  void OnCancel(std::function<void()> aCallback);

private:
  const std::uint64_t m_id;
  const RequestHead m_head;
  BytePipe m_requestBody;
  BytePipe m_responseBody;
  mutable std::mutex m_mutex;
  std::optional<ResponseHead> m_response;
  std::optional<ErrorKind> m_failure;
  std::function<void()> m_answerResume;
  std::function<void()> m_cancelCallback;
  std::atomic<bool> m_canceled{ false };
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace sapphirehook

#endif
