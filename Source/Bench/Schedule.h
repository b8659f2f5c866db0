#ifndef CORNELDECK_BENCH_SCHEDULE_H
#define CORNELDECK_BENCH_SCHEDULE_H

#include <ostream>
#include <rapidcheck.h>
#include <vector>

namespace corneldeck::bench {

/// One step of a random schedule for a cluster.
struct ScheduleStep {
  /// Number of the act in the promise's own list.
  int m_Act = 0;
  std::size_t m_Node = 0;
  /// Milliseconds to wait after the act.
  int m_Wait = 0;
};

inline std::ostream &operator<<(std::ostream &Out, const ScheduleStep &Step) {
  return Out << "(act " << Step.m_Act << ", node " << Step.m_Node << ", wait "
             << Step.m_Wait << ")";
}

using Schedule = std::vector<ScheduleStep>;

/// \returns a generator of schedules, each of whose steps is drawn with the
/// same chance whatever the schedule's length is.
///
/// \param Acts how many acts there are. \param Nodes how many nodes.
/// \param Waits the waits in milliseconds to draw from.
inline rc::Gen<Schedule> anySchedule(int Acts, std::size_t Nodes,
                                     std::vector<int> Waits) {
  const rc::Gen<ScheduleStep> Step = rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<ScheduleStep>(
          rc::gen::set(&ScheduleStep::m_Act, rc::gen::inRange(0, Acts)),
          rc::gen::set(&ScheduleStep::m_Node,
                       rc::gen::inRange<std::size_t>(0, Nodes)),
          rc::gen::set(&ScheduleStep::m_Wait,
                       rc::gen::elementOf(std::move(Waits)))));
  return rc::gen::container<Schedule>(Step);
}

} // namespace corneldeck::bench

#endif
