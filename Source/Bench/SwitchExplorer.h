#ifndef CORNELDECK_BENCH_SWITCHEXPLORER_H
#define CORNELDECK_BENCH_SWITCHEXPLORER_H

#include "Bench/SwitchModel.h"

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace corneldeck::bench {

/// Visits every state that a modelled rank group can reach.
///
/// Every order of events is tried, with a bounded number of faults and early
/// timers. In each state the maps used in a step must be one, and from each
/// state at rest, and each state after a fault, the group must settle.
class SwitchExplorer {
public:
  struct Limits {
    /// Faults on one path, each anywhere.
    int m_Faults = 1;
    /// Short timers that end while messages are still on their way.
    int m_EarlyTimers = 0;
    /// No engine goes past this step.
    rankgroup::Step m_LastStep = 4;
    /// The fault kinds tried; others do not happen.
    std::vector<SwitchEventKind> m_Kinds;
    std::uint64_t m_MaxStates = 100'000'000;
  };

  explicit SwitchExplorer(Limits Wanted) : m_Limits(std::move(Wanted)) {}

  /// Explores from \p Start and stops at the first violation.
  /// \returns what was seen, with the events that led to it; empty if nothing.
  std::string explore(const SwitchModel &Start);

  /// \returns the number of different states visited.
  [[nodiscard]] std::uint64_t states() const { return m_Visited.size(); }

  /// \returns the number of states from which settling was checked.
  [[nodiscard]] std::uint64_t settled() const { return m_Settled; }

  /// \returns true if every reachable state within the limits was visited.
  [[nodiscard]] bool complete() const { return m_Complete; }

private:
  void visit(const SwitchModel &State, int Faults, int Timers);
  void follow(const SwitchModel &State, const SwitchEvent &Event, int Faults,
              int Timers);
  void checkSettles(const SwitchModel &State);
  void found(const std::string &Seen);
  [[nodiscard]] std::vector<SwitchEvent> faults(const SwitchModel &State) const;

  Limits m_Limits;
  std::unordered_set<std::uint64_t> m_Visited;
  std::uint64_t m_Settled = 0;
  bool m_Complete = true;
  std::vector<SwitchEvent> m_Path;
  std::string m_Found;
};

/// \returns a word for \p Kind, such as "crash-agent".
std::string name(SwitchEventKind Kind);

/// \returns "kind rank" of each event, separated by commas.
std::string describe(const std::vector<SwitchEvent> &Path);

} // namespace corneldeck::bench

#endif
