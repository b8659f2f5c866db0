#include "Membership/Members.h"

#include <utility>

namespace corneldeck::membership {

namespace {

/// \returns the IP address of "IP:PORT"; the VM list identifies a VM by it.
std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

bool isLeaving(const Member &Known) {
  return Known.m_Leaving || Known.m_VmLeaving;
}

} // namespace

bool Members::isLive(base::Millis Now, const Member &Known) const {
  const base::Millis Timeout = Known.m_SilenceTimeout > base::Millis(0)
                                   ? Known.m_SilenceTimeout
                                   : m_Settings.m_SilenceTimeout;
  return Now < Known.m_LastSeenAt + Timeout;
}

void Members::removeOthersAt(const MemberUpdate &Update) {
  std::erase_if(m_Nodes, [&](const auto &Item) {
    const bool Other = Item.first != Update.m_Node &&
                       Item.second.m_Member.m_Address == Update.m_Address;
    if (Other)
      m_Events.push_back({MemberEvent::Type::Replaced, Item.first});
    return Other;
  });
}

void Members::recordLeaving(const Member &Known, bool Before) {
  if (isLeaving(Known) && !Before)
    m_Events.push_back({MemberEvent::Type::Leaving, Known.m_Node});
}

bool Members::update(base::Millis Now, const MemberUpdate &Update) {
  const auto Found = m_Nodes.find(Update.m_Node);
  if (Found != m_Nodes.end()) {
    const Member &Known = Found->second.m_Member;
    // A lower incarnation comes from a delayed message, unless the higher one
    // is silent: then the wall clock that numbers incarnations was set back.
    if (Update.m_Incarnation < Known.m_Incarnation && isLive(Now, Known))
      return false;
  }
  removeOthersAt(Update);
  TrackedMember &Target = m_Nodes[Update.m_Node];
  Member &Known = Target.m_Member;
  const bool New = Known.m_Node.empty();
  const bool Restarted = !New && Known.m_Incarnation != Update.m_Incarnation;
  if (New)
    m_Events.push_back({MemberEvent::Type::Joined, Update.m_Node});
  else if (Restarted)
    m_Events.push_back({MemberEvent::Type::Replaced, Update.m_Node});
  else if (std::exchange(Target.m_WasSilent, false))
    m_Events.push_back({MemberEvent::Type::Returned, Update.m_Node});
  const bool LeftBefore = !New && !Restarted && isLeaving(Known);
  // The VM list lags, so its record may refer to the former VM at this address.
  // It is applied anyway: to refuse new work wrongly costs capacity until the
  // list is updated, but work on a VM that is leaving would be interrupted.
  const auto Listed = m_VmLeaving.find(ipOf(Update.m_Address));
  Known = {Update.m_Node,
           Update.m_Incarnation,
           Update.m_Address,
           Update.m_Zone,
           Update.m_Leaving,
           Update.m_Ready,
           Listed != m_VmLeaving.end() && Listed->second,
           Now,
           Update.m_SilenceTimeout};
  Target.m_WasSilent = false;
  recordLeaving(Known, LeftBefore);
  return true;
}

void Members::updateVmList(const std::vector<VmRecord> &Vms) {
  std::map<std::string, bool> Listed;
  for (const VmRecord &Vm : Vms)
    Listed[ipOf(Vm.m_Address)] = Vm.m_Leaving;
  m_VmLeaving = std::move(Listed);
  for (auto &[Name, Node] : m_Nodes) {
    Member &Known = Node.m_Member;
    const auto Found = m_VmLeaving.find(ipOf(Known.m_Address));
    const bool Before = isLeaving(Known);
    // A VM that is not listed keeps its state: the list also lags for new VMs.
    if (Found == m_VmLeaving.end())
      continue;
    Known.m_VmLeaving = Found->second;
    recordLeaving(Known, Before);
  }
}

void Members::setSilent(base::Millis Now, const std::string &Node) {
  const auto Found = m_Nodes.find(Node);
  if (Found == m_Nodes.end() || !isLive(Now, Found->second.m_Member))
    return;
  Member &Known = Found->second.m_Member;
  Known.m_SilenceTimeout = {};
  Known.m_LastSeenAt = Now - m_Settings.m_SilenceTimeout;
}

std::vector<MemberEvent> Members::tick(base::Millis Now) {
  for (auto Item = m_Nodes.begin(); Item != m_Nodes.end();) {
    TrackedMember &Node = Item->second;
    const Member &Known = Node.m_Member;
    if (Now >= Known.m_LastSeenAt + m_Settings.m_LostTimeout) {
      m_Events.push_back({MemberEvent::Type::Lost, Item->first});
      Item = m_Nodes.erase(Item);
      continue;
    }
    if (!isLive(Now, Known) && !std::exchange(Node.m_WasSilent, true))
      m_Events.push_back({MemberEvent::Type::Silent, Item->first});
    ++Item;
  }
  return std::exchange(m_Events, {});
}

bool Members::alive(base::Millis Now, const std::string &Node) const {
  const auto Found = m_Nodes.find(Node);
  return Found != m_Nodes.end() && isLive(Now, Found->second.m_Member);
}

bool Members::acceptsNewWork(base::Millis Now, const std::string &Node) const {
  if (!alive(Now, Node))
    return false;
  const Member &Known = m_Nodes.at(Node).m_Member;
  return Known.m_Ready && !isLeaving(Known);
}

std::vector<Member> Members::members() const {
  std::vector<Member> Result;
  for (const auto &[Name, Node] : m_Nodes)
    Result.push_back(Node.m_Member);
  return Result;
}

} // namespace corneldeck::membership
