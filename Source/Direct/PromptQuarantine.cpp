#include "Direct/PromptQuarantine.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace corneldeck::direct {

namespace {

/// Maximum number of ids of servers in a statement.
constexpr std::size_t MaxServers = 4;
/// Shortest retry-after time of a refused request.
constexpr base::Millis MinRetryAfter{1000};

/// A bijective mix of the bits of a part.
std::uint64_t mixed(std::uint64_t Part) {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
  constexpr unsigned Shift = 32;
  Part *= Multiplier;
  return Part ^ Part >> Shift;
}

/// Two parts of one service never share a key.
std::uint64_t servedKey(const std::string &Service, std::uint64_t Part) {
  return mixed(Part) + std::hash<std::string>()(Service);
}

} // namespace

std::string_view name(PromptQuarantine::Change::Type Type) {
  using Change = PromptQuarantine::Change::Type;
  switch (Type) {
  case Change::Quarantined:
    return "quarantined";
  case Change::Confirmed:
    return "confirmed";
  case Change::Trial:
    return "trial";
  case Change::Released:
    return "released";
  }
  return "unknown";
}

PromptQuarantine::Decision PromptQuarantine::check(const std::string &Service,
                                                   const PromptParts &Parts,
                                                   base::Millis Now,
                                                   bool MayTry) {
  std::vector<State *> Found;
  for (const std::uint64_t Part : Parts)
    if (State *Known = findActive(Service, Part);
        Known && std::find(Found.begin(), Found.end(), Known) == Found.end())
      Found.push_back(Known);
  if (Found.empty())
    return {};
  const auto Last = *std::max_element(
      Found.begin(), Found.end(), [](const State *A, const State *B) {
        return A->m_NextTrialAt < B->m_NextTrialAt;
      });
  const Decision Refusal{Verdict::Refused, Last->m_Statement.m_Part,
                         std::max(MinRetryAfter, Last->m_NextTrialAt - Now)};
  // A trial with several quarantined parts would not show which one it is.
  if (!MayTry || Found.size() > 1 || Now < Last->m_NextTrialAt)
    return Refusal;
  ++Last->m_Statement.m_Trials;
  Last->m_Statement.m_TrialEntry = m_Entry;
  Last->m_Since = Now;
  Last->m_ChangedAt = Now;
  Last->m_NextTrialAt = Now + trialDelay(Last->m_Statement);
  report(Change::Type::Trial, *Last, {}, Now);
  announce();
  return {Verdict::Trial, Last->m_Statement.m_Part, {}};
}

bool PromptQuarantine::confirmTrial(const std::string &Service,
                                    std::uint64_t Part) const {
  const State *Known = findActive(Service, Part);
  return !Known || Known->m_Statement.m_TrialEntry == m_Entry;
}

std::optional<std::uint64_t>
PromptQuarantine::findQuarantined(const std::string &Service,
                                  const PromptParts &Parts) const {
  for (const std::uint64_t Part : Parts)
    if (findActive(Service, Part))
      return Part;
  return std::nullopt;
}

bool PromptQuarantine::isSuspect(const std::string &Service,
                                 const PromptParts &Parts,
                                 base::Millis Now) const {
  return std::any_of(Parts.begin(), Parts.end(), [&](std::uint64_t Part) {
    return !lastServed(Service, Part, Now);
  });
}

void PromptQuarantine::recordServed(const std::string &Service,
                                    const PromptParts &Parts, base::Millis Now,
                                    std::optional<base::Millis> ServedAt) {
  bool IsReleased = false;
  std::size_t Added = 0;
  for (const std::uint64_t Part : Parts) {
    // One request must not replace all that is known.
    if (lastServed(Service, Part, Now) ||
        Added < m_Settings.m_MaxNewServedParts) {
      Added += lastServed(Service, Part, Now) ? 0 : 1;
      markServed(Service, Part, ServedAt.value_or(Now));
    }
    State *Known = findActive(Service, Part);
    if (Known && (!ServedAt || contradicts(statementOf(*Known, Now), Now))) {
      release(*Known, Now, {});
      IsReleased = true;
    }
  }
  if (!IsReleased)
    return;
  evaluate(Service, Now);
  announce();
}

void PromptQuarantine::recordUnconfirmed(const std::string &Service,
                                         const PromptParts &Parts,
                                         base::Millis At) {
  if (m_Unconfirmed.size() >= m_Settings.m_MaxUnconfirmedParts)
    std::erase_if(m_Unconfirmed, [&](const auto &Each) {
      return At - Each.second >= m_Settings.m_UnconfirmedTime;
    });
  for (const std::uint64_t Part : Parts) {
    const std::uint64_t Key = servedKey(Service, Part);
    if (m_Unconfirmed.size() >= m_Settings.m_MaxUnconfirmedParts &&
        !m_Unconfirmed.contains(Key))
      continue;
    base::Millis &Last = m_Unconfirmed[Key];
    Last = std::max(Last, At);
  }
}

void PromptQuarantine::dropUnconfirmed(const std::string &Service,
                                       const PromptParts &Parts,
                                       base::Millis At) {
  for (const std::uint64_t Part : Parts)
    if (const auto Found = m_Unconfirmed.find(servedKey(Service, Part));
        Found != m_Unconfirmed.end() && Found->second <= At)
      m_Unconfirmed.erase(Found);
}

void PromptQuarantine::recordEnd(const ServerStart &Start,
                                 const std::string &Service,
                                 const PromptParts &Parts, base::Millis Now) {
  expire(Now);
  End &Added = findOrAddEnd(Start, Service, m_Entry, Now);
  addParts(Added, Parts, Now);
  Added.m_OwnParts.insert(Added.m_OwnParts.begin(), Parts.begin(), Parts.end());
  Added.m_OwnParts = mostSuspicious(Service, Added.m_OwnParts,
                                    m_Settings.m_MaxPartsPerEnd, Now);
  limitEvidence(Now);
  evaluate(Service, Now);
  announce();
}

void PromptQuarantine::serviceReplaced(const std::string &Service,
                                       base::Millis Now) {
  for (auto &[Key, Known] : m_Parts)
    if (Key.m_Service == Service)
      Known.m_NextTrialAt = std::min(Known.m_NextTrialAt, Now);
}

void PromptQuarantine::applyEnd(const ServerEndStatement &Statement,
                                base::Millis Now) {
  if (Statement.m_Age >= m_Settings.m_Memory)
    return;
  expire(Now);
  End &Added = findOrAddEnd(Statement.m_Start, Statement.m_Service,
                            Statement.m_Reporter, Now - Statement.m_Age);
  const bool IsRelated = addParts(Added, Statement.m_Parts, Now);
  limitEvidence(Now);
  if (IsRelated)
    evaluate(Statement.m_Service, Now);
}

void PromptQuarantine::applyPart(const PartStatement &Statement,
                                 const std::string &From, base::Millis Now) {
  expire(Now);
  const auto Found =
      m_Parts.find(PartKeyOrder::View(Statement.m_Service, Statement.m_Part));
  if (Found == m_Parts.end() ||
      Statement.m_Number > Found->second.m_Statement.m_Number) {
    adopt(Statement, From, Now);
    return;
  }
  State &Known = Found->second;
  PartStatement &Own = Known.m_Statement;
  if (Statement.m_Number < Own.m_Number || Own.m_IsReleased)
    return;
  if (Statement.m_IsReleased) {
    release(Known, Now, From);
    evaluate(Statement.m_Service, Now);
    return;
  }
  Own.m_Ends = std::max(Own.m_Ends, Statement.m_Ends);
  Own.m_EndTimes = std::max(Own.m_EndTimes, Statement.m_EndTimes);
  Own.m_HasTrialFailed |= Statement.m_HasTrialFailed;
  if (Statement.m_Trials > Own.m_Trials) {
    Own.m_Trials = Statement.m_Trials;
    Own.m_TrialEntry = Statement.m_TrialEntry;
    Known.m_Since = Now - Statement.m_Age;
    Known.m_ChangedAt = Now;
    Known.m_NextTrialAt = Known.m_Since + trialDelay(Own);
    report(Change::Type::Trial, Known, From, Now);
  } else if (Statement.m_Trials == Own.m_Trials && Own.m_Trials > 0 &&
             Statement.m_TrialEntry < Own.m_TrialEntry) {
    Own.m_TrialEntry = Statement.m_TrialEntry;
  }
  if (Statement.m_IsConfirmed && !Own.m_IsConfirmed)
    confirm(Known, Now, From);
  if (!Own.m_WasServed &&
      (Statement.m_WasServed || lastServed(Own.m_Service, Own.m_Part, Now))) {
    doubt(Known);
    announce();
  }
}

void PromptQuarantine::adopt(const PartStatement &Statement,
                             const std::string &From, base::Millis Now) {
  const PartKey Key{Statement.m_Service, Statement.m_Part};
  const auto Found = m_Parts.find(Key);
  if (Found == m_Parts.end() && m_Parts.size() >= m_Settings.m_MaxParts)
    return;
  const bool WasActive =
      Found != m_Parts.end() && !Found->second.m_Statement.m_IsReleased;
  State &Known = m_Parts[Key];
  Known.m_Statement = Statement;
  Known.m_Since = Now - Statement.m_Age;
  Known.m_FirstEndAt = Now - Statement.m_FirstEndAge;
  Known.m_ChangedAt = Now;
  Known.m_NextTrialAt = Known.m_Since + trialDelay(Statement);
  updateFilter();
  if (Statement.m_IsReleased) {
    markServed(Key.m_Service, Key.m_Part, Known.m_Since);
    if (WasActive)
      report(Change::Type::Released, Known, From, Now);
    evaluate(Key.m_Service, Now);
    return;
  }
  if (contradicts(Statement, Now)) {
    release(Known, Now, {});
    announce();
    return;
  }
  if (lastServed(Key.m_Service, Key.m_Part, Now) && !Statement.m_WasServed) {
    doubt(Known);
    announce();
  }
  if (!WasActive)
    report(Change::Type::Quarantined, Known, From, Now);
}

bool PromptQuarantine::contradicts(const PartStatement &Statement,
                                   base::Millis Now) const {
  const auto Served = lastServed(Statement.m_Service, Statement.m_Part, Now);
  if (!Served)
    return false;
  const bool IsLater =
      *Served > Now - Statement.m_FirstEndAge + m_Settings.m_SimultaneousEnds;
  return IsLater || (Statement.m_Trials == 0 &&
                     Statement.m_EndTimes < m_Settings.m_MinEndsOfServed);
}

std::vector<ServerEndStatement>
PromptQuarantine::endStatements(base::Millis Now) {
  expire(Now);
  std::vector<ServerEndStatement> Statements;
  std::size_t NewParts = 0;
  for (auto Each = m_Ends.rbegin(); Each != m_Ends.rend(); ++Each) {
    if (Each->m_OwnParts.empty() ||
        Statements.size() >= m_Settings.m_MaxEndStatements)
      continue;
    const base::Millis Age = Now - Each->m_At;
    ServerEndStatement Statement{
        Each->m_Start, Each->m_Service, m_Entry, Age, {}};
    const std::size_t Kept = Age < m_Settings.m_LongStatements
                                 ? m_Settings.m_MaxNewPartsPerStatement
                                 : m_Settings.m_MinPartsPerEnd;
    const PromptParts Parts =
        mostSuspicious(Each->m_Service, Each->m_OwnParts, Kept, Now);
    if (Age >= m_Settings.m_NewStatements)
      Each->m_OwnParts = Parts;
    // Later, only parts are repeated that may still turn out to be the cause.
    for (const std::uint64_t Part : Parts) {
      const bool IsServed = lastServed(Each->m_Service, Part, Now).has_value();
      const bool IsLong =
          Statement.m_Parts.size() >= m_Settings.m_MaxPartsPerStatement;
      if (IsLong && (IsServed || Age >= m_Settings.m_LongStatements ||
                     ++NewParts > m_Settings.m_MaxNewPartsPerMessage))
        break;
      if (Age < m_Settings.m_NewStatements || !IsServed)
        Statement.m_Parts.push_back(Part);
    }
    if (!Statement.m_Parts.empty())
      Statements.push_back(std::move(Statement));
  }
  return Statements;
}

std::vector<PartStatement> PromptQuarantine::partStatements(base::Millis Now) {
  const bool IsDue = Now - m_LastStatements >= m_Settings.m_StatementInterval;
  if (IsDue)
    m_LastStatements = Now;
  std::vector<PartStatement> Statements;
  for (const auto &[Key, Known] : m_Parts)
    if (IsDue || Now - Known.m_ChangedAt < m_Settings.m_NewStatements)
      Statements.push_back(statementOf(Known, Now));
  return Statements;
}

std::vector<std::pair<PartStatement, base::Millis>>
PromptQuarantine::quarantined(base::Millis Now) const {
  std::vector<std::pair<PartStatement, base::Millis>> Parts;
  for (const auto &[Key, Known] : m_Parts)
    if (!Known.m_Statement.m_IsReleased)
      Parts.emplace_back(statementOf(Known, Now),
                         std::max(Known.m_NextTrialAt - Now, base::Millis(0)));
  return Parts;
}

std::size_t PromptQuarantine::quarantinedCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Parts.begin(), m_Parts.end(), [](const auto &Each) {
        return !Each.second.m_Statement.m_IsReleased;
      }));
}

std::optional<base::Millis>
PromptQuarantine::lastServed(const std::string &Service, std::uint64_t Part,
                             base::Millis Now) const {
  const std::uint64_t Key = servedKey(Service, Part);
  for (const auto *Half : {&m_Served, &m_EarlierServed})
    if (const auto Found = Half->find(Key); Found != Half->end())
      return Now - Found->second < m_Settings.m_Memory
                 ? std::optional(Found->second)
                 : std::nullopt;
  return std::nullopt;
}

void PromptQuarantine::markServed(const std::string &Service,
                                  std::uint64_t Part, base::Millis At) {
  if (m_Served.size() >= m_Settings.m_MaxServedParts / 2) {
    m_EarlierServed = std::move(m_Served);
    m_Served.clear();
  }
  base::Millis &Last = m_Served[servedKey(Service, Part)];
  Last = std::max(Last, At);
}

PromptQuarantine::End &
PromptQuarantine::findOrAddEnd(const ServerStart &Start,
                               const std::string &Service,
                               const std::string &Reporter, base::Millis At) {
  const auto Found =
      std::find_if(m_Ends.begin(), m_Ends.end(),
                   [&](const End &Each) { return Each.m_Start == Start; });
  if (Found != m_Ends.end())
    return *Found;
  if (m_Ends.size() >= m_Settings.m_MaxEnds) {
    m_Ends.erase(m_Ends.begin());
    countParts();
  }
  const auto Later =
      std::find_if(m_Ends.begin(), m_Ends.end(),
                   [At](const End &Each) { return Each.m_At > At; });
  return *m_Ends.insert(Later, {Start, Service, Reporter, At, {}, {}});
}

bool PromptQuarantine::addParts(End &Target, const PromptParts &Added,
                                base::Millis Now) {
  PromptParts New(Added);
  std::sort(New.begin(), New.end());
  New.erase(std::unique(New.begin(), New.end()), New.end());
  PromptParts &Known = Target.m_Parts;
  std::erase_if(New, [&Known](std::uint64_t Part) {
    return std::binary_search(Known.begin(), Known.end(), Part);
  });
  if (New.empty())
    return false;
  const auto Middle = static_cast<std::ptrdiff_t>(Known.size());
  Known.insert(Known.end(), New.begin(), New.end());
  std::inplace_merge(Known.begin(), Known.begin() + Middle, Known.end());
  if (Known.size() > m_Settings.m_MaxPartsPerEnd) {
    Known = mostSuspicious(Target.m_Service, Known, m_Settings.m_MaxPartsPerEnd,
                           Now);
    std::sort(Known.begin(), Known.end());
    countParts();
    return true;
  }
  bool IsRelated = false;
  for (const std::uint64_t Part : New)
    if (++m_EndCounts[Part] > 1) {
      m_RepeatedParts.insert(Part);
      IsRelated = true;
    }
  return IsRelated;
}

void PromptQuarantine::countParts() {
  m_EndCounts.clear();
  m_RepeatedParts.clear();
  for (const End &Each : m_Ends)
    for (const std::uint64_t Part : Each.m_Parts)
      if (++m_EndCounts[Part] > 1)
        m_RepeatedParts.insert(Part);
}

PromptParts PromptQuarantine::mostSuspicious(const std::string &Service,
                                             const PromptParts &Parts,
                                             std::size_t MaxCount,
                                             base::Millis Now) const {
  struct Rated {
    /// Nothing sorts before every time.
    std::optional<base::Millis> m_Served;
    std::uint64_t m_Part = 0;
  };
  std::vector<Rated> All;
  All.reserve(Parts.size());
  std::unordered_set<std::uint64_t> Seen;
  for (auto Each = Parts.rbegin(); Each != Parts.rend(); ++Each)
    if (Seen.insert(mixed(*Each)).second)
      All.push_back({lastServed(Service, *Each, Now), *Each});
  std::stable_sort(All.begin(), All.end(), [](const Rated &A, const Rated &B) {
    return A.m_Served < B.m_Served;
  });
  PromptParts Kept;
  for (const Rated &Each : All)
    if (Kept.size() < MaxCount)
      Kept.push_back(Each.m_Part);
  return Kept;
}

void PromptQuarantine::limitEvidence(base::Millis Now) {
  std::size_t Sum = 0;
  for (const End &Each : m_Ends)
    Sum += Each.m_Parts.size() + Each.m_OwnParts.size();
  if (Sum <= m_Settings.m_MaxPartsOfEnds)
    return;
  for (End &Each : m_Ends) {
    if (Sum <= m_Settings.m_MaxPartsOfEnds)
      break;
    for (PromptParts *Parts : {&Each.m_Parts, &Each.m_OwnParts}) {
      Sum -= Parts->size();
      *Parts = mostSuspicious(Each.m_Service, *Parts,
                              m_Settings.m_MinPartsPerEnd, Now);
      Parts->shrink_to_fit();
      Sum += Parts->size();
    }
    std::sort(Each.m_Parts.begin(), Each.m_Parts.end());
  }
  countParts();
}

void PromptQuarantine::expire(base::Millis Now) {
  if (std::erase_if(m_Ends, [&](const End &Each) {
        return Now - Each.m_At >= m_Settings.m_Memory;
      }) > 0)
    countParts();
  std::erase_if(m_Parts, [&](const auto &Each) {
    return Each.second.m_Statement.m_IsReleased &&
           Now - Each.second.m_Since >= m_Settings.m_Memory;
  });
}

PromptQuarantine::EvidenceByPart
PromptQuarantine::collectEvidence(const std::string &Service,
                                  base::Millis Now) const {
  EvidenceByPart Found;
  // A part of one end alone is never enough.
  for (const std::uint64_t Part : m_RepeatedParts) {
    auto Served = lastServed(Service, Part, Now);
    // While it is unknown whether a request was served, it counts as served.
    if (const auto Probably = m_Unconfirmed.find(servedKey(Service, Part));
        Probably != m_Unconfirmed.end() &&
        Now - Probably->second < m_Settings.m_UnconfirmedTime)
      Served = std::max(Served, std::optional(Probably->second));
    Evidence OfPart;
    for (const End &Each : m_Ends) {
      if (Each.m_Service != Service || (Served && *Served >= Each.m_At) ||
          !std::binary_search(Each.m_Parts.begin(), Each.m_Parts.end(), Part))
        continue;
      if (OfPart.m_Ends.empty() || Each.m_At - OfPart.m_Ends.back()->m_At >=
                                       m_Settings.m_SimultaneousEnds)
        ++OfPart.m_Times;
      OfPart.m_Ends.push_back(&Each);
    }
    if (!OfPart.m_Ends.empty())
      Found.emplace(Part, std::move(OfPart));
  }
  return Found;
}

bool PromptQuarantine::isEnough(const std::string &Service, std::uint64_t Part,
                                const Evidence &Found, base::Millis Now) const {
  const auto Probably = m_Unconfirmed.find(servedKey(Service, Part));
  const bool IsProbablyServed =
      Probably != m_Unconfirmed.end() &&
      Now - Probably->second < m_Settings.m_UnconfirmedTime;
  return IsProbablyServed || lastServed(Service, Part, Now)
             ? Found.m_Times >= m_Settings.m_MinEndsOfServed
             : Found.m_Ends.size() >= m_Settings.m_MinEnds;
}

void PromptQuarantine::evaluate(const std::string &Service, base::Millis Now) {
  EvidenceByPart Candidates = collectEvidence(Service, Now);
  std::erase_if(Candidates, [&](const auto &Each) {
    return !isEnough(Service, Each.first, Each.second, Now);
  });
  // Many parts of the same requests have the same ends.
  std::map<std::vector<const End *>, std::size_t> PartsByEnds;
  for (const auto &[Part, Found] : Candidates)
    ++PartsByEnds[Found.m_Ends];
  std::map<std::vector<const End *>, std::size_t> Begun;
  std::size_t BegunSum = 0;
  for (const auto &[Part, Found] : Candidates) {
    const bool IsAmbiguous = PartsByEnds[Found.m_Ends] > 1;
    // The ends are in the order of their times, so the lists can be compared.
    const bool IsExplained =
        std::any_of(PartsByEnds.begin(), PartsByEnds.end(),
                    [&Ends = Found.m_Ends](const auto &Each) {
                      return Each.first.size() > Ends.size() &&
                             std::includes(Each.first.begin(), Each.first.end(),
                                           Ends.begin(), Ends.end());
                    });
    State *Known = findActive(Service, Part);
    // While a group forms again and again, hardly anything is served: a part
    // that was served before needs a trial.
    const bool IsTried =
        Known && (Known->m_Statement.m_HasTrialFailed ||
                  (Known->m_Statement.m_Trials > 0 &&
                   Found.m_Ends.size() > Known->m_Statement.m_Ends));
    const bool IsConfirmed =
        !IsAmbiguous && (IsTried || !lastServed(Service, Part, Now)) &&
        (Found.m_Times > 1 || Found.m_Ends.size() > m_Settings.m_MinEnds);
    if (!Known) {
      if (IsExplained || BegunSum == m_Settings.m_MaxParts ||
          Begun[Found.m_Ends] == m_Settings.m_MaxAmbiguousParts)
        continue;
      ++BegunSum;
      ++Begun[Found.m_Ends];
      beginQuarantine({Service, Part}, Found, IsConfirmed, Now);
      continue;
    }
    PartStatement &Statement = Known->m_Statement;
    if (IsExplained && !Statement.m_IsConfirmed) {
      release(*Known, Now, {});
      continue;
    }
    Statement.m_HasTrialFailed = IsTried;
    if (Found.m_Ends.size() > Statement.m_Ends) {
      Statement.m_Ends = static_cast<std::uint32_t>(Found.m_Ends.size());
      Statement.m_EndTimes = static_cast<std::uint32_t>(Found.m_Times);
      Known->m_ChangedAt = Now;
      Known->m_NextTrialAt =
          std::max(Known->m_NextTrialAt, Now + trialDelay(Statement));
    }
    if (IsConfirmed && !Statement.m_IsConfirmed)
      confirm(*Known, Now, {});
  }
}

void PromptQuarantine::beginQuarantine(const PartKey &Key,
                                       const Evidence &Found, bool IsConfirmed,
                                       base::Millis Now) {
  if (!m_Parts.contains(Key) && m_Parts.size() >= m_Settings.m_MaxParts) {
    const auto Oldest = std::min_element(
        m_Parts.begin(), m_Parts.end(), [](const auto &A, const auto &B) {
          const auto Rank = [](const State &Known) {
            return std::tuple(!Known.m_Statement.m_IsReleased,
                              Known.m_Statement.m_IsConfirmed, Known.m_Since);
          };
          return Rank(A.second) < Rank(B.second);
        });
    m_Parts.erase(Oldest);
  }
  State &Known = m_Parts[Key];
  PartStatement &Statement = Known.m_Statement;
  const std::uint32_t Number = Statement.m_Number + 1;
  Statement = {};
  Statement.m_Service = Key.m_Service;
  Statement.m_Part = Key.m_Part;
  Statement.m_Number = Number;
  Statement.m_IsConfirmed = IsConfirmed;
  Statement.m_WasServed =
      lastServed(Key.m_Service, Key.m_Part, Now).has_value();
  Statement.m_Ends = static_cast<std::uint32_t>(Found.m_Ends.size());
  Statement.m_EndTimes = static_cast<std::uint32_t>(Found.m_Times);
  Statement.m_Reporter = m_Entry;
  for (const End *Each : Found.m_Ends)
    if (Statement.m_Servers.size() < MaxServers)
      Statement.m_Servers.push_back(Each->m_Start.m_Server);
  Known.m_Since = Now;
  Known.m_ChangedAt = Now;
  Known.m_FirstEndAt = Found.m_Ends.front()->m_At;
  Known.m_NextTrialAt = Now + trialDelay(Statement);
  updateFilter();
  report(Change::Type::Quarantined, Known, {}, Now);
}

void PromptQuarantine::confirm(State &Known, base::Millis Now,
                               const std::string &From) {
  Known.m_Statement.m_IsConfirmed = true;
  Known.m_ChangedAt = Now;
  Known.m_NextTrialAt =
      std::max(Known.m_NextTrialAt, Now + trialDelay(Known.m_Statement));
  report(Change::Type::Confirmed, Known, From, Now);
}

void PromptQuarantine::doubt(State &Known) {
  Known.m_Statement.m_WasServed = true;
  if (Known.m_Statement.m_Trials == 0)
    Known.m_NextTrialAt = Known.m_Since + trialDelay(Known.m_Statement);
}

void PromptQuarantine::release(State &Known, base::Millis Now,
                               const std::string &From) {
  PartStatement &Statement = Known.m_Statement;
  Statement.m_IsReleased = true;
  Known.m_Since = Now;
  Known.m_ChangedAt = Now;
  updateFilter();
  markServed(Statement.m_Service, Statement.m_Part, Now);
  report(Change::Type::Released, Known, From, Now);
}

std::size_t PromptQuarantine::filterIndex(std::uint64_t Part) {
  return mixed(Part) % FilterBits;
}

void PromptQuarantine::updateFilter() {
  m_Filter.reset();
  for (const auto &[Key, Known] : m_Parts)
    if (!Known.m_Statement.m_IsReleased)
      m_Filter.set(filterIndex(Key.m_Part));
}

PromptQuarantine::State *
PromptQuarantine::findActive(const std::string &Service, std::uint64_t Part) {
  if (!m_Filter[filterIndex(Part)])
    return nullptr;
  const auto Found = m_Parts.find(PartKeyOrder::View(Service, Part));
  return Found == m_Parts.end() || Found->second.m_Statement.m_IsReleased
             ? nullptr
             : &Found->second;
}

const PromptQuarantine::State *
PromptQuarantine::findActive(const std::string &Service,
                             std::uint64_t Part) const {
  return const_cast<PromptQuarantine *>(this)->findActive(Service, Part);
}

base::Millis
PromptQuarantine::trialDelay(const PartStatement &Statement) const {
  const bool IsCertain = Statement.m_IsConfirmed &&
                         (!Statement.m_WasServed || Statement.m_HasTrialFailed);
  const base::Millis Max =
      IsCertain ? m_Settings.m_MaxTrialDelay : m_Settings.m_TrialDelay;
  base::Millis Delay =
      IsCertain ? m_Settings.m_TrialDelay : m_Settings.m_UnconfirmedTrialDelay;
  for (std::uint32_t Trial = 0; Trial < Statement.m_Trials && Delay < Max;
       ++Trial)
    Delay = Delay * (IsCertain ? m_Settings.m_TrialFactor
                               : m_Settings.m_UnconfirmedTrialFactor);
  return std::min(Delay, Max);
}

PartStatement PromptQuarantine::statementOf(const State &Known,
                                            base::Millis Now) const {
  PartStatement Statement = Known.m_Statement;
  Statement.m_Age = Now - Known.m_Since;
  Statement.m_FirstEndAge = Now - Known.m_FirstEndAt;
  return Statement;
}

void PromptQuarantine::report(Change::Type Type, const State &Known,
                              const std::string &From, base::Millis Now) const {
  if (m_OnChange)
    m_OnChange({Type, statementOf(Known, Now), From,
                std::max(Known.m_NextTrialAt - Now, base::Millis(0))});
}

void PromptQuarantine::announce() const {
  if (m_OnNews)
    m_OnNews();
}

} // namespace corneldeck::direct
