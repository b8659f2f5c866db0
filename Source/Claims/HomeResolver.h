#ifndef CORNELDECK_CLAIMS_HOMERESOLVER_H
#define CORNELDECK_CLAIMS_HOMERESOLVER_H

#include "Base/Millis.h"
#include "Claims/ClaimKey.h"
#include "Claims/ClaimSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::claims {

/// Whether this agent may claim a key for which it has no claim.
enum class HomeVerdict {
  Home,            ///< It is and has always been the home; may claim the key.
  FenceRequired,   ///< It became the home; must fence the former homes first.
  NotHome,         ///< Another agent is the home.
  CatalogueBehind, ///< The sender knows a newer catalogue.
  MayHaveRun,      ///< May have run before this agent's records begin.
  TooOld           ///< The key is older than the retention window.
};

/// A verdict with the former homes to fence.
struct HomeDecision {
  HomeVerdict m_Verdict = HomeVerdict::NotHome;
  std::vector<std::string> m_FormerHomes;
  /// Offset of the catalogue change that the verdict is based on.
  std::uint64_t m_Offset = 0;
  /// Time after which a key with the verdict MayHaveRun can be claimed.
  base::Millis m_RetryAfter{};
};

/// A key in a Start frame, to be checked.
struct HomeQuery {
  std::string m_Service;
  ClaimKey m_Key;
  /// Wall time of the caller's first use of the key; zero if unknown.
  base::Millis m_Created{};
  /// Catalogue offset known to the sender, from the frame.
  std::uint64_t m_SenderCatalogueOffset = 0;
};

/// Determines the home of an idempotency key, which is the only agent that may
/// run it, and its former homes.
///
/// The home is chosen among the servers listed in the catalogue entry, whether
/// live or not, so nodes with the same catalogue always agree. Records of
/// earlier placements begin with the start of the process.
class HomeResolver {
public:
  /// \param Server this agent's backend server name.
  /// \param Wall wall time at the start of this process.
  HomeResolver(std::string Server, base::Millis Wall, ClaimSettings Settings);

  /// Applies an accepted change of a catalogue entry.
  ///
  /// \param Offset log offset of the change; older changes are ignored.
  /// \param Servers the entry's backend servers; empty for a deleted entry.
  void onPlacement(base::Millis Now, const std::string &Service,
                   std::uint64_t Offset, std::vector<std::string> Servers);

  /// Records that the platform has permanently removed a backend server's VM,
  /// so that it need not be fenced for keys created later.
  ///
  /// \param Wall wall time by which the VM no longer existed.
  void onServerRemoved(const std::string &Server, base::Millis Wall);

  /// Decides whether this agent may claim a key for which it has no claim.
  [[nodiscard]] HomeDecision check(base::Millis Now, base::Millis Wall,
                                   const HomeQuery &Query) const;

  /// \returns the offset of the newest known change of \p Service; 0 if none.
  [[nodiscard]] std::uint64_t offset(const std::string &Service) const;

  /// \returns the wall time at which the records of this agent begin.
  [[nodiscard]] base::Millis recordsSince() const { return m_StartWallTime; }

  /// \returns whether a key may have been used before a wall time.
  /// \param Wall current wall time.
  /// \param Created creation time of the key; zero if unknown.
  /// \param Since wall time at which the records of a process begin.
  [[nodiscard]] bool mayPredate(base::Millis Wall, base::Millis Created,
                                base::Millis Since) const;

private:
  struct Placement {
    std::uint64_t m_Offset = 0;
    std::vector<std::string> m_Servers;
    /// Time at which the next placement replaced it here; unset for the newest.
    std::optional<base::Millis> m_ReplacedAt;
  };

  void prune(base::Millis Now, std::deque<Placement> &History) const;
  std::vector<std::string> formerHomes(base::Millis Now, const ClaimKey &Key,
                                       const std::deque<Placement> &) const;
  bool wasRemovedBefore(base::Millis Wall, const std::string &Server,
                        base::Millis Created) const;

  const std::string m_Server;
  const base::Millis m_StartWallTime;
  const ClaimSettings m_Settings;
  std::map<std::string, std::deque<Placement>> m_Placements;
  std::map<std::string, base::Millis> m_RemovedServers;
};

} // namespace corneldeck::claims

#endif
