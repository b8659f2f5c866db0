#ifndef CORNELDECK_CLAIMS_CLAIMTABLE_H
#define CORNELDECK_CLAIMS_CLAIMTABLE_H

#include "Base/Millis.h"
#include "Claims/ClaimKey.h"
#include "Claims/ClaimSettings.h"
#include "Link.pb.h"
#include "Peer.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::claims {

/// State of the run of a key.
enum class ClaimState : std::uint8_t {
  Running,       ///< Is running, or waits for the former homes.
  Finished,      ///< Has run; the answer may be stored.
  OutcomeUnknown ///< The run ended with an unknown outcome.
};

/// One claimed key.
struct Claim {
  std::uint64_t m_Fingerprint = 0;
  /// The run at this agent that holds the claim; 0 for an imported claim.
  std::uint64_t m_Run = 0;
  base::Millis m_ClaimedAt{};
  base::Millis m_ClaimedWall{};
  ClaimState m_State = ClaimState::Running;
  /// The serialized End frame; empty if it is not stored.
  std::string m_Answer;
};

/// Prevents a former home from running a key whose home is now another agent.
struct KeyFence {
  /// Catalogue offset at which the other agent is the home.
  std::uint64_t m_Offset = 0;
  std::string m_Server;
  base::Millis m_FencedAt{};
};

/// Stores the idempotency keys claimed at one agent, with their answers.
///
/// Claims are kept for the whole retention window. A full table refuses new
/// claims.
class ClaimTable {
public:
  explicit ClaimTable(ClaimSettings Settings);

  /// \returns the claim of \p Key, or nullptr.
  [[nodiscard]] const Claim *find(const ClaimKey &Key) const;

  /// Claims \p Key, which must not be claimed yet.
  /// \returns false if the table is full.
  bool claim(base::Millis Now, base::Millis Wall, const ClaimKey &Key,
             std::uint64_t Fingerprint, std::uint64_t Run);

  /// Records the answer of a key's run.
  void markFinished(const ClaimKey &Key, const wire::End &Answer);

  /// Records that the run of a key ended with an unknown outcome.
  void markOutcomeUnknown(const ClaimKey &Key);

  /// Removes a claim whose run was never started.
  void release(const ClaimKey &Key);

  /// Imports the claim of a former home, with its answer.
  void importRecord(base::Millis Now, base::Millis Wall, const ClaimKey &Key,
                    const wire::ClaimRecord &Record);

  /// \returns the answer to a duplicate request. \p Known must not be running.
  [[nodiscard]] wire::End duplicateAnswer(const Claim &Known) const;

  /// Records that a key was reported as not run to a caller, so frames issued
  /// until \p Now must not run it.
  void recordNotRun(base::Millis Now, const ClaimKey &Key);

  /// \returns whether the key was reported as not run at or after \p Issued.
  [[nodiscard]] bool notRunReportedSince(const ClaimKey &Key,
                                         base::Millis Issued) const;

  /// Forbids running \p Key on the basis of catalogue offsets up to \p Offset.
  /// \param Server the home of the key at \p Offset.
  void fence(base::Millis Now, const ClaimKey &Key, std::uint64_t Offset,
             const std::string &Server);

  /// \returns the fence of \p Key, or nullptr.
  [[nodiscard]] const KeyFence *findFence(const ClaimKey &Key) const;

  /// Removes claims, fences and reports that are past their retention time.
  void expire(base::Millis Now);

  /// \returns all claims, for the handover at a planned stop.
  [[nodiscard]] std::vector<wire::ClaimRecord> exportRecords() const;

  [[nodiscard]] std::size_t size() const { return m_Claims.size(); }

  /// \returns the total bytes of the stored answers.
  [[nodiscard]] std::size_t answerBytes() const { return m_AnswerBytes; }

private:
  struct Expiry {
    base::Millis m_RecordedAt;
    ClaimKey m_Key;
  };

  void storeAnswer(Claim &Known, const wire::End &Answer);
  void erase(const ClaimKey &Key);
  void expireClaims(base::Millis Now);

  const ClaimSettings m_Settings;
  const base::Millis m_Retention;
  std::unordered_map<ClaimKey, Claim, ClaimKeyHash> m_Claims;
  std::deque<Expiry> m_Expiries;
  std::size_t m_AnswerBytes = 0;
  std::unordered_map<ClaimKey, KeyFence, ClaimKeyHash> m_Fences;
  std::unordered_map<ClaimKey, base::Millis, ClaimKeyHash> m_NotRunReports;
  std::deque<Expiry> m_NotRunExpiries;
};

} // namespace corneldeck::claims

#endif
