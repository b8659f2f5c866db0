// The fault matrix of a request: each fault at each step, twice and in pairs.
#include "Bench/RequestMatrix.h"
#include "Bench/RequestFaults.h"
#include "Bench/RequestOracle.h"

#include <array>

namespace corneldeck::bench {

using base::Millis;

namespace {

constexpr Millis Patience{6000};
constexpr Millis FaultTime{9000};
constexpr Millis SettleTime{8000};
constexpr int Retries = 2;

constexpr std::array Kinds{CallKind::KeyedPlain, CallKind::KeyedStream,
                           CallKind::PlainOnce, CallKind::IdempotentStream};

/// A fault placed at a step of the first call.
struct PlacedFault {
  RequestFault m_Fault;
  Step m_At;
  bool m_Struck = false;
};

/// Runs one call under the faults. \returns what the oracle says.
std::string runTrial(std::vector<PlacedFault> Faults, CallKind Kind,
                     RequestPromise Promise, const std::string &Plant) {
  WorldOptions Options;
  Options.m_Plant = Plant;
  RequestWorld World(Options);
  World.m_OnStep = [&](Step At, const Call &About, std::size_t Agent) {
    const Call Copy = About;
    for (PlacedFault &Each : Faults) {
      const bool First = Copy.m_Key.empty() ? Copy.m_Id == "r0" : true;
      if (Each.m_Struck || Each.m_At != At || !First)
        continue;
      Each.m_Struck = true;
      inject(World, Each.m_Fault, Copy, Agent);
    }
  };
  World.submit(Kind, 0, "k", Patience, Retries);
  World.advance(FaultTime);
  World.heal();
  World.advance(SettleTime);
  // The caller asks once more, long after.
  World.submit(Kind, 1, "k", Patience);
  World.advance(Patience + Millis(1000));
  std::string Wrong = judge(World, Promise);
  if (!Wrong.empty() || !Faults.empty())
    return Wrong;
  // Nothing stands in the way: everything must be answered.
  for (const Call &Each : World.calls())
    if (!Each.m_Outcome || Each.m_Outcome->m_Code != base::ResultCode::Ok)
      return Each.m_Id + " was refused without a fault";
  return {};
}

MatrixRow runRow(const std::vector<PlacedFault> &Faults, RequestPromise Promise,
                 const std::string &Plant) {
  MatrixRow Row;
  Row.m_Kept = true;
  for (const CallKind Kind : Kinds) {
    const std::string Wrong = runTrial(Faults, Kind, Promise, Plant);
    if (Wrong.empty() || !Row.m_Kept)
      continue;
    Row.m_Kept = false;
    Row.m_Seen = Wrong;
  }
  return Row;
}

} // namespace

std::vector<MatrixRow> requestMatrix(RequestPromise Promise,
                                     const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  MatrixRow Calm = runRow({}, Promise, Plant);
  Calm.m_Fault = "none";
  Calm.m_Step = "-";
  Rows.push_back(Calm);
  for (const RequestFault First : requestFaults())
    for (const Step At : requestSteps()) {
      MatrixRow Row = runRow({{First, At}}, Promise, Plant);
      Row.m_Fault = name(First);
      Row.m_Step = name(At);
      Rows.push_back(Row);
    }
  for (const RequestFault First : requestFaults())
    for (const RequestFault Second : requestFaults()) {
      MatrixRow Row;
      Row.m_Kept = true;
      for (const Step At : requestSteps())
        for (const Step Then : requestSteps()) {
          if (Then < At)
            continue;
          const MatrixRow Cell =
              runRow({{First, At}, {Second, Then}}, Promise, Plant);
          if (Cell.m_Kept || !Row.m_Kept)
            continue;
          Row = Cell;
          Row.m_Seen += " (" + std::string(name(At)) + ", " +
                        std::string(name(Then)) + ")";
        }
      Row.m_Fault =
          std::string(name(First)) + " + " + std::string(name(Second));
      Row.m_Step = "every pair of steps";
      Rows.push_back(Row);
    }
  return Rows;
}

} // namespace corneldeck::bench
