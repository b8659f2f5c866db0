#include "Bench/ThreadedLoop.h"

#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <pthread.h>

namespace corneldeck::bench {

void ThreadedLoop::start() {
  m_Thread = std::thread([this] { m_Loop.run(); });
}

void ThreadedLoop::stop() {
  if (!m_Thread.joinable())
    return;
  m_Loop.stop();
  m_Thread.join();
}

void ThreadedLoop::call(const std::function<void()> &Todo) {
  std::promise<void> Done;
  boost::asio::post(m_Loop, [&] {
    Todo();
    Done.set_value();
  });
  Done.get_future().wait();
}

double ThreadedLoop::cpuSeconds() {
  constexpr double NanosPerSecond = 1e9;
  clockid_t Clock{};
  pthread_getcpuclockid(m_Thread.native_handle(), &Clock);
  timespec Used{};
  clock_gettime(Clock, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) / NanosPerSecond;
}

} // namespace corneldeck::bench
