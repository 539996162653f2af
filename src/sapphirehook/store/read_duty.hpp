#ifndef SAPPHIREHOOK_STORE_READ_DUTY_HPP
#define SAPPHIREHOOK_STORE_READ_DUTY_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <cstddef>
#include <optional>

namespace sapphirehook {

/** A daemon's place in the order in which the daemons of a fleet read. */
struct ReadPlace
{
  /** A leader reads at all times. */
  bool m_leads = false;
  /** Place among those that read when the leader does not; the first is 0. */
  std::optional<std::size_t> m_heir;
};

/** What a daemon is to do about a topic. */
struct ReadStep
{
  /** It follows the store by itself. */
  bool m_follows = false;
  /** When to look again. */
  TimePoint m_until = TimePoint::max();
};

/** Decides when a daemon reads a followed topic by itself and when it goes by
    what others read. It answers the pattern that one daemon reads for all and
    loses the store without a word. Readers tell when the store last told them
    where the topic ends; what counts is the age of that, never the claim to be
    reading. When it grows old the heirs read, one after the other, then
    everybody. */
class ReadDuty
{
public:
  /** The store has told this daemon where the topic ends. */
  void OnOwnProof(const EndProof& aProof) noexcept;

  /** It has told a peer, which reads before this daemon does by their places,
     or not. This daemon has read up to aHave. */
  void OnPeerProof(const EndProof& aProof, bool aBefore, Offset aHave) noexcept;

  /** This daemon has read up to an offset. */
  void OnRead(Offset aHave) noexcept;

  /** Decides anew. */
  [[nodiscard]] ReadStep Next(TimePoint aNow, const ReadPlace& aPlace) noexcept;

  /** The last moment at which this daemon's copy certainly lacked nothing. */
  [[nodiscard]] TimePoint CompleteAt() const noexcept;

private:
  /** What some daemons vouch for. */
  struct Word
  {
    TimePoint m_completeAt{};
    /** Counts once this daemon has read as far. */
    EndProof m_ahead;

    void Add(const EndProof& aProof, Offset aHave) noexcept;
    void OnRead(Offset aHave) noexcept;
  };

  /** Of all peers, and of those that read before this daemon. */
  Word m_peers;
  Word m_before;
  TimePoint m_own{};
  bool m_follows = false;
  TimePoint m_followsSince{};
};

/** How often a daemon that reads for others has the end of a topic told. */
inline constexpr Millis kProofEvery{ 500 };

} // namespace sapphirehook

#endif
