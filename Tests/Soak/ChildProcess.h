#ifndef CORNELDECK_TESTS_SOAK_CHILDPROCESS_H
#define CORNELDECK_TESTS_SOAK_CHILDPROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace corneldeck::tests {

/// One process of a real program. Only this process is ever signalled, by its
/// id, and only until it has been waited for.
class ChildProcess {
public:
  /// \param Words the program's path and its arguments.
  /// \param LogPath takes standard output and standard error.
  ChildProcess(std::vector<std::string> Words, std::string LogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void start();
  void signal(int Number);
  /// \returns whether the process still runs.
  bool isRunning();
  /// \returns the id of the running process, or -1.
  [[nodiscard]] pid_t id() const { return m_Id; }

private:
  const std::vector<std::string> m_Words;
  const std::string m_LogPath;
  pid_t m_Id = -1;
};

} // namespace corneldeck::tests

#endif
