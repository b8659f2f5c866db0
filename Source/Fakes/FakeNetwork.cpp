#include "Fakes/FakeNetwork.h"

namespace corneldeck::fakes {

FakeNetwork::FakeNetwork(VirtualTime &Time, std::uint64_t Seed)
    : m_Time(Time), m_Random(Seed) {}

FakeNetwork::Path &FakeNetwork::path(const std::string &From,
                                     const std::string &To) {
  return m_Paths[{From, To}];
}

void FakeNetwork::send(const std::string &From, const std::string &To,
                       const Delivery &Message) {
  const Path Way = path(From, To);
  if (Way.m_Cut || m_Random.chance(Way.m_LossRatio))
    return;
  const int Copies = m_Random.chance(Way.m_DuplicateRatio) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    const auto Jitter = static_cast<std::int64_t>(
        m_Random.below(static_cast<std::uint64_t>(Way.m_Jitter.count()) + 1));
    m_Time.after(Way.m_Delay + base::Millis(Jitter),
                 [this, To, Message] { deliver(To, Message); });
  }
}

void FakeNetwork::setCut(const std::string &A, const std::string &B, bool Cut) {
  path(A, B).m_Cut = Cut;
  path(B, A).m_Cut = Cut;
}

void FakeNetwork::freeze(const std::string &Node) {
  m_Frozen.try_emplace(Node);
}

void FakeNetwork::thaw(const std::string &Node) {
  auto Held = m_Frozen.extract(Node);
  if (Held.empty())
    return;
  for (const Delivery &Message : Held.mapped())
    Message();
}

void FakeNetwork::deliver(const std::string &To, const Delivery &Message) {
  const auto Frozen = m_Frozen.find(To);
  if (Frozen != m_Frozen.end()) {
    Frozen->second.push_back(Message);
    return;
  }
  Message();
}

} // namespace corneldeck::fakes
