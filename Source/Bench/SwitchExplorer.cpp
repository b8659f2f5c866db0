#include "Bench/SwitchExplorer.h"

#include <algorithm>
#include <array>

namespace corneldeck::bench {

using rankgroup::RankIndex;

namespace {

constexpr int SettleRounds = 12;

constexpr std::array<const char *, 16> KindNames = {
    "deliver",   "statuses",    "order",        "stale-order",
    "load",      "step",        "attach",       "ask",
    "announce",  "propose",     "duplicate",    "drop",
    "fail-load", "crash-agent", "crash-engine", "crash-vm"};

} // namespace

std::string name(SwitchEventKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::string describe(const std::vector<SwitchEvent> &Path) {
  std::string Text;
  for (const SwitchEvent &Event : Path) {
    Text += Text.empty() ? "" : ", ";
    Text += name(Event.m_Kind) + ' ' + std::to_string(Event.m_Rank);
  }
  return Text;
}

std::string SwitchExplorer::explore(const SwitchModel &Start) {
  m_Visited.reserve(1U << 22U);
  m_Path.clear();
  m_Found.clear();
  visit(Start, m_Limits.m_Faults, m_Limits.m_EarlyTimers);
  return m_Found;
}

void SwitchExplorer::found(const std::string &Seen) {
  m_Found = Seen + " after: " + describe(m_Path);
}

void SwitchExplorer::follow(const SwitchModel &State, const SwitchEvent &Event,
                            int Faults, int Timers) {
  SwitchModel Next = State;
  m_Path.push_back(Event);
  Next.apply(Event);
  visit(Next, Faults, Timers);
  m_Path.pop_back();
}

void SwitchExplorer::checkSettles(const SwitchModel &State) {
  ++m_Settled;
  SwitchModel Copy = State;
  Copy.settle(SettleRounds);
  if (!Copy.oneMapPerStep())
    found(Copy.mixed() + " while settling");
  else if (!Copy.unsettled().empty())
    found("not settled: " + Copy.unsettled());
}

void SwitchExplorer::visit(const SwitchModel &State, int Faults, int Timers) {
  if (!m_Found.empty())
    return;
  if (!State.oneMapPerStep()) {
    found(State.mixed());
    return;
  }
  const std::uint64_t Budget = static_cast<std::uint64_t>(Faults) * 16 +
                               static_cast<std::uint64_t>(Timers);
  const std::uint64_t Key =
      State.fingerprint() ^ (Budget * 0x9e3779b97f4a7c15ULL);
  if (!m_Visited.insert(Key).second)
    return;
  if (m_Visited.size() > m_Limits.m_MaxStates) {
    m_Complete = false;
    return;
  }
  bool Rests = true;
  for (const SwitchEvent &Event : State.enabled()) {
    const bool Beyond = Event.m_Kind == SwitchEventKind::Step &&
                        State.nextStep(Event.m_Rank) > m_Limits.m_LastStep;
    if (Beyond)
      continue;
    Rests = false;
    follow(State, Event, Faults, Timers);
    if (!m_Found.empty())
      return;
  }
  const bool AfterFault =
      !m_Path.empty() && m_Path.back().m_Kind >= SwitchEventKind::Duplicate;
  if (Rests || AfterFault)
    checkSettles(State);
  for (RankIndex Rank = 0; Rank < State.ranks() && Timers > 0; ++Rank)
    if (State.attached(Rank) && State.open(Rank))
      follow(State, {SwitchEventKind::Ask, Rank, 0}, Faults, Timers - 1);
  if (Faults == 0)
    return;
  for (const SwitchEvent &Event : faults(State))
    follow(State, Event, Faults - 1, Timers);
}

std::vector<SwitchEvent>
SwitchExplorer::faults(const SwitchModel &State) const {
  std::vector<SwitchEvent> Events;
  for (const SwitchEventKind Kind : m_Limits.m_Kinds) {
    const bool OnMessage =
        Kind == SwitchEventKind::Duplicate || Kind == SwitchEventKind::Drop;
    if (OnMessage) {
      for (std::size_t Index = 0; Index < State.messages(); ++Index)
        Events.push_back({Kind, 0, Index});
      continue;
    }
    for (RankIndex Rank = 0; Rank < State.ranks(); ++Rank) {
      const bool Applies =
          Kind != SwitchEventKind::FailLoad || State.loads(Rank) > 0;
      if (Applies)
        Events.push_back({Kind, Rank, 0});
    }
  }
  return Events;
}

} // namespace corneldeck::bench
