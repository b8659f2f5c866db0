#include "Bench/RequestFuzz.h"

#include "Bench/PropertyRun.h"
#include "Bench/RequestFaults.h"

#include <rapidcheck.h>

namespace corneldeck::bench {

namespace {

using base::Millis;

constexpr int LongestSchedule = 24;
constexpr int KeyCount = 3;
constexpr int KindCount = 4;
constexpr int LongestWait = 700;
constexpr Millis Patience{4000};
constexpr Millis SettleTime{6000};

/// One command of a schedule: a call, or a fault that strikes the way of an
/// earlier call.
struct Command {
  bool m_IsCall = true;
  int m_Kind = 0;
  int m_Key = 0;
  int m_Entry = 0;
  int m_Agent = 0;
  int m_Fault = 0;
  int m_Wait = 0;
};

std::ostream &operator<<(std::ostream &Out, const Command &Each) {
  if (Each.m_IsCall)
    return Out << "call kind " << Each.m_Kind << " key " << Each.m_Key
               << " at entry " << Each.m_Entry << " then wait " << Each.m_Wait;
  return Out << name(requestFaults()[static_cast<std::size_t>(Each.m_Fault)])
             << " at entry " << Each.m_Entry << " agent " << Each.m_Agent
             << " then wait " << Each.m_Wait;
}

rc::Gen<Command> commandGen() {
  const int Faults = static_cast<int>(requestFaults().size());
  return rc::gen::build<Command>(
      rc::gen::set(&Command::m_IsCall),
      rc::gen::set(&Command::m_Kind, rc::gen::inRange(0, KindCount)),
      rc::gen::set(&Command::m_Key, rc::gen::inRange(0, KeyCount)),
      rc::gen::set(&Command::m_Entry, rc::gen::inRange(0, 2)),
      rc::gen::set(&Command::m_Agent, rc::gen::inRange(0, 3)),
      rc::gen::set(&Command::m_Fault, rc::gen::inRange(0, Faults)),
      rc::gen::set(&Command::m_Wait,
                   rc::gen::oneOf(rc::gen::inRange(0, 8),
                                  rc::gen::inRange(0, LongestWait))));
}

void carryOut(RequestWorld &World, const Command &Each) {
  const auto Entry = static_cast<std::size_t>(Each.m_Entry);
  const std::string Key = "k" + std::to_string(Each.m_Key);
  if (Each.m_IsCall) {
    World.submit(static_cast<CallKind>(Each.m_Kind), Entry, Key, Patience);
  } else {
    Call About;
    About.m_Kind = static_cast<CallKind>(Each.m_Kind);
    About.m_Entry = Entry;
    About.m_Key = Key;
    About.m_Deadline = Patience;
    inject(World, requestFaults()[static_cast<std::size_t>(Each.m_Fault)],
           About, static_cast<std::size_t>(Each.m_Agent));
  }
  World.advance(Millis(Each.m_Wait));
}

std::string runSchedule(const std::vector<Command> &Schedule,
                        RequestPromise Promise, const std::string &Plant,
                        bool TellCreated) {
  WorldOptions Options;
  Options.m_Plant = Plant;
  Options.m_TellCreated = TellCreated;
  RequestWorld World(Options);
  for (const Command &Each : Schedule)
    carryOut(World, Each);
  World.heal();
  World.advance(SettleTime);
  for (int Key = 0; Key < KeyCount; ++Key)
    for (const CallKind Kind : {CallKind::KeyedPlain, CallKind::KeyedStream})
      World.submit(Kind, 0, "k" + std::to_string(Key), Patience);
  World.advance(SettleTime);
  return judge(World, Promise);
}

} // namespace

FuzzReport fuzzRequests(RequestPromise Promise, std::uint64_t Schedules,
                        std::uint64_t Seed, const std::string &Plant) {
  const auto Property = [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<Command>>(
             // Ranges are drawn from in full only at the nominal size.
             rc::gen::resize(rc::kNominalSize, commandGen()))
             .as("schedule");
    const bool TellCreated = *rc::gen::arbitrary<bool>().as("tell created");
    const std::string Wrong =
        runSchedule(Schedule, Promise, Plant, TellCreated);
    if (!Wrong.empty())
      RC_FAIL(Wrong);
  };
  return runProperty(Schedules, Seed, LongestSchedule, Property);
}

} // namespace corneldeck::bench
