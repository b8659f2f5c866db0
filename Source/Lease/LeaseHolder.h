#ifndef CORNELDECK_LEASE_LEASEHOLDER_H
#define CORNELDECK_LEASE_LEASEHOLDER_H

#include "Lease/LeaseTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneldeck::lease {

/// Settings of a LeaseHolder.
struct LeaseSettings {
  /// Name of the lease.
  std::string m_Name;
  /// Identifies this process and its incarnation, so that a restarted process
  /// does not renew the lease of its predecessor.
  std::string m_Holder;
  base::Millis m_Term = base::seconds(6);
  base::Millis m_RenewInterval = base::seconds(2);
  /// Injected defect for tests: the term starts when the own claim is read from
  /// the log, not before the claim is sent.
  bool m_InjectTermFromRead = false;
};

/// Acquires and renews one lease for this process.
///
/// The term starts before the claim is sent, by this process's clock, and is
/// shortened by the margin for clock drift. Call fencingNumber() immediately
/// before each action that requires the lease.
class LeaseHolder {
public:
  explicit LeaseHolder(LeaseSettings Settings);

  /// Sets whether this process tries to hold the lease. After a change to false
  /// the next tick() releases it.
  void setWanted(bool Wanted) { m_Wanted = Wanted; }

  /// Updates the state of the lease; call it after each change of the table.
  void onTableUpdated(base::Millis Now, const LeaseTable &Table);

  /// \returns a claim, renewal or release to append now, or none if none is
  /// due. A claim that is repeated after a lost response names the same
  /// replaced record, so at most one of them is valid.
  std::optional<wire::LogRecord> tick(base::Millis Now,
                                      const LeaseTable &Table);

  /// \returns the fencing number if the lease is held at \p Now.
  [[nodiscard]] std::optional<std::uint64_t>
  fencingNumber(base::Millis Now) const;

private:
  /// The lease as held by this process, by its own clock.
  struct HeldLease {
    std::uint64_t m_FencingNumber = 0;
    base::Millis m_ExpiresAt{};
  };

  /// \returns whether this process holds the lease or the lease is claimable.
  [[nodiscard]] bool mayClaim(base::Millis Now, const LeaseTable &Table) const;
  /// Removes sent claims whose term is over.
  void removeExpiredClaims(base::Millis Now);
  wire::LogRecord makeClaim(base::Millis Now, std::uint64_t Replaces,
                            bool Release);

  const LeaseSettings m_Settings;
  bool m_Wanted = false;
  std::uint64_t m_NextClaimNumber = 1;
  /// No claim is sent before this time.
  base::Millis m_NextSend{};
  /// Send times of own claims that have not been read from the log, by append
  /// identifier.
  std::map<std::string, base::Millis> m_SentClaims;
  std::optional<HeldLease> m_HeldLease;
};

} // namespace corneldeck::lease

#endif
