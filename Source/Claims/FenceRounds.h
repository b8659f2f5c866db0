#ifndef CORNELDECK_CLAIMS_FENCEROUNDS_H
#define CORNELDECK_CLAIMS_FENCEROUNDS_H

#include "Base/Millis.h"
#include "Claims/HomeResolver.h"
#include "Peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::claims {

/// What the former homes of a key said together.
enum class FenceOutcome {
  Clear,          ///< None knows the key, and none will run it: claim it.
  Finished,       ///< One ran it and gave its answer.
  OutcomeUnknown, ///< One ran it with an unknown outcome.
  Running,        ///< One is running it.
  Refused,        ///< One knows a newer catalogue.
  MayHaveRun,     ///< One lost its memory and may have run it.
  Unavailable,    ///< One did not answer.
};

/// A closed round.
struct FenceResult {
  std::uint64_t m_Run = 0;
  FenceOutcome m_Outcome = FenceOutcome::Unavailable;
  wire::ClaimFenceReply m_Reply;
};

/// Asks the former homes of keys, one round a key.
class FenceRounds {
public:
  /// \param FirstNumber differs between incarnations, so that an answer to an
  /// earlier one is not taken for an answer to this one.
  FenceRounds(const HomeResolver &Resolver, ClaimSettings Settings,
              std::uint64_t FirstNumber);

  /// Opens a round.
  ///
  /// \param Run names the round in its result.
  /// \param Fence the question; its number is set here.
  /// \returns the message for each of \p Servers.
  wire::ClaimFence start(base::Millis Now, std::uint64_t Run,
                         base::Millis Created, wire::ClaimFence Fence,
                         const std::vector<std::string> &Servers);

  /// Takes an answer.
  /// \returns the result if the round is closed by it.
  std::optional<FenceResult> onReply(base::Millis Wall,
                                     const std::string &Server,
                                     const wire::ClaimFenceReply &Reply);

  /// \returns the rounds whose time is over.
  std::vector<FenceResult> expire(base::Millis Now);

  /// Drops a round.
  void cancel(std::uint64_t Run);

  /// \returns when expire() has something to do.
  [[nodiscard]] std::optional<base::Millis> nextTimer() const;

private:
  struct Round {
    std::uint64_t m_Run = 0;
    base::Millis m_Created;
    base::Millis m_Deadline;
    std::set<std::string> m_AwaitedServers;
    bool m_MayHaveRun = false;
  };

  const HomeResolver &m_Resolver;
  const ClaimSettings m_Settings;
  std::uint64_t m_LastNumber;
  std::map<std::uint64_t, Round> m_Rounds;
};

} // namespace corneldeck::claims

#endif
