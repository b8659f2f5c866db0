#include "Bench/ServerFaults.h"

#include <memory>

namespace corneldeck::bench {

using base::Millis;

namespace {

void doNothing(ServerLimitModel &) {}

void healPaths(ServerLimitModel &Model) {
  Model.changePaths([](fakes::FakeNetwork::Path &Each) { Each = {}; });
}

/// Returns an entry that does not grant the tokens of the server 0.
std::size_t otherEntry(const ServerLimitModel &Model) {
  return Model.granter(0) == 0 ? 1 : 0;
}

ServerFault
pathFault(const std::string &Name,
          const std::function<void(fakes::FakeNetwork::Path &)> &Change) {
  return {Name,
          [Change](ServerLimitModel &Model) { Model.changePaths(Change); },
          healPaths};
}

} // namespace

std::vector<ServerFault> serverFaults(double HighestLimit) {
  using Path = fakes::FakeNetwork::Path;
  const auto Frozen = std::make_shared<std::size_t>(0);
  ServerFault AllCutOff =
      pathFault("all-cut-off", [](Path &Each) { Each.m_Cut = true; });
  // Each entry learns a lower limit from its next response, after the interval
  // of its part of the former limit and of its requests for a token.
  AllCutOff.m_LoweringTime = Millis(static_cast<std::int64_t>(
                                 ServerFaultEntries * 1000 / HighestLimit)) +
                             direct::RateTokenSettings().m_MaxRequestInterval;
  return {
      {"none", doNothing, doNothing},
      {"entry-cut-off",
       [](ServerLimitModel &Model) { Model.cutEntry(otherEntry(Model), true); },
       healPaths},
      {"granter-cut-off",
       [](ServerLimitModel &Model) { Model.cutEntry(Model.granter(0), true); },
       healPaths},
      {"granter-cut-off-from-half",
       [](ServerLimitModel &Model) {
         const std::size_t Granter = Model.granter(0);
         for (std::size_t Entry = 0; Entry < ServerFaultEntries; Entry += 2)
           if (Entry != Granter)
             Model.cutPath(Granter, Entry, true);
       },
       healPaths},
      AllCutOff,
      pathFault("messages-lost", [](Path &Each) { Each.m_LossRatio = 0.3; }),
      pathFault("messages-late",
                [](Path &Each) { Each.m_Jitter = Millis(400); }),
      pathFault("messages-twice",
                [](Path &Each) {
                  Each.m_DuplicateRatio = 0.5;
                  Each.m_Jitter = Millis(50);
                }),
      {"granter-frozen",
       [Frozen](ServerLimitModel &Model) {
         *Frozen = Model.granter(0);
         Model.freezeEntry(*Frozen);
       },
       [Frozen](ServerLimitModel &Model) { Model.thawEntry(*Frozen); }},
      {"granter-restarted",
       [](ServerLimitModel &Model) { Model.restartEntry(Model.granter(0)); },
       doNothing},
      {"entries-restarted-in-turn",
       [](ServerLimitModel &Model) {
         for (std::size_t Entry = 0; Entry < ServerFaultEntries; ++Entry) {
           Model.restartEntry(Entry);
           Model.runFor(Millis(1000));
         }
       },
       doNothing},
      {"entries-added",
       [](ServerLimitModel &Model) {
         for (std::size_t Count = 0; Count < ServerFaultEntries; ++Count)
           Model.addEntry();
       },
       doNothing},
  };
}

} // namespace corneldeck::bench
