#include "Membership/Subset.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::membership {

namespace {

/// Adds to \p Chosen up to \p Count nodes of \p Ranked that are not in it and
/// satisfy \p Matches.
template <typename Predicate>
void addCandidates(const std::vector<Candidate> &Ranked, std::size_t Count,
                   std::vector<std::string> &Chosen, Predicate Matches) {
  for (const Candidate &Next : Ranked) {
    if (Count == 0)
      return;
    const bool AlreadyChosen =
        std::find(Chosen.begin(), Chosen.end(), Next.m_Node) != Chosen.end();
    if (AlreadyChosen || !Matches(Next))
      continue;
    Chosen.push_back(Next.m_Node);
    --Count;
  }
}

} // namespace

std::vector<std::string> chooseSubset(const std::string &Self,
                                      const std::string &Zone,
                                      const std::vector<Candidate> &Candidates,
                                      std::size_t Size) {
  std::vector<std::string> Names;
  Names.reserve(Candidates.size());
  for (const Candidate &Node : Candidates)
    Names.push_back(Node.m_Node);
  std::vector<Candidate> Ranked;
  for (const std::size_t Index : base::rankByRendezvous(Self, Names))
    Ranked.push_back(Candidates[Index]);
  const auto IsNear = [&](const Candidate &Node) {
    return Node.m_Zone == Zone;
  };
  std::vector<std::string> Chosen;
  addCandidates(Ranked, (Size + 1) / 2, Chosen, IsNear);
  addCandidates(Ranked, Size - std::min(Size, Chosen.size()), Chosen,
                [&](const Candidate &Node) { return !IsNear(Node); });
  addCandidates(Ranked, Size - std::min(Size, Chosen.size()), Chosen,
                [](const Candidate &) { return true; });
  std::sort(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace corneldeck::membership
