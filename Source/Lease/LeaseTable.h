#ifndef CORNELDECK_LEASE_LEASETABLE_H
#define CORNELDECK_LEASE_LEASETABLE_H

#include "Base/Millis.h"
#include "Wire/Log.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace corneldeck::lease {

/// Shortest and longest term of a valid claim.
constexpr base::Millis MinTerm = base::seconds(1);
constexpr base::Millis MaxTerm = base::minutes(1);

/// \returns the margin for clock drift, which the holder subtracts from \p Term
/// and the others add to it.
///
/// With an eighth on both sides, the holder's term ends before another process
/// can claim the lease, if the rates of any two clocks differ by less than a
/// quarter.
constexpr base::Millis clockDriftMargin(base::Millis Term) { return Term / 8; }

/// The newest valid record of one lease.
struct LeaseRecord {
  std::string m_Holder;
  /// Offset of the holder's first claim; renewals keep it.
  std::uint64_t m_FencingNumber = 0;
  /// Offset of this record; the next claim must name it as the one it replaces.
  std::uint64_t m_Offset = 0;
  std::string m_AppendId;
  base::Millis m_Term{};
  bool m_Released = false;
  /// When this process read the record.
  base::Millis m_ReadAt{};
};

/// The leases as of an offset of the log.
///
/// Whether a claim is valid depends only on the order of offsets, so all
/// readers agree on it. Whether a lease has expired depends on this process's
/// clock and only determines whether this process claims it.
class LeaseTable {
public:
  /// Applies the claim at \p Offset, read at \p Now.
  /// \returns whether it is valid.
  bool apply(base::Millis Now, std::uint64_t Offset,
             const std::string &AppendId, const wire::LeaseClaim &Claim);

  /// \returns the newest record of \p Name, or null.
  [[nodiscard]] const LeaseRecord *find(std::string_view Name) const;

  /// \returns whether a process other than the holder may claim \p Name: the
  /// lease was never claimed, was released, or its term and margin have passed
  /// since its newest record was read.
  [[nodiscard]] bool isClaimable(base::Millis Now, std::string_view Name) const;

  /// Replaces the table by a snapshot; all terms start at \p Now.
  void load(base::Millis Now, const wire::CatalogueSnapshot &Snapshot);

  /// Adds the leases to \p Snapshot.
  void save(wire::CatalogueSnapshot &Snapshot) const;

private:
  std::map<std::string, LeaseRecord, std::less<>> m_Leases;
};

} // namespace corneldeck::lease

#endif
