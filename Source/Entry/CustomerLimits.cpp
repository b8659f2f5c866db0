#include "Entry/CustomerLimits.h"

namespace corneldeck::entry {
namespace {

/// Message numbers start at the incarnation, a time in milliseconds, times this
/// factor, so they never overlap as long as a process sends fewer messages per
/// millisecond.
constexpr std::uint64_t MessagesPerMillisecond = 1'000;

admission::LimitKey requestKey(const std::string &Service,
                               const std::string &Customer) {
  return {Service, Customer};
}

/// The suffix can't clash with a service name, since the catalogue does not
/// allow '#'.
admission::LimitKey tokenKey(const std::string &Service,
                             const std::string &Customer) {
  return {Service + "#tokens", Customer};
}

} // namespace

CustomerLimits::CustomerLimits(std::uint32_t Entries, std::uint64_t Incarnation)
    : m_Entries(Entries), m_Shares(admission::LimitSettings{},
                                   Incarnation * MessagesPerMillisecond) {}

void CustomerLimits::onView(base::Millis Now, const catalogue::View &View) {
  std::set<admission::LimitKey> Kept;
  for (const auto &[Name, Entry] : View.entries())
    for (const catalogue::CustomerLimit &Each : Entry->m_Customers) {
      setLimit(Now, requestKey(Name, Each.m_Name), Each.m_RequestsPerS, Kept);
      setLimit(Now, tokenKey(Name, Each.m_Name), Each.m_TokensPerS, Kept);
    }
  for (const admission::LimitKey &Key : m_ActiveKeys)
    if (!Kept.contains(Key))
      m_Shares.removeLimit(Key);
  m_ActiveKeys = std::move(Kept);
}

void CustomerLimits::setLimit(base::Millis Now, const admission::LimitKey &Key,
                              double PerSecond,
                              std::set<admission::LimitKey> &Kept) {
  if (PerSecond <= 0)
    return;
  m_Shares.setLimit(Now, Key, PerSecond, m_Entries);
  Kept.insert(Key);
}

base::Result<void> CustomerLimits::admit(base::Millis Now,
                                         const std::string &Service,
                                         const std::string &Customer,
                                         double Tokens) {
  auto Admitted = m_Shares.admit(Now, requestKey(Service, Customer), 1);
  if (!Admitted || Tokens <= 0)
    return Admitted;
  return m_Shares.admit(Now, tokenKey(Service, Customer), Tokens);
}

wire::PeerMessage CustomerLimits::messageFor(base::Millis Now,
                                             const std::string &Address) {
  const admission::LimitGossip Gossip = m_Shares.makeGossip(Now, Address);
  wire::PeerMessage Message;
  wire::LimitNews &News = *Message.mutable_limits();
  News.set_sequence(Gossip.m_Sequence);
  News.set_answers(Gossip.m_AcknowledgedSequence);
  for (const admission::LimitUse &Each : Gossip.m_Uses) {
    wire::LimitUse &Use = *News.add_uses();
    Use.set_service(Each.m_Key.m_Service);
    Use.set_customer(Each.m_Key.m_Customer);
    Use.set_demand(Each.m_Demand);
    Use.set_admitted(Each.m_Admitted);
    Use.set_granted(Each.m_Granted);
  }
  return Message;
}

void CustomerLimits::onMessage(base::Millis Now,
                               const wire::PeerMessage &Message) {
  const wire::LimitNews &News = Message.limits();
  admission::LimitGossip Gossip{News.sequence(), News.answers(), {}};
  for (const wire::LimitUse &Use : News.uses())
    Gossip.m_Uses.push_back({{Use.service(), Use.customer()},
                             Use.demand(),
                             Use.admitted(),
                             Use.granted()});
  m_Shares.onGossip(Now, Message.reply_address(), Gossip);
}

} // namespace corneldeck::entry
