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

/// Whether this agent may claim a key that it does not know.
enum class HomeVerdict {
  Home,            ///< It is the home and always was: claim it.
  FenceRequired,   ///< It became the home: ask the former homes first.
  NotHome,         ///< Another agent is the home.
  CatalogueBehind, ///< The sender knows a newer catalogue.
  MayHaveRun,      ///< The key may have run before this agent's memory began.
  TooOld           ///< The key is older than keys are remembered.
};

/// A verdict with the former homes to ask.
struct HomeDecision {
  HomeVerdict m_Verdict = HomeVerdict::NotHome;
  std::vector<std::string> m_FormerHomes;
  /// Offset by which this agent is the home.
  std::uint64_t m_Offset = 0;
  /// Forgotten keys can be claimed after this.
  base::Millis m_RetryAfter{};
};

/// A key that a Start frame asks for.
struct HomeQuery {
  std::string m_Service;
  ClaimKey m_Key;
  /// Wall time of the caller's first use; zero if unknown.
  base::Millis m_Created{};
  /// Catalogue offset in the frame.
  std::uint64_t m_SenderCatalogueOffset = 0;
};

/// Knows which agent is the home of each key, now and in the near past.
///
/// The home is chosen over the servers listed in the catalogue entry, not over
/// live ones: two nodes with the same catalogue never disagree. The memory of
/// placements begins with the process.
class HomeResolver {
public:
  /// \param Server this agent's backend server name.
  /// \param Wall wall time of this process's start.
  HomeResolver(std::string Server, base::Millis Wall, ClaimSettings Settings);

  /// Takes over an accepted change of a catalogue entry.
  ///
  /// \param Offset log offset of the change; older ones are ignored.
  /// \param Servers the entry's backend servers; empty for a deleted entry.
  void onPlacement(base::Millis Now, const std::string &Service,
                   std::uint64_t Offset, std::vector<std::string> Servers);

  /// Takes note that the platform has removed a backend server's VM for good,
  /// so that it need not be asked.
  ///
  /// \param Wall wall time by which it was gone.
  void onServerRemoved(const std::string &Server, base::Millis Wall);

  /// Decides over a key that this agent does not know.
  [[nodiscard]] HomeDecision check(base::Millis Now, base::Millis Wall,
                                   const HomeQuery &Query) const;

  /// \returns the offset of the newest change known of \p Service; 0 if none.
  [[nodiscard]] std::uint64_t offset(const std::string &Service) const;

  /// \returns the wall time before which this agent knows no keys.
  [[nodiscard]] base::Millis recordsSince() const { return m_StartWallTime; }

  /// \returns whether a key with this creation time may have run before \p
  /// Since, the start of some process's memory.
  [[nodiscard]] bool mayPredate(base::Millis Wall, base::Millis Created,
                                base::Millis Since) const;

private:
  struct Placement {
    std::uint64_t m_Offset = 0;
    std::vector<std::string> m_Servers;
    /// Time at which the next one replaced it here; none for the newest.
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
