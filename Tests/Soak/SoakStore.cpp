#include "Soak.h"

namespace corneldeck::tests {

namespace {

/// Time in which a version must come into force.
constexpr base::Millis InForceBound = base::seconds(3);

} // namespace

bool Soak::isStoreDown() const {
  return m_Store.m_Faults.m_Unavailable || m_Store.m_Faults.m_Busy ||
         m_Store.m_Faults.m_Delay > base::Millis(0);
}

bool Soak::isStoreFaulty() const {
  return isStoreDown() || m_WriteAgainAt > base::Millis(0);
}

void Soak::disturbStore(const Step &Due) {
  switch (Due.m_Kind) {
  case StepKind::HealStore:
    healStore();
    return;
  case StepKind::CopyStore:
    m_Store.saveCopy();
    return;
  case StepKind::ReturnStore:
    returnStore(Due.m_Duration);
    return;
  default:
    break;
  }
  excuseAll(base::seconds(1));
  switch (Due.m_Value) {
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

void Soak::healStore() {
  if (isStoreDown())
    excuseAll({});
  m_Store.m_Faults = {};
}

void Soak::returnStore(base::Millis WriteAgainAfter) {
  m_Store.restoreCopy();
  m_WriteAgainAt = now() + WriteAgainAfter;
  excuseAll(base::seconds(2));
  for (Server &Each : m_Servers) {
    Each.m_FreeSince = {};
    Each.m_IsHidden = true;
  }
}

void Soak::writeAgain() {
  m_WriteAgainAt = {};
  writeConfiguration();
  for (Server &Each : m_Servers)
    registerServer(Each,
                   Each.m_LeftAt > base::Millis(0) ? "draining" : "ready");
}

void Soak::checkInForce(const Asked &Request, const Entry &Of) {
  if (now() <= Of.m_ExcusedUntil ||
      Request.m_SentAt <=
          m_PublishedAt[static_cast<std::size_t>(Request.m_Version)] +
              InForceBound)
    return;
  violate(Promise::VersionInForce, Request.m_Id + ": version " +
                                       std::to_string(Request.m_Version) +
                                       " was not in force at " + Of.m_Name);
}

} // namespace corneldeck::tests
