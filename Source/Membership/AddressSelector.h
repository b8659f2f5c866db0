#ifndef CORNELDECK_MEMBERSHIP_ADDRESSSELECTOR_H
#define CORNELDECK_MEMBERSHIP_ADDRESSSELECTOR_H

#include "Membership/Members.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// How the question "which address" is answered.
struct AddressSelectorSettings {
  /// How long a caller may keep an answer.
  base::Millis m_Lifetime = base::seconds(10);
  /// Most addresses in one answer.
  std::size_t m_MaxAddresses = 16;
};

/// Addresses for a caller, best first.
struct AddressList {
  std::vector<std::string> m_Addresses;
  base::Millis m_Lifetime{};
};

/// Tells callers which entry VMs to use.
///
/// Entries in the caller's zone come first. Each answer begins with another
/// one of them, so callers spread evenly. An entry that leaves or falls silent
/// is not named.
class AddressSelector {
public:
  explicit AddressSelector(AddressSelectorSettings Settings)
      : m_Settings(Settings) {}

  /// \param Entries the entry VMs, with this one.
  /// \param Zone the caller's zone; "" if it did not say.
  AddressList selectAddresses(base::Millis Now, const Members &Entries,
                              const std::string &Zone);

  /// \returns until when an entry that left the answers at \p LeftAt must go
  /// on serving, so that every answer which names it has expired.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt,
                                        const MemberSettings &Members) const;

private:
  const AddressSelectorSettings m_Settings;
  std::uint64_t m_NextRotation = 0;
};

} // namespace corneldeck::membership

#endif
