#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace corneldeck::tests {

ChildProcess::ChildProcess(std::vector<std::string> Words, std::string LogPath)
    : m_Words(std::move(Words)), m_LogPath(std::move(LogPath)) {}

ChildProcess::~ChildProcess() {
  if (!isRunning())
    return;
  ::kill(m_Id, SIGKILL);
  ::waitpid(m_Id, nullptr, 0);
}

void ChildProcess::start() {
  std::vector<char *> Arguments;
  Arguments.reserve(m_Words.size() + 1);
  for (const std::string &Word : m_Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  constexpr int Mode = 0644;
  ::posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, m_LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, Mode);
  ::posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  if (::posix_spawn(&m_Id, m_Words[0].c_str(), &Files, nullptr,
                    Arguments.data(), environ) != 0)
    m_Id = -1;
  ::posix_spawn_file_actions_destroy(&Files);
}

void ChildProcess::signal(int Number) {
  if (isRunning())
    ::kill(m_Id, Number);
}

bool ChildProcess::isRunning() {
  if (m_Id <= 0)
    return false;
  if (::waitpid(m_Id, nullptr, WNOHANG) == 0)
    return true;
  m_Id = -1;
  return false;
}

} // namespace corneldeck::tests
