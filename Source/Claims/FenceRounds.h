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

/// Combined result of the replies from the former homes of a key.
enum class FenceOutcome {
  Clear,          ///< None has run the key or will run it; may claim it.
  Finished,       ///< One has run it and sent the answer.
  OutcomeUnknown, ///< One ran it with an unknown outcome.
  Running,        ///< One is running it.
  Refused,        ///< One knows a newer catalogue.
  MayHaveRun,     ///< One may have run it before its records begin.
  Unavailable,    ///< One did not reply in time.
};

/// Result of a finished round.
struct FenceResult {
  std::uint64_t m_Run = 0;
  FenceOutcome m_Outcome = FenceOutcome::Unavailable;
  wire::ClaimFenceReply m_Reply;
};

/// Fences the former homes of keys: sends each a ClaimFence and combines their
/// replies, in one round per key.
class FenceRounds {
public:
  /// \param FirstNumber number before the first fence request. Must differ
  /// between incarnations, so that a late reply to an earlier one is not
  /// accepted.
  FenceRounds(const HomeResolver &Resolver, ClaimSettings Settings,
              std::uint64_t FirstNumber);

  /// Starts a round.
  ///
  /// \param Run identifies the round in its result.
  /// \param Created creation wall time of the key; zero if unknown.
  /// \param Fence the fence request; its number is set by this function.
  /// \returns the message to send to each of \p Servers.
  wire::ClaimFence start(base::Millis Now, std::uint64_t Run,
                         base::Millis Created, wire::ClaimFence Fence,
                         const std::vector<std::string> &Servers);

  /// Handles a reply.
  /// \returns the result if the reply finishes its round.
  std::optional<FenceResult> onReply(base::Millis Wall,
                                     const std::string &Server,
                                     const wire::ClaimFenceReply &Reply);

  /// Ends the rounds whose timeout has passed and returns their results.
  std::vector<FenceResult> expire(base::Millis Now);

  /// Cancels the round of a run.
  void cancel(std::uint64_t Run);

  /// \returns the time of the next timeout.
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
