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

/// How far the one run of a key is.
enum class ClaimState : std::uint8_t {
  Running,       ///< It is being run, or the former homes are being asked.
  Finished,      ///< It ran; its answer may be kept.
  OutcomeUnknown ///< Its run ended without a known outcome.
};

/// One claimed key.
struct Claim {
  std::uint64_t m_Fingerprint = 0;
  /// The run of the agent that the claim stands for.
  std::uint64_t m_Run = 0;
  base::Millis m_ClaimedAt{};
  base::Millis m_ClaimedWall{};
  ClaimState m_State = ClaimState::Running;
  /// The End frame in wire form; empty if it is not kept.
  std::string m_Answer;
};

/// Forbids a former home to run a key that moved to another agent.
struct KeyFence {
  /// Catalogue offset by which the other agent is the home.
  std::uint64_t m_Offset = 0;
  std::string m_Server;
  base::Millis m_FencedAt{};
};

/// The memory of the idempotency keys that were claimed at one agent.
///
/// It never forgets a claim within the window: when full it takes no new one.
class ClaimTable {
public:
  explicit ClaimTable(ClaimSettings Settings);

  /// \returns the claim of \p Key, or none.
  [[nodiscard]] const Claim *find(const ClaimKey &Key) const;

  /// Claims a key that is not claimed.
  /// \returns false if the table is full.
  bool claim(base::Millis Now, base::Millis Wall, const ClaimKey &Key,
             std::uint64_t Fingerprint, std::uint64_t Run);

  /// Notes the answer of a key's run.
  void markFinished(const ClaimKey &Key, const wire::End &Answer);

  /// Notes that a run ended without a known outcome.
  void markOutcomeUnknown(const ClaimKey &Key);

  /// Gives a claim back whose run was never begun.
  void release(const ClaimKey &Key);

  /// Takes over an answer from a former home.
  void importRecord(base::Millis Now, base::Millis Wall, const ClaimKey &Key,
                    const wire::ClaimRecord &Record);

  /// \returns the answer for a duplicate of a claim that is not running.
  [[nodiscard]] wire::End duplicateAnswer(const Claim &Known) const;

  /// Notes that a caller was told "not run" of a key: frames issued before now
  /// must not run it.
  void recordNotRun(base::Millis Now, const ClaimKey &Key);

  /// \returns whether "not run" was said after a frame was issued.
  [[nodiscard]] bool notRunReportedSince(const ClaimKey &Key,
                                         base::Millis Issued) const;

  /// Forbids to run \p Key by the catalogue up to and with \p Offset.
  void fence(base::Millis Now, const ClaimKey &Key, std::uint64_t Offset,
             const std::string &Server);

  /// \returns the bar on \p Key, or none.
  [[nodiscard]] const KeyFence *findFence(const ClaimKey &Key) const;

  /// Forgets what is past the window.
  void expire(base::Millis Now);

  /// \returns all claims, for a handover at a planned stop.
  [[nodiscard]] std::vector<wire::ClaimRecord> exportRecords() const;

  [[nodiscard]] std::size_t size() const { return m_Claims.size(); }

  /// \returns the bytes of the kept answers.
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
