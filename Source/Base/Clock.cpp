#include "Base/Clock.h"

#include <chrono>
#include <utility>

namespace corneldeck::base {

Clock::Clock(Source Now) : m_Now(std::move(Now)) {}

Clock steadyClock() {
  return Clock([] {
    const auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return Millis(
        std::chrono::duration_cast<std::chrono::milliseconds>(Elapsed).count());
  });
}

Millis wallTime() {
  const auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(Elapsed).count());
}

} // namespace corneldeck::base
