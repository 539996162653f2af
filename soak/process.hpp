#ifndef SAPPHIREHOOK_SOAK_PROCESS_HPP
#define SAPPHIREHOOK_SOAK_PROCESS_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sapphirehook::soak {

/** A process that this one started, and ends at the latest when it is
    destroyed. */
class Process
{
public:
  /** Starts a program with its output going to a file. Throws when it cannot
      be started. */
  Process(const std::vector<std::string>& aWords, const std::string& aOutput);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aNumber) const noexcept;

  /** Looks whether it has ended. */
  [[nodiscard]] bool HasEnded();

  /** How it ended, as of waitpid; empty while it runs. */
  [[nodiscard]] std::optional<int> Status() const noexcept { return m_status; }

  /** Kills it and waits for its end. */
  void Kill() noexcept;

private:
  pid_t m_id = -1;
  std::optional<int> m_status;
};

} // namespace sapphirehook::soak

#endif
