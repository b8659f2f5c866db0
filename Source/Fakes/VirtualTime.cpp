#include "Fakes/VirtualTime.h"

#include <algorithm>

namespace corneldeck::fakes {

base::Clock VirtualTime::clock() const {
  return base::Clock([this] { return m_Now; });
}

void VirtualTime::after(base::Millis Delay, Action Todo) {
  const base::Millis Due = m_Now + std::max(Delay, base::Millis(0));
  m_Actions.emplace(std::pair(Due, m_NextNumber++), std::move(Todo));
}

bool VirtualTime::step() {
  if (m_Actions.empty())
    return false;
  auto Next = m_Actions.extract(m_Actions.begin());
  m_Now = Next.key().first;
  Next.mapped()();
  return true;
}

void VirtualTime::runUntil(base::Millis End) {
  while (!m_Actions.empty() && m_Actions.begin()->first.first <= End)
    step();
  m_Now = std::max(m_Now, End);
}

} // namespace corneldeck::fakes
