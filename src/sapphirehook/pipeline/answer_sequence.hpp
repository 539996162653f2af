#ifndef SAPPHIREHOOK_PIPELINE_ANSWER_SEQUENCE_HPP
#define SAPPHIREHOOK_PIPELINE_ANSWER_SEQUENCE_HPP

#include "sapphirehook/http1/answer_text.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirehook {

/** Number of a request on its connection, in order of arrival. */
using PipelineNumber = std::uint64_t;

/** Limits of the requests that are in progress on one connection. */
struct PipelineLimits
{
  /** Maximum number of requests in progress. */
  std::size_t m_depth = 16;
  /** Bytes of held answers above which no further request is passed on behind
      others, and an answer that arrives in pieces is paused. */
  std::size_t m_heldBytes = 131'072;
};

/** Bytes of answers that wait behind others, over all connections of a daemon.
    Above the limit, requests behind others wait until they are first. */
class HeldBytes
{
public:
  explicit HeldBytes(std::size_t aLimit) noexcept
    : m_limit(aLimit)
  {
  }

  void Add(std::size_t aBytes) noexcept { m_total += aBytes; }
  void Remove(std::size_t aBytes) noexcept { m_total -= aBytes; }

  [[nodiscard]] std::size_t Total() const noexcept { return m_total; }
  [[nodiscard]] bool HasRoom() const noexcept { return m_total < m_limit; }

private:
  std::size_t m_limit;
  std::size_t m_total = 0;
};

/** What the form of an answer depends on, besides the answer itself. */
struct AnswerForm
{
  /** The request's method is HEAD. */
  bool m_isHead = false;
  /** The caller understands the chunked encoding (HTTP/1.1). */
  bool m_takesChunks = true;
  /** The connection closes after the answer, as the request or its answer
      demands. */
  bool m_closes = false;
};

/** Receives the bytes of a connection's answers. */
template<typename T>
concept AnswerOutput = requires(T& aOutput, std::string_view aBytes)
{
  aOutput.Write(aBytes);
};

/** What happens to the connection after the bytes written so far. */
enum class SequenceEnd : unsigned char
{
  /** It stays open. */
  None,
  /** The last answer is written: the sending side closes. */
  Close,
  /** An answer ends early. The sending side closes, and the framing of the
      answer shows that it is not complete. */
  Truncate,
  /** An answer that only the close delimits ends early, so that the connection
      has to be reset. */
  Reset,
};

/** Orders the answers of a connection whose requests are in progress at the
    same time, and decides when the next request may be passed on.

    Load pattern: callers that send several short lookups at once, some of which
    take ten times as long as the others. Idempotent requests are passed on as
    they arrive, so that none waits for the work of those in front, and each
    answer waits only for its turn. A request that must not be repeated is
    passed on when every answer in front of it is written: if the connection
    closes before that, the caller sends it again, so it must not have run.

    The unit does no input or output of its own; Output receives the bytes. */
template<AnswerOutput Output>
class AnswerSequence
{
public:
  AnswerSequence(Output& aOutput, PipelineLimits aLimits, HeldBytes& aHeld)
    : m_output(aOutput)
    , m_limits(aLimits)
    , m_held(aHeld)
  {
  }
  ~AnswerSequence() { Clear(); }
  AnswerSequence(const AnswerSequence&) = delete;
  AnswerSequence& operator=(const AnswerSequence&) = delete;

  /** Makes the connection close after the requests that are in progress. Until
      then, no request is passed on behind others. */
  void BeginStop() noexcept { m_stopping = true; }

  /** Returns whether a request that arrives now may be passed on. Only a
     request that may run early is passed on behind others. */
  [[nodiscard]] bool MayPassOn(bool aMayRunEarly) const noexcept
  {
    if (m_end != SequenceEnd::None || m_closes) {
      return false;
    }
    return m_entries.empty() ||
           (aMayRunEarly && !m_stopping &&
            m_entries.size() < m_limits.m_depth &&
            m_heldHere < m_limits.m_heldBytes && m_held.HasRoom());
  }

  /** Returns whether the next request may be read at all: nothing follows an
      answer that closes the connection. */
  [[nodiscard]] bool MayRead() const noexcept
  {
    return m_end == SequenceEnd::None && !m_closes &&
           m_entries.size() < m_limits.m_depth;
  }

  /** Adds a request that is passed on, or that is answered directly. */
  PipelineNumber Open(AnswerForm aForm)
  {
    m_entries.push_back({});
    m_entries.back().m_form = aForm;
    m_closes = m_closes || aForm.m_closes;
    return m_first + m_entries.size() - 1;
  }

  /** Makes the connection close after the answer to a request, the last one
      that was opened. */
  void CloseAfter(PipelineNumber aNumber)
  {
    if (auto* entry = Find(aNumber)) {
      entry->m_form.m_closes = true;
      m_closes = true;
    }
  }

  /** Passes a complete answer. Does nothing if an answer has begun. */
  void Answer(PipelineNumber aNumber,
              const ResponseHead& aHead,
              std::string_view aBody)
  {
    auto* entry = Find(aNumber);
    if (entry == nullptr || entry->m_begun) {
      return;
    }
    entry->m_head = WithBodySize(aHead, entry->m_form.m_isHead, aBody.size());
    entry->m_begun = true;
    entry->m_answered = true;
    if (HasBody(aHead.m_status, entry->m_form.m_isHead)) {
      Take(*entry, aBody);
    }
    Advance();
  }

  /** Passes the head of an answer whose body follows in pieces. */
  void Begin(PipelineNumber aNumber, const ResponseHead& aHead)
  {
    auto* entry = Find(aNumber);
    if (entry == nullptr || entry->m_begun) {
      return;
    }
    entry->m_head = aHead;
    entry->m_begun = true;
    entry->m_chunked = !aHead.m_bodySize && entry->m_form.m_takesChunks;
    entry->m_closeDelimited = !aHead.m_bodySize && !entry->m_form.m_takesChunks;
    Advance();
  }

  void Piece(PipelineNumber aNumber, std::string_view aPiece)
  {
    auto* entry = Find(aNumber);
    if (entry == nullptr || !entry->m_begun || entry->m_answered) {
      return;
    }
    if (entry->m_chunked) {
      std::string framed;
      AppendChunk(framed, aPiece);
      Take(*entry, framed);
    } else {
      Take(*entry, aPiece);
    }
  }

  /** The answer that was passed in pieces is complete. */
  void End(PipelineNumber aNumber)
  {
    auto* entry = Find(aNumber);
    if (entry == nullptr || !entry->m_begun || entry->m_answered) {
      return;
    }
    if (entry->m_chunked) {
      Take(*entry, kLastChunk);
    }
    entry->m_answered = true;
    Advance();
  }

  /** The answer that was passed in pieces cannot be completed. If none of it is
      written, aInstead takes its place, and the answers behind it are not
      affected. */
  void Abort(PipelineNumber aNumber,
             const ResponseHead& aInstead,
             std::string_view aBody)
  {
    auto* entry = Find(aNumber);
    if (entry == nullptr || entry->m_answered) {
      return;
    }
    if (entry->m_headWritten) {
      entry->m_truncated = true;
      Advance();
      return;
    }
    Release(*entry);
    entry->m_begun = false;
    entry->m_chunked = false;
    entry->m_closeDelimited = false;
    Answer(aNumber, aInstead, aBody);
  }

  /** Returns whether an answer that arrives in pieces should pause, because the
      answers in front of it are not complete and its held bytes are many. */
  [[nodiscard]] bool ShouldPause(PipelineNumber aNumber) const noexcept
  {
    return aNumber > m_first &&
           (m_heldHere >= m_limits.m_heldBytes || !m_held.HasRoom());
  }

  [[nodiscard]] bool IsFirst(PipelineNumber aNumber) const noexcept
  {
    return aNumber == m_first && !m_entries.empty();
  }

  /** Returns whether a request is in progress or its answer is not written. */
  [[nodiscard]] bool IsOpen(PipelineNumber aNumber) const noexcept
  {
    return aNumber >= m_first && aNumber - m_first < m_entries.size();
  }

  /** Number of requests in progress. */
  [[nodiscard]] std::size_t Depth() const noexcept { return m_entries.size(); }

  [[nodiscard]] bool IsEmpty() const noexcept { return m_entries.empty(); }

  /** Bytes of answers that wait behind others on this connection. */
  [[nodiscard]] std::size_t Held() const noexcept { return m_heldHere; }

  [[nodiscard]] SequenceEnd Ended() const noexcept { return m_end; }

private:
  void Clear() noexcept
  {
    m_held.Remove(std::exchange(m_heldHere, 0));
    m_first += m_entries.size();
    m_entries.clear();
  }

  struct Entry
  {
    AnswerForm m_form;
    ResponseHead m_head;
    /** Framed bytes of the body that wait for the entry's turn. */
    std::string m_body;
    bool m_begun = false;
    bool m_chunked = false;
    bool m_closeDelimited = false;
    bool m_headWritten = false;
    bool m_answered = false;
    bool m_truncated = false;
  };

  [[nodiscard]] Entry* Find(PipelineNumber aNumber) noexcept
  {
    return IsOpen(aNumber) ? &m_entries[aNumber - m_first] : nullptr;
  }

  /** Writes bytes of a body, or holds them until it is the entry's turn. */
  void Take(Entry& aEntry, std::string_view aBytes)
  {
    if (aEntry.m_headWritten) {
      m_output.Write(aBytes);
      return;
    }
    aEntry.m_body.append(aBytes);
    m_heldHere += aBytes.size();
    m_held.Add(aBytes.size());
  }

  void Release(Entry& aEntry)
  {
    m_heldHere -= aEntry.m_body.size();
    m_held.Remove(aEntry.m_body.size());
    aEntry.m_body.clear();
  }

  /** Writes what is ready of the first answers, in order. */
  void Advance()
  {
    while (!m_entries.empty() && m_end == SequenceEnd::None) {
      auto& first = m_entries.front();
      if (first.m_begun && !first.m_headWritten) {
        WriteHead(first);
      }
      if (first.m_truncated) {
        m_end =
          first.m_closeDelimited ? SequenceEnd::Reset : SequenceEnd::Truncate;
        return;
      }
      if (!first.m_answered) {
        return;
      }
      if (first.m_form.m_closes) {
        m_end = SequenceEnd::Close;
      }
      m_entries.pop_front();
      ++m_first;
    }
  }

  void WriteHead(Entry& aEntry)
  {
    // A request behind this one is in progress, so that the answer to the last
    // one closes the connection of a stopping daemon.
    aEntry.m_form.m_closes = aEntry.m_form.m_closes ||
                             aEntry.m_closeDelimited ||
                             (m_stopping && m_entries.size() == 1);
    m_closes = m_closes || aEntry.m_form.m_closes;
    auto text = SerializeAnswerHead(
      aEntry.m_head, aEntry.m_chunked, aEntry.m_form.m_closes);
    text.append(aEntry.m_body);
    Release(aEntry);
    aEntry.m_headWritten = true;
    m_output.Write(text);
  }

  Output& m_output;
  PipelineLimits m_limits;
  HeldBytes& m_held;
  std::deque<Entry> m_entries;
  /** Number of the first request in progress, or of the next one. */
  PipelineNumber m_first = 0;
  std::size_t m_heldHere = 0;
  SequenceEnd m_end = SequenceEnd::None;
  /** One of the requests in progress closes the connection. */
  bool m_closes = false;
  bool m_stopping = false;
};

} // namespace sapphirehook

#endif
