#include "soak/process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

namespace sapphirehook::soak {

Process::Process(const std::vector<std::string>& aArguments,
                 const std::string& aOutput)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  for (const int stream : { 1, 2 }) {
    posix_spawn_file_actions_addopen(
      &actions, stream, aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  }
  const int failed = posix_spawn(
    &m_id, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start program " + aArguments.front());
  }
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aNumber) const noexcept
{
  if (!m_status) {
    kill(m_id, aNumber);
  }
}

bool
Process::HasEnded()
{
  int status = 0;
  if (!m_status && waitpid(m_id, &status, WNOHANG) == m_id) {
    m_status = status;
  }
  return m_status.has_value();
}

void
Process::Kill() noexcept
{
  int status = 0;
  if (!m_status) {
    kill(m_id, SIGKILL);
    if (waitpid(m_id, &status, 0) == m_id) {
      m_status = status;
    }
  }
}

} // namespace sapphirehook::soak
