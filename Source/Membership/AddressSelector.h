#ifndef CORNELDECK_MEMBERSHIP_ADDRESSSELECTOR_H
#define CORNELDECK_MEMBERSHIP_ADDRESSSELECTOR_H

#include "Membership/Members.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// Settings of AddressSelector.
struct AddressSelectorSettings {
  /// How long a caller may use a list.
  base::Millis m_Lifetime = base::seconds(10);
  /// Most addresses in one list.
  std::size_t m_MaxAddresses = 16;
};

/// Addresses of entry VMs for a caller, in order of preference.
struct AddressList {
  std::vector<std::string> m_Addresses;
  base::Millis m_Lifetime{};
};

/// Selects the entry VMs that a caller uses.
///
/// Entries in the caller's availability zone come first. The lists rotate, so
/// that callers are spread evenly over the entries. A list does not contain
/// entries that are leaving or silent.
class AddressSelector {
public:
  explicit AddressSelector(AddressSelectorSettings Settings)
      : m_Settings(Settings) {}

  /// \returns the addresses for one caller.
  /// \param Entries the entry VMs, including this one.
  /// \param Zone the caller's availability zone; "" if it is unknown.
  AddressList selectAddresses(base::Millis Now, const Members &Entries,
                              const std::string &Zone);

  /// \returns the time until which an entry that announced at \p LeftAt that it
  /// is leaving must serve requests: every list that contains it has then
  /// expired.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt,
                                        const MemberSettings &Members) const;

private:
  const AddressSelectorSettings m_Settings;
  std::uint64_t m_NextRotation = 0;
};

} // namespace corneldeck::membership

#endif
