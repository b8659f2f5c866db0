#ifndef CORNELDECK_LEASE_LEASEHOLDER_H
#define CORNELDECK_LEASE_LEASEHOLDER_H

#include "Lease/LeaseTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneldeck::lease {

/// What one contender for a lease is set to.
struct LeaseSettings {
  std::string m_Name;
  /// Names this process and its incarnation, so that a restarted process
  /// doesn't take itself for its predecessor.
  std::string m_Holder;
  base::Millis m_Term = base::seconds(6);
  base::Millis m_RenewInterval = base::seconds(2);
  /// Set only to show what the proof catches: the term counts from when the
  /// own claim was read instead of from before it was sent.
  bool m_InjectTermFromRead = false;
};

/// Contends for one lease and knows whether this process holds it.
///
/// The term counts from before the claim was sent, on this process's clock,
/// less the margin. Ask fencingNumber() at the last moment before each act.
class LeaseHolder {
public:
  explicit LeaseHolder(LeaseSettings Settings);

  /// Says whether this process wants the lease. When it no longer does, the
  /// next tick() releases it.
  void setWanted(bool Wanted) { m_Wanted = Wanted; }

  /// Looks at the table; call it after each change of the table.
  void onTableUpdated(base::Millis Now, const LeaseTable &Table);

  /// \returns a claim, renewal or release to append now, if any is due. Repeats
  /// after a lost answer name the same replaced record, so at most one counts.
  std::optional<wire::LogRecord> tick(base::Millis Now,
                                      const LeaseTable &Table);

  /// \returns the fencing number if the lease is held at \p Now.
  [[nodiscard]] std::optional<std::uint64_t>
  fencingNumber(base::Millis Now) const;

private:
  /// What this process holds, by its own clock.
  struct HeldLease {
    std::uint64_t m_FencingNumber = 0;
    base::Millis m_ExpiresAt{};
  };

  [[nodiscard]] bool mayClaim(base::Millis Now, const LeaseTable &Table) const;
  /// Drops sent claims that could no longer give a tenure.
  void removeExpiredClaims(base::Millis Now);
  wire::LogRecord makeClaim(base::Millis Now, std::uint64_t Replaces,
                            bool Release);

  const LeaseSettings m_Settings;
  bool m_Wanted = false;
  std::uint64_t m_NextClaimNumber = 1;
  base::Millis m_NextSend{};
  /// When each own claim that has not been seen was sent.
  std::map<std::string, base::Millis> m_SentClaims;
  std::optional<HeldLease> m_HeldLease;
};

} // namespace corneldeck::lease

#endif
