#include "Membership/AddressSelector.h"

#include <algorithm>

namespace corneldeck::membership {

namespace {

/// Longest time for the last list to reach the caller.
constexpr base::Millis ResponseTransit = base::seconds(1);

} // namespace

AddressList AddressSelector::selectAddresses(base::Millis Now,
                                             const Members &Entries,
                                             const std::string &Zone) {
  std::vector<std::string> SameZone;
  std::vector<std::string> OtherZones;
  for (const Member &Entry : Entries.members()) {
    if (!Entries.acceptsNewWork(Now, Entry.m_Node))
      continue;
    std::vector<std::string> &Target =
        Entry.m_Zone == Zone ? SameZone : OtherZones;
    Target.push_back(Entry.m_Address);
  }
  const std::uint64_t Rotation = m_NextRotation++;
  for (std::vector<std::string> *Part : {&SameZone, &OtherZones}) {
    if (Part->empty())
      continue;
    const auto Shift = static_cast<std::ptrdiff_t>(Rotation % Part->size());
    std::rotate(Part->begin(), Part->begin() + Shift, Part->end());
  }
  AddressList Result;
  Result.m_Lifetime = m_Settings.m_Lifetime;
  Result.m_Addresses = std::move(SameZone);
  Result.m_Addresses.insert(Result.m_Addresses.end(), OtherZones.begin(),
                            OtherZones.end());
  if (Result.m_Addresses.size() > m_Settings.m_MaxAddresses)
    Result.m_Addresses.resize(m_Settings.m_MaxAddresses);
  return Result;
}

base::Millis AddressSelector::serveUntil(base::Millis LeftAt,
                                         const MemberSettings &Members) const {
  // An entry that misses the announcement lists this one until it has been
  // silent for m_SilenceTimeout.
  return LeftAt + Members.m_SilenceTimeout + ResponseTransit +
         m_Settings.m_Lifetime;
}

} // namespace corneldeck::membership
