#ifndef CORNELDECK_FAKES_VIRTUALTIME_H
#define CORNELDECK_FAKES_VIRTUALTIME_H

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace corneldeck::fakes {

/// Runs actions in the order of their due times on a clock of its own.
///
/// Actions with the same due time run in the order in which they were added,
/// so a run repeats itself exactly.
class VirtualTime {
public:
  using Action = std::function<void()>;

  [[nodiscard]] base::Millis now() const { return m_Now; }

  /// \returns a clock that shows this time; it must not outlive this object.
  [[nodiscard]] base::Clock clock() const;

  /// Adds an action to run \p Delay after now.
  void after(base::Millis Delay, Action Todo);

  /// Runs the next action.
  /// \returns false if there is none.
  bool step();

  /// Runs all actions due up to and with \p End, then sets the time to it.
  void runUntil(base::Millis End);

private:
  base::Millis m_Now{};
  std::uint64_t m_NextNumber = 0;
  std::map<std::pair<base::Millis, std::uint64_t>, Action> m_Actions;
};

} // namespace corneldeck::fakes

#endif
