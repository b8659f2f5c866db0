#ifndef CORNELDECK_BENCH_THREADEDLOOP_H
#define CORNELDECK_BENCH_THREADEDLOOP_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace corneldeck::bench {

/// An io_context with a thread of its own, whose processor time can be read.
class ThreadedLoop {
public:
  ThreadedLoop() = default;
  ~ThreadedLoop() { stop(); }
  ThreadedLoop(const ThreadedLoop &) = delete;
  ThreadedLoop &operator=(const ThreadedLoop &) = delete;

  boost::asio::io_context &loop() { return m_Loop; }

  void start();
  void stop();

  /// Runs \p Todo on the thread and waits for it.
  void call(const std::function<void()> &Todo);

  /// \returns the processor time that the thread has used, in seconds.
  [[nodiscard]] double cpuSeconds();

private:
  boost::asio::io_context m_Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work = boost::asio::make_work_guard(m_Loop);
  std::thread m_Thread;
};

} // namespace corneldeck::bench

#endif
