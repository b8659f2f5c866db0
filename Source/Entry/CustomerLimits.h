#ifndef CORNELDECK_ENTRY_CUSTOMERLIMITS_H
#define CORNELDECK_ENTRY_CUSTOMERLIMITS_H

#include "Admission/LimitShares.h"
#include "Catalogue/View.h"
#include "Wire/Peer.pb.h"

#include <cstdint>
#include <set>
#include <string>

namespace corneldeck::entry {

/// This entry's part in the customers' limits of the catalogue.
class CustomerLimits {
public:
  /// \param Entries how many entries share each limit.
  /// \param Incarnation numbers this process's messages above earlier ones'.
  CustomerLimits(std::uint32_t Entries, std::uint64_t Incarnation);

  /// Takes over the limits of the catalogue.
  void onView(base::Millis Now, const catalogue::View &View);

  /// Charges a request to its customer's limits.
  /// \param Tokens prompt tokens and the most answer tokens.
  /// \returns LimitExceeded with a time to come back.
  base::Result<void> admit(base::Millis Now, const std::string &Service,
                           const std::string &Customer, double Tokens);

  /// \returns the next message to another entry.
  wire::PeerMessage messageFor(base::Millis Now, const std::string &Address);

  /// Takes another entry's message.
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
