#ifndef SAPPHIREHOOK_SOAK_PROCESS_HPP
#define SAPPHIREHOOK_SOAK_PROCESS_HPP

#include "sapphirehook/core/time.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sapphirehook::soak {

/** A child process. The destructor kills it if it still runs. */
class Process
{
public:
  /** Starts a program and appends its output to a file. Throws if the program
      cannot be started. */
  Process(const std::vector<std::string>& aArguments,
          const std::string& aOutput);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aNumber) const noexcept;

  /** Checks whether the process has ended. */
  [[nodiscard]] bool HasEnded();

  /** Returns the status that waitpid reported; empty until the end of the
      process has been observed. */
  [[nodiscard]] std::optional<int> Status() const noexcept { return m_status; }

  /** Kills the process and waits for its end. */
  void Kill() noexcept;

private:
  pid_t m_id = -1;
  std::optional<int> m_status;
};

} // namespace sapphirehook::soak

#endif
