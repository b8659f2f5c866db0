#include "Soak.h"

namespace corneldeck::tests {

namespace {

/// Time in which a version must come into force.
constexpr base::Millis InForceBound = base::seconds(3);
constexpr base::Millis LeastAge(500);

} // namespace

void Soak::faultOfStore() {
  const std::uint64_t Way = m_Draw.below(6);
  m_Faults.push_back("store fault " + std::to_string(Way));
  excuseAll(base::seconds(1));
  switch (Way) {
  case 0:
    m_Store.m_Faults.m_Unavailable = true;
    return;
  case 1:
    m_Store.m_Faults.m_Busy = true;
    return;
  case 2:
    m_Store.m_Faults.m_Delay = base::Millis(200);
    return;
  case 3:
    m_Store.m_Faults.m_LostResponseRate = 0.5;
    return;
  case 4:
    m_Store.dropHistory("keyed.servers");
    return;
  default:
    m_Store.dropHistory("keyed.op");
    return;
  }
}

void Soak::changeStore() {
  if (m_WriteAgainAt > base::Millis(0) && now() >= m_WriteAgainAt)
    writeAgain();
  const bool IsPlanted = m_Settings.m_Plant == Plant::EraIgnored;
  // As with the other faults of the store, every second seed has none.
  if (!IsPlanted && m_Settings.m_Seed % 2 != 0)
    return;
  if (IsPlanted && m_Planted)
    return;
  if (m_CopiedAt == base::Millis(0)) {
    if (IsPlanted || m_StoreDraw.chance(0.25)) {
      m_Store.saveCopy();
      m_CopiedAt = now();
    }
    // Enough versions that those after the return have offsets of these.
    for (int Count = 0; IsPlanted && Count < 30; ++Count)
      publish();
    return;
  }
  const bool IsDue = now() - m_CopiedAt >= LeastAge &&
                     m_WriteAgainAt == base::Millis(0) &&
                     (IsPlanted || m_StoreDraw.chance(0.25));
  if (!IsDue)
    return;
  m_Planted = IsPlanted;
  returnStore();
}

void Soak::returnStore() {
  m_Faults.push_back("the store returns with a copy of " +
                     std::to_string((now() - m_CopiedAt).count()) + " ms ago");
  m_Store.restoreCopy();
  m_CopiedAt = {};
  m_WriteAgainAt =
      now() +
      base::Millis(100 + static_cast<std::int64_t>(m_StoreDraw.below(1400)));
  excuseAll(base::seconds(2));
}

void Soak::writeAgain() {
  m_WriteAgainAt = {};
  writeConfiguration();
  for (const Server &Each : m_Servers)
    registerServer(Each,
                   Each.m_LeftAt > base::Millis(0) ? "draining" : "ready");
}

void Soak::checkInForce(const Asked &Request, const Entry &Of) {
  if (now() <= Of.m_ExcusedUntil ||
      Request.m_SentAt <=
          m_PublishedAt[static_cast<std::size_t>(Request.m_Version)] +
              InForceBound)
    return;
  violate(Request.m_Id + ": version " + std::to_string(Request.m_Version) +
          " was not in force at " + Of.m_Name);
}

} // namespace corneldeck::tests
