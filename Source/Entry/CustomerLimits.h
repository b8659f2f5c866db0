#ifndef CORNELDECK_ENTRY_CUSTOMERLIMITS_H
#define CORNELDECK_ENTRY_CUSTOMERLIMITS_H

#include "Admission/LimitShares.h"
#include "Catalogue/View.h"
#include "Wire/Peer.pb.h"

#include <cstdint>
#include <set>
#include <string>

namespace corneldeck::entry {

/// Enforces this entry's share of the customers' limits in the catalogue.
class CustomerLimits {
public:
  /// \param Entries the number of entries that share each limit.
  /// \param Incarnation keeps this process's message numbers above those of its
  /// earlier incarnations.
  CustomerLimits(std::uint32_t Entries, std::uint64_t Incarnation);

  /// Applies the limits of a new catalogue.
  void onView(base::Millis Now, const catalogue::View &View);

  /// Counts a request against the limits of its customer.
  /// \param Tokens the prompt tokens plus the maximum response tokens.
  /// \returns nothing, or LimitExceeded with the time after which to retry.
  base::Result<void> admit(base::Millis Now, const std::string &Service,
                           const std::string &Customer, double Tokens);

  /// \returns the next message for the entry at \p Address.
  wire::PeerMessage messageFor(base::Millis Now, const std::string &Address);

  /// Applies a message from another entry.
  void onMessage(base::Millis Now, const wire::PeerMessage &Message);

private:
  void setLimit(base::Millis Now, const admission::LimitKey &Key,
                double PerSecond, std::set<admission::LimitKey> &Kept);

  std::uint32_t m_Entries;
  admission::LimitShares m_Shares;
  std::set<admission::LimitKey> m_ActiveKeys;
};

} // namespace corneldeck::entry

#endif
