#ifndef SAPPHIREHOOK_GOSSIP_TOPIC_HISTORY_HPP
#define SAPPHIREHOOK_GOSSIP_TOPIC_HISTORY_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/gossip/topic_batch.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** What this daemon has lately read of a topic, and which peers are to be given
    it: those that the store does not serve. In a small fleet, where each daemon
    reads the topics itself, a host that alone has lost the store would else
   know neither new endpoints nor new configurations for as long as that lasts.
 */
class TopicHistory
{
public:
  /** Adds what has been read, which follows on what was read before. */
  void Add(TopicBatch aBatch);

  /** Returns the batches to give to a peer that has read up to an offset; none
      when it has all, when others are to give them, or when too much is
     missing. The leader gives them at once, the others to a peer that has not
     moved on for a while. */
  [[nodiscard]] std::vector<const TopicBatch*> Offer(TimePoint aNow,
                                                     const std::string& aPeer,
                                                     Offset aPeerHas,
                                                     bool aLeads);

private:
  struct Seen
  {
    Offset m_has = 0;
    TimePoint m_since{};
  };

  std::deque<TopicBatch> m_batches;
  std::size_t m_bytes = 0;
  std::map<std::string, Seen> m_behind;
};

} // namespace sapphirehook

#endif
