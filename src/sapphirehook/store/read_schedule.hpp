#ifndef SAPPHIREHOOK_STORE_READ_SCHEDULE_HPP
#define SAPPHIREHOOK_STORE_READ_SCHEDULE_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <cstddef>
#include <optional>

namespace sapphirehook {

/** A daemon's position in the order in which the daemons of a fleet read. */
struct ReaderRole
{
  /** Whether the daemon is the leader, which always reads. */
  bool m_leads = false;
  /** Position among the successors, which read when the leader does not. The
      first is 0. Empty if the daemon is no successor. */
  std::optional<std::size_t> m_successorIndex;
};

/** Whether a daemon reads a topic, and when to decide again. */
struct ReadDecision
{
  /** Whether the daemon follows the topic in the store itself. */
  bool m_followsStore = false;
  /** When to call Next() again. */
  TimePoint m_nextCheckAt = TimePoint::max();
};

/** Decides when a daemon reads a followed topic from the store and when it
    relies on the records that other daemons relay. It covers the failure that
    the daemon which reads for all others loses the store without noticing.
    Readers report when the store last confirmed the end of the topic. The
    decision depends on the age of this confirmation, not on a reader's claim to
    be reading. When the confirmation is too old, the successors begin to read
    one after the other, then all daemons. */
class ReadSchedule
{
public:
  /** Takes a confirmation that this daemon received from the store. */
  void OnOwnConfirmation(const EndConfirmation& aConfirmation) noexcept;

  /** Takes a confirmation that a peer received. aReadsBefore is whether the
      peer precedes this daemon in the reading order. aHave is the position up
      to which this daemon has read. A confirmation of an earlier era is not
      used. */
  void OnPeerConfirmation(const EndConfirmation& aConfirmation,
                          bool aReadsBefore,
                          StorePosition aHave) noexcept;

  /** Takes the position up to which this daemon has read. */
  void OnRead(StorePosition aHave) noexcept;

  /** Returns the decision for the current time and role. */
  [[nodiscard]] ReadDecision Next(TimePoint aNow,
                                  const ReaderRole& aRole) noexcept;

  /** Returns the latest time at which this daemon's copy was confirmed to be
      complete. */
  [[nodiscard]] TimePoint CompleteAt() const noexcept;

private:
  /** The combined confirmations of a set of daemons. */
  struct Confirmations
  {
    TimePoint m_completeAt{};
    /** A confirmation that applies once this daemon has read up to its end. */
    EndConfirmation m_pending;

    void Add(const EndConfirmation& aConfirmation,
             StorePosition aHave) noexcept;
    void OnRead(StorePosition aHave) noexcept;
  };

  /** Confirmations of all peers, and of the peers that precede this daemon in
      the reading order. */
  Confirmations m_peers;
  Confirmations m_precedingReaders;
  TimePoint m_ownConfirmedAt{};
  bool m_followsStore = false;
  TimePoint m_followingSince{};
};

/** Interval at which a daemon that reads for others has the store confirm the
    end of a topic. */
inline constexpr Millis kConfirmationInterval{ 500 };

} // namespace sapphirehook

#endif
