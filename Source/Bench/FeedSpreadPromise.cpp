#include "Bench/FeedSpreadModel.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"

#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using base::Millis;
using base::seconds;

constexpr std::size_t Entries = 46;
constexpr std::uint64_t Seeds = 3;
constexpr Millis Settling = seconds(2);
/// The bound from the publication of a version until it is in force.
constexpr Millis MaxSpread = seconds(2);
/// The part of its link that an entry may use for a version during MaxSpread.
constexpr double MaxLinkShare = 0.5;

// The fault matrix.

struct SpreadFault {
  std::string m_Name;
  /// Runs right after the publication.
  std::function<void(FeedSpreadModel &)> m_Begin;
  /// Runs one second later.
  std::function<void(FeedSpreadModel &)> m_Heal;
};

void doNothing(FeedSpreadModel &) {}

std::vector<SpreadFault> spreadFaults() {
  return {
      {"none", doNothing, doNothing},
      {"reader-restarted",
       [](FeedSpreadModel &Model) {
         Model.runFor(Millis(400));
         Model.restartEntry(Model.firstReader());
       },
       doNothing},
      {"source-stalled",
       [](FeedSpreadModel &Model) {
         Model.runFor(Millis(400));
         Model.stallEntry(Model.firstReader(), true);
       },
       [](FeedSpreadModel &Model) {
         Model.stallEntry(Model.firstReader(), false);
       }},
      {"sources-cut-off",
       [](FeedSpreadModel &Model) {
         Model.runFor(Millis(400));
         for (std::size_t Entry = 1; Entry < Entries; Entry += 4)
           Model.cutEntry(Entry, true);
       },
       [](FeedSpreadModel &Model) {
         for (std::size_t Entry = 1; Entry < Entries; Entry += 4)
           Model.cutEntry(Entry, false);
       }},
      {"half-restarted",
       [](FeedSpreadModel &Model) {
         Model.runFor(Millis(400));
         for (std::size_t Entry = 2; Entry < Entries; Entry += 2)
           Model.restartEntry(Entry);
       },
       doNothing},
      {"entries-added",
       [](FeedSpreadModel &Model) {
         for (int Count = 0; Count < 12; ++Count)
           Model.addEntry();
       },
       doNothing},
  };
}

struct SpreadStep {
  std::string m_Name;
  double m_DifferenceBytes = 0;
  /// Number of versions, half a second apart.
  unsigned m_Versions = 1;
  /// Whether some links are wide and a state is too large for the others.
  bool m_IsLarge = false;
};

std::vector<SpreadStep> spreadSteps() {
  return {{"no-change", 300, 1},
          {"routes-added", 7e4, 1},
          {"versions-back-to-back", 7e4, 4},
          {"all-replaced", 2.5e5, 1},
          {"large-state", 7e4, 1, true}};
}

/// Time until a large state is acknowledged, before which operators do not
/// write the next one.
constexpr Millis LargeStateInterval = seconds(1);

void makeLarge(FeedSpreadOptions &Options) {
  Options.m_WideLinkFactor = 5;
  Options.m_StateBytes = 1e7;
}

FeedSpreadOptions modelOptions(std::uint64_t Seed, const std::string &Plant,
                               double DifferenceBytes) {
  FeedSpreadOptions Options;
  Options.m_Entries = Entries;
  Options.m_Seed = Seed;
  Options.m_Plant = Plant;
  Options.m_DifferenceBytes = DifferenceBytes;
  return Options;
}

/// \returns what was seen, if the promise was broken.
std::string checkTime(FeedSpreadModel &Model) {
  if (Model.runUntilComplete(MaxSpread + Millis(1)) <= MaxSpread)
    return {};
  return "some entries lack the version after " +
         std::to_string(MaxSpread.count()) + " ms";
}

/// \returns what was seen, if the promise was broken.
std::string checkTraffic(const FeedSpreadModel &Model,
                         const FeedSpreadOptions &Options, unsigned Versions) {
  constexpr double MillisPerSecond = 1000;
  const double Sent = Model.traffic().m_MaxSentBytes;
  const double Allowed =
      Versions * MaxLinkShare * Options.m_LinkBytesPerSecond *
      static_cast<double>(MaxSpread.count()) / MillisPerSecond;
  if (Sent <= Allowed)
    return {};
  return "an entry sent " + std::to_string(static_cast<std::int64_t>(Sent)) +
         " bytes, allowed " +
         std::to_string(static_cast<std::int64_t>(Allowed));
}

std::string runRow(const SpreadFault &Fault, const SpreadStep &Step,
                   std::uint64_t Seed, const std::string &Plant) {
  FeedSpreadOptions Options = modelOptions(Seed, Plant, Step.m_DifferenceBytes);
  if (Step.m_IsLarge)
    makeLarge(Options);
  FeedSpreadModel Model(Options);
  Model.runFor(Settling);
  for (unsigned Version = 1; Version < Step.m_Versions; ++Version) {
    Model.publish();
    Model.runFor(Millis(500));
  }
  Model.publish();
  Fault.m_Begin(Model);
  if (Fault.m_Name != "none") {
    Model.runFor(Millis(1000));
    Fault.m_Heal(Model);
  }
  const std::string Late = checkTime(Model);
  return Late.empty() ? checkTraffic(Model, Options, Step.m_Versions) : Late;
}

std::vector<MatrixRow> feedSpreadMatrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (const SpreadFault &Fault : spreadFaults())
    for (const SpreadStep &Step : spreadSteps()) {
      MatrixRow Row{Fault.m_Name, Step.m_Name, true, {}};
      for (std::uint64_t Seed = 1; Seed <= Seeds && Row.m_Kept; ++Seed) {
        Row.m_Seen = runRow(Fault, Step, Seed, Plant);
        Row.m_Kept = Row.m_Seen.empty();
      }
      Rows.push_back(Row);
    }
  return Rows;
}

// The fuzzer.

/// Twice as many as in the matrix, so that two sources alone are too few.
constexpr std::size_t FuzzEntries = 2 * Entries;

enum class FuzzAction { Publish, Restart, Cut, Heal, Stall, Resume, Add };

struct FuzzStep {
  FuzzAction m_Action = FuzzAction::Publish;
  std::size_t m_Entry = 0;
  int m_WaitMillis = 0;
};

void showValue(const FuzzStep &Step, std::ostream &Out) {
  Out << "{action " << static_cast<int>(Step.m_Action) << ", entry "
      << Step.m_Entry << ", then " << Step.m_WaitMillis << " ms}";
}

rc::Gen<FuzzStep> anyFuzzStep() {
  return rc::gen::build<FuzzStep>(
      rc::gen::set(&FuzzStep::m_Action, rc::gen::weightedElement<FuzzAction>(
                                            {{4, FuzzAction::Publish},
                                             {3, FuzzAction::Restart},
                                             {2, FuzzAction::Cut},
                                             {2, FuzzAction::Heal},
                                             {2, FuzzAction::Stall},
                                             {2, FuzzAction::Resume},
                                             {1, FuzzAction::Add}})),
      rc::gen::set(&FuzzStep::m_Entry,
                   rc::gen::inRange<std::size_t>(0, FuzzEntries)),
      rc::gen::set(&FuzzStep::m_WaitMillis, rc::gen::inRange(0, 400)));
}

void applyStep(FeedSpreadModel &Model, const FuzzStep &Step) {
  switch (Step.m_Action) {
  case FuzzAction::Publish:
    Model.publish();
    break;
  case FuzzAction::Restart:
    Model.restartEntry(Step.m_Entry);
    break;
  case FuzzAction::Cut:
    Model.cutEntry(Step.m_Entry, true);
    break;
  case FuzzAction::Heal:
    Model.cutEntry(Step.m_Entry, false);
    break;
  case FuzzAction::Stall:
    Model.stallEntry(Step.m_Entry, true);
    break;
  case FuzzAction::Resume:
    Model.stallEntry(Step.m_Entry, false);
    break;
  case FuzzAction::Add:
    Model.addEntry();
    break;
  }
  Model.runFor(Millis(Step.m_WaitMillis));
}

FuzzReport feedSpreadFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                          const std::string &Plant) {
  constexpr int MaxSteps = 20;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<FuzzStep>>(anyFuzzStep());
    // The last version replaces all routes.
    FeedSpreadOptions Options = modelOptions(1, Plant, 0);
    Options.m_DifferenceBytes = Options.m_CompleteBytes;
    Options.m_Entries = FuzzEntries;
    const bool IsLarge = *rc::gen::arbitrary<bool>();
    if (IsLarge)
      makeLarge(Options);
    FeedSpreadModel Model(Options);
    Model.runFor(Settling);
    for (const FuzzStep &Step : Schedule) {
      applyStep(Model, Step);
      if (IsLarge && Step.m_Action == FuzzAction::Publish)
        Model.runFor(LargeStateInterval);
    }
    for (std::size_t Entry = 0; Entry < Model.entries(); ++Entry) {
      Model.cutEntry(Entry, false);
      Model.stallEntry(Entry, false);
    }
    // Restarted entries get the versions that they missed first.
    Model.runFor(MaxSpread);
    Model.publish();
    const std::string Seen = checkTime(Model);
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise feedSpreadPromise() {
  return {"feed-spread",
          {"no-differences", "ask-readers-only", "readers-by-name"},
          feedSpreadMatrix,
          feedSpreadFuzz};
}

} // namespace corneldeck::bench
