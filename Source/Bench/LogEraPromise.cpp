#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Fakes/LogEraModel.h"

#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using fakes::LogEraModel;
using fakes::LogEraPlant;

constexpr std::uint64_t Seeds = 20;

LogEraPlant plantOf(const std::string &Name) {
  static const std::map<std::string, LogEraPlant> Plants = {
      {"ignore-era", LogEraPlant::IgnoreEra},
      {"ignore-order", LogEraPlant::IgnoreOrder},
      {"drop-missing", LogEraPlant::DropMissing},
      {"never-reload", LogEraPlant::NeverReload}};
  const auto Found = Plants.find(Name);
  return Found == Plants.end() ? LogEraPlant::None : Found->second;
}

/// \returns what was seen, if the promise was broken.
std::string describe(const LogEraModel &Model) {
  if (Model.violations() == 0)
    return {};
  return std::to_string(Model.violations()) +
         " times a node went back, lost a key, or did not get the newest "
         "record";
}

// The fault matrix.

/// Nodes that read the log and copy each other's states.
class MatrixRun {
public:
  MatrixRun(std::uint64_t Seed, LogEraPlant Plant)
      : m_Model(Seed, Plant), m_Draw(Seed) {}

  LogEraModel &model() { return m_Model; }

  void runSteps(int Count) {
    for (int Step = 0; Step < Count; ++Step) {
      m_Model.read(m_FirstReader + m_Draw.below(2));
      m_Model.copyState(m_Draw.below(LogEraModel::Nodes),
                        m_Draw.below(LogEraModel::Nodes), m_Draw.chance(0.1));
      m_Model.endStep();
    }
  }

  void restart(std::size_t First, std::size_t End) {
    for (std::size_t Node = First; Node < End; ++Node)
      m_Model.restart(Node);
  }

  /// The first of the two nodes that read the log.
  std::size_t m_FirstReader = 0;

private:
  LogEraModel m_Model;
  base::Random m_Draw;
};

/// A named action on a run.
struct MatrixAction {
  std::string m_Name;
  std::function<void(MatrixRun &)> m_Do;
};

/// Long enough for all nodes to have the same state, and for another return.
constexpr int SettlingSteps = 60;
/// Short enough that some nodes lack what has just been written.
constexpr int SpreadingSteps = 6;

/// What happens right after the return of the log.
std::vector<MatrixAction> eraFaults() {
  return {
      {"none", [](MatrixRun &) {}},
      {"readers-restarted", [](MatrixRun &Run) { Run.restart(0, 2); }},
      {"all-but-one-restarted",
       [](MatrixRun &Run) { Run.restart(0, LogEraModel::Nodes - 1); }},
      {"other-readers", [](MatrixRun &Run) { Run.m_FirstReader = 3; }},
      {"copy-under-way",
       [](MatrixRun &Run) { Run.model().copyState(4, 0, true); }},
      {"second-return",
       [](MatrixRun &Run) {
         Run.runSteps(SpreadingSteps);
         Run.model().saveCopy();
         Run.model().write(1, true);
         Run.runSteps(SettlingSteps);
         Run.model().returnLog();
       }},
  };
}

/// What is written after the copy.
std::vector<MatrixAction> eraSteps() {
  return {
      {"nothing", [](MatrixRun &) {}},
      {"record", [](MatrixRun &Run) { Run.model().write(0, true); }},
      {"deletion", [](MatrixRun &Run) { Run.model().write(0, false); }},
      {"new-key", [](MatrixRun &Run) { Run.model().write(3, true); }},
      {"many-records",
       [](MatrixRun &Run) {
         for (int Count = 0; Count < 5; ++Count)
           for (std::size_t Key = 0; Key < LogEraModel::Keys; ++Key)
             Run.model().write(Key, true);
       }},
  };
}

std::string runRow(const MatrixAction &Fault, const MatrixAction &Step,
                   std::uint64_t Seed, LogEraPlant Plant) {
  MatrixRun Run(Seed, Plant);
  Run.model().write(3, false);
  Run.runSteps(SettlingSteps);
  Run.model().saveCopy();
  Step.m_Do(Run);
  Run.runSteps(SpreadingSteps);
  Run.model().returnLog();
  Fault.m_Do(Run);
  Run.runSteps(SettlingSteps);
  Run.model().converge();
  return describe(Run.model());
}

std::vector<MatrixRow> logEraMatrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (const MatrixAction &Fault : eraFaults())
    for (const MatrixAction &Step : eraSteps()) {
      MatrixRow Row{Fault.m_Name, Step.m_Name, true, {}};
      for (std::uint64_t Seed = 1; Seed <= Seeds && Row.m_Kept; ++Seed) {
        Row.m_Seen = runRow(Fault, Step, Seed, plantOf(Plant));
        Row.m_Kept = Row.m_Seen.empty();
      }
      Rows.push_back(Row);
    }
  return Rows;
}

// The fuzzer.

enum class FuzzAction { Write, Delete, SaveCopy, Return, Restart, Read, Copy };

struct FuzzStep {
  FuzzAction m_Action = FuzzAction::Read;
  std::size_t m_Key = 0;
  std::size_t m_Node = 0;
  std::size_t m_From = 0;
  bool m_IsLate = false;
};

void showValue(const FuzzStep &Step, std::ostream &Out) {
  Out << "{action " << static_cast<int>(Step.m_Action) << ", key " << Step.m_Key
      << ", node " << Step.m_Node << ", from " << Step.m_From << ", late "
      << Step.m_IsLate << "}";
}

rc::Gen<FuzzStep> anyFuzzStep() {
  const auto AnyNode = rc::gen::inRange<std::size_t>(0, LogEraModel::Nodes);
  return rc::gen::build<FuzzStep>(
      rc::gen::set(&FuzzStep::m_Action, rc::gen::weightedElement<FuzzAction>(
                                            {{4, FuzzAction::Write},
                                             {1, FuzzAction::Delete},
                                             {2, FuzzAction::SaveCopy},
                                             {2, FuzzAction::Return},
                                             {1, FuzzAction::Restart},
                                             {10, FuzzAction::Read},
                                             {12, FuzzAction::Copy}})),
      rc::gen::set(&FuzzStep::m_Key,
                   rc::gen::inRange<std::size_t>(0, LogEraModel::Keys)),
      rc::gen::set(&FuzzStep::m_Node, AnyNode),
      rc::gen::set(&FuzzStep::m_From, AnyNode),
      rc::gen::set(&FuzzStep::m_IsLate,
                   rc::gen::weightedElement<bool>({{7, false}, {3, true}})));
}

void applyStep(LogEraModel &Model, const FuzzStep &Step) {
  switch (Step.m_Action) {
  case FuzzAction::Write:
  case FuzzAction::Delete:
    Model.write(Step.m_Key, Step.m_Action == FuzzAction::Write);
    break;
  case FuzzAction::SaveCopy:
    Model.saveCopy();
    break;
  case FuzzAction::Return:
    Model.returnLog();
    break;
  case FuzzAction::Restart:
    Model.restart(Step.m_Node);
    break;
  case FuzzAction::Read:
    Model.read(Step.m_Node);
    break;
  case FuzzAction::Copy:
    Model.copyState(Step.m_Node, Step.m_From, Step.m_IsLate);
    break;
  }
  Model.endStep();
}

FuzzReport logEraFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                      const std::string &Plant) {
  constexpr int MaxSteps = 250;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<FuzzStep>>(anyFuzzStep());
    LogEraModel Model(1, plantOf(Plant));
    for (const FuzzStep &Step : Schedule)
      applyStep(Model, Step);
    Model.converge();
    const std::string Seen = describe(Model);
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise logEraPromise() {
  return {"log-era",
          {"ignore-era", "ignore-order", "drop-missing", "never-reload"},
          logEraMatrix,
          logEraFuzz};
}

} // namespace corneldeck::bench
