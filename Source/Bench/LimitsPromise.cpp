#include "Admission/LimitShares.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Fakes/FakeNetwork.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using base::Millis;

constexpr double PerSecond = 200;
constexpr Millis Window = base::seconds(10);
constexpr double MostOver = 0.05;
const admission::LimitKey Key{"model", "customer"};

admission::LimitSettings settingsFor(const std::string &Plant) {
  admission::LimitSettings Settings;
  // Grants to an entry that hears nobody never end.
  if (Plant == "limit-no-fallback")
    Settings.m_GrantSafetyMargin = base::minutes(-60);
  return Settings;
}

/// Some entries that share one limit, and what they let through.
class LimitEntries {
public:
  LimitEntries(std::size_t Count, const std::string &Plant)
      : m_Plant(Plant), m_Settings(settingsFor(Plant)), m_Shares(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      start(Millis(0), Index);
  }

  /// Starts or restarts an entry, which then knows of no grant.
  void start(Millis Now, std::size_t Index) {
    // Each entry lets the whole limit through.
    const bool Alone = m_Plant == "limit-each-alone";
    const std::size_t Sharing = Alone ? 1 : m_Shares.size();
    m_FirstSequence += 1'000'000;
    m_Shares[Index] =
        std::make_unique<admission::LimitShares>(m_Settings, m_FirstSequence);
    m_Shares[Index]->setLimit(Now, Key, PerSecond,
                              static_cast<std::uint32_t>(Sharing));
  }

  void ask(Millis Now, std::size_t Index) {
    const auto Outcome = m_Shares[Index]->admit(Now, Key, 1);
    if (Outcome)
      m_Admitted.push_back(Now);
    else if (Outcome.error().m_RetryAfter <= Millis(0))
      m_Unnamed = true;
  }

  admission::LimitShares &operator[](std::size_t Index) {
    return *m_Shares[Index];
  }
  [[nodiscard]] std::size_t size() const { return m_Shares.size(); }
  [[nodiscard]] const std::vector<Millis> &admitted() const {
    return m_Admitted;
  }

  /// \returns whether a refusal came without a time to come back.
  [[nodiscard]] bool hasUnnamedWait() const { return m_Unnamed; }

  [[nodiscard]] double shareSum(Millis Now) const {
    double Sum = 0;
    for (const auto &Each : m_Shares)
      Sum += Each->share(Now, Key);
    return Sum;
  }

  /// \returns the most that all entries may let through in a span.
  [[nodiscard]] double allowed(Millis Span) const {
    const auto Whole =
        static_cast<double>((Span + m_Settings.m_BurstWindow).count());
    return PerSecond * Whole / 1'000 + static_cast<double>(m_Shares.size());
  }

private:
  std::string m_Plant;
  admission::LimitSettings m_Settings;
  std::vector<std::unique_ptr<admission::LimitShares>> m_Shares;
  std::uint64_t m_FirstSequence = 0;
  std::vector<Millis> m_Admitted;
  bool m_Unnamed = false;
};

// The fault matrix.

constexpr std::size_t Entries = 9;
constexpr Millis RunFor = base::seconds(40);
constexpr Millis FaultAt = base::seconds(12);
constexpr Millis HealAt = base::seconds(30);
constexpr Millis GossipEvery(200);
constexpr Millis AskEvery(1);
/// Requests asked each time, over all entries: ten times the limit.
constexpr int AsksEach = 2;

struct LimitFault {
  std::string m_Name;
  std::function<void(fakes::FakeNetwork &)> m_Begin;
};

std::string nodeName(std::size_t Index) { return std::to_string(Index); }

void forEachPath(
    fakes::FakeNetwork &Network,
    const std::function<void(fakes::FakeNetwork::Path &)> &Change) {
  for (std::size_t From = 0; From < Entries; ++From)
    for (std::size_t To = 0; To < Entries; ++To)
      Change(Network.path(nodeName(From), nodeName(To)));
}

std::vector<LimitFault> limitFaults() {
  using Path = fakes::FakeNetwork::Path;
  return {
      {"none", [](fakes::FakeNetwork &) {}},
      {"entry-cut-off",
       [](fakes::FakeNetwork &Network) {
         for (std::size_t Other = 1; Other < Entries; ++Other)
           Network.setCut("0", nodeName(Other), true);
       }},
      {"entry-not-heard",
       [](fakes::FakeNetwork &Network) {
         for (std::size_t Other = 1; Other < Entries; ++Other)
           Network.path("0", nodeName(Other)).m_Cut = true;
       }},
      {"entry-hears-nobody",
       [](fakes::FakeNetwork &Network) {
         for (std::size_t Other = 1; Other < Entries; ++Other)
           Network.path(nodeName(Other), "0").m_Cut = true;
       }},
      {"all-cut-off",
       [](fakes::FakeNetwork &Network) {
         forEachPath(Network, [](Path &Each) { Each.m_Cut = true; });
       }},
      {"messages-lost",
       [](fakes::FakeNetwork &Network) {
         forEachPath(Network, [](Path &Each) { Each.m_LossRatio = 0.5; });
       }},
      {"messages-late",
       [](fakes::FakeNetwork &Network) {
         forEachPath(Network, [](Path &Each) { Each.m_Jitter = Millis(900); });
       }},
      {"messages-twice",
       [](fakes::FakeNetwork &Network) {
         forEachPath(Network, [](Path &Each) {
           Each.m_DuplicateRatio = 0.5;
           Each.m_Jitter = Millis(300);
         });
       }},
      {"entry-paused",
       [](fakes::FakeNetwork &Network) { Network.freeze("0"); }},
  };
}

/// Where the customer's requests come in; the entry of the fault is 0.
struct Flood {
  std::string m_Name;
  std::function<std::size_t(Millis Now, base::Random &Random)> m_Entry;
};

std::vector<Flood> floods() {
  return {
      {"flood-at-the-entry", [](Millis, base::Random &) { return 0; }},
      {"flood-at-another", [](Millis, base::Random &) { return 1; }},
      {"flood-at-all",
       [](Millis, base::Random &Random) { return Random.below(Entries); }},
      {"flood-moves",
       [](Millis Now, base::Random &) {
         return static_cast<std::size_t>(Now.count() / 3'000) % Entries;
       }},
  };
}

std::string checkWindows(const LimitEntries &Of) {
  const std::vector<Millis> &Times = Of.admitted();
  const double Allowed =
      PerSecond * static_cast<double>(Window.count()) / 1'000;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    const auto Count = static_cast<double>(Last - First + 1);
    if (Count > Allowed * (1 + MostOver))
      return std::to_string(Count) + " let through in 10 s, limit " +
             std::to_string(Allowed);
  }
  return Of.hasUnnamedWait() ? "a refusal without a time to come back" : "";
}

MatrixRow runLimitRow(const LimitFault &Fault, const Flood &Step,
                      const std::string &Plant) {
  fakes::VirtualTime Time;
  fakes::FakeNetwork Network(Time, 1);
  base::Random Random(2);
  LimitEntries Of(Entries, Plant);
  std::string Seen;
  const std::function<void(std::size_t)> Gossip = [&](std::size_t From) {
    for (std::size_t To = 0; To < Entries; ++To) {
      if (To == From)
        continue;
      const auto Message = Of[From].makeGossip(Time.now(), nodeName(To));
      Network.send(nodeName(From), nodeName(To),
                   [&Of, &Time, From, To, Message] {
                     Of[To].onGossip(Time.now(), nodeName(From), Message);
                   });
    }
    Time.after(GossipEvery, [&Gossip, From] { Gossip(From); });
  };
  const std::function<void()> Ask = [&] {
    for (int Number = 0; Number < AsksEach; ++Number)
      Of.ask(Time.now(), Step.m_Entry(Time.now(), Random));
    if (Of.shareSum(Time.now()) > PerSecond * 1.000'001)
      Seen = "the shares sum up to more than the limit";
    Time.after(AskEvery, Ask);
  };
  for (std::size_t From = 0; From < Entries; ++From)
    Time.after(Millis(static_cast<std::int64_t>(20 * From)),
               [&Gossip, From] { Gossip(From); });
  Time.after(AskEvery, Ask);
  Time.after(FaultAt, [&] { Fault.m_Begin(Network); });
  Time.after(HealAt, [&] {
    forEachPath(Network, [](fakes::FakeNetwork::Path &Each) { Each = {}; });
    Network.thaw("0");
  });
  Time.runUntil(RunFor);
  if (Seen.empty())
    Seen = checkWindows(Of);
  return {Fault.m_Name, Step.m_Name, Seen.empty(), Seen};
}

std::vector<MatrixRow> limitsMatrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (const LimitFault &Fault : limitFaults())
    for (const Flood &Step : floods())
      Rows.push_back(runLimitRow(Fault, Step, Plant));
  return Rows;
}

// The fuzzer.

constexpr std::size_t FuzzEntries = 3;

enum class Act { Ask, Gossip, Deliver, DeliverNewest, Repeat, Lose, Count };

struct LimitStep {
  int m_Act = 0;
  std::size_t m_Entry = 0;
  std::size_t m_Peer = 0;
  std::int64_t m_Wait = 0;
};

void showValue(const LimitStep &Step, std::ostream &Out) {
  Out << "{act " << Step.m_Act << ", entry " << Step.m_Entry << ", peer "
      << Step.m_Peer << ", after " << Step.m_Wait << " ms}";
}

rc::Gen<LimitStep> anyLimitStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<LimitStep>(
          rc::gen::set(&LimitStep::m_Act,
                       rc::gen::inRange(0, static_cast<int>(Act::Count))),
          rc::gen::set(&LimitStep::m_Entry,
                       rc::gen::inRange<std::size_t>(0, FuzzEntries)),
          rc::gen::set(&LimitStep::m_Peer,
                       rc::gen::inRange<std::size_t>(0, FuzzEntries)),
          rc::gen::set(
              &LimitStep::m_Wait,
              rc::gen::element<std::int64_t>(0, 1, 20, 100, 300, 900, 1'500))));
}

struct InFlight {
  std::size_t m_From = 0;
  std::size_t m_To = 0;
  admission::LimitGossip m_Message;
};

void moveMessages(LimitEntries &Of, std::deque<InFlight> &Messages, Act What,
                  Millis Now) {
  if (Messages.empty())
    return;
  const InFlight First =
      What == Act::DeliverNewest ? Messages.back() : Messages.front();
  if (What != Act::Lose)
    Of[First.m_To].onGossip(Now, nodeName(First.m_From), First.m_Message);
  if (What == Act::Repeat)
    return;
  if (What == Act::DeliverNewest)
    Messages.pop_back();
  else
    Messages.pop_front();
}

std::string checkAllSpans(const LimitEntries &Of) {
  const std::vector<Millis> &Times = Of.admitted();
  for (std::size_t First = 0; First < Times.size(); ++First)
    for (std::size_t Last = First; Last < Times.size(); ++Last) {
      const Millis Span = Times[Last] - Times[First];
      if (static_cast<double>(Last - First + 1) > Of.allowed(Span))
        return "too much let through in " + std::to_string(Span.count()) +
               " ms";
    }
  return Of.hasUnnamedWait() ? "a refusal without a time to come back" : "";
}

std::string runLimitSchedule(const std::vector<LimitStep> &Schedule,
                             const std::string &Plant) {
  constexpr int AsksAtOnce = 40;
  LimitEntries Of(FuzzEntries, Plant);
  std::deque<InFlight> Messages;
  Millis Now(0);
  for (const LimitStep &Step : Schedule) {
    Now += Millis(Step.m_Wait);
    const Act What = static_cast<Act>(Step.m_Act);
    if (What == Act::Ask)
      for (int Number = 0; Number < AsksAtOnce; ++Number)
        Of.ask(Now, Step.m_Entry);
    else if (What == Act::Gossip && Step.m_Peer != Step.m_Entry)
      Messages.push_back(
          {Step.m_Entry, Step.m_Peer,
           Of[Step.m_Entry].makeGossip(Now, nodeName(Step.m_Peer))});
    else
      moveMessages(Of, Messages, What, Now);
    if (Of.shareSum(Now) > PerSecond * 1.000'001)
      return "the shares sum up to more than the limit";
  }
  std::string Seen = checkAllSpans(Of);
  if (!Seen.empty())
    return Seen;
  // After a long silence each entry is back at the fixed share.
  Now += base::seconds(5);
  for (std::size_t Index = 0; Index < FuzzEntries; ++Index)
    if (std::abs(Of[Index].share(Now, Key) - PerSecond / FuzzEntries) > 1e-6)
      return "an entry is not back at its fixed share";
  return "";
}

FuzzReport limitsFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                      const std::string &Plant) {
  constexpr int MaxSteps = 60;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<LimitStep>>(anyLimitStep());
    const std::string Seen = runLimitSchedule(Schedule, Plant);
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise limitsPromise() {
  return {"limits",
          {"limit-no-fallback", "limit-each-alone"},
          limitsMatrix,
          limitsFuzz};
}

} // namespace corneldeck::bench
