#include "Bench/LeaseCluster.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;

namespace {

constexpr const char *LeaseName = "group";
constexpr const char *GateNode = "agent0";
constexpr Millis OrderEvery(400);
constexpr Millis OrderRunTime(50);
/// An order at least this often in the end.
constexpr Millis OrdersWithin = base::seconds(6);

} // namespace

LeaseCluster::LeaseCluster(const LeaseClusterSettings &Settings)
    : m_Settings(Settings), m_Cluster(Settings.m_Cluster),
      m_Random(Settings.m_Cluster.m_Seed) {
  for (const std::string &Entry : m_Cluster.entries())
    m_Contenders[Entry];
  tick();
}

void LeaseCluster::violate(const std::string &What) {
  m_Violations.push_back(
      "at " + std::to_string(m_Cluster.time().now().count()) + " ms: " + What);
}

void LeaseCluster::setWanted(const std::string &Entry, bool Wanted) {
  Contender &Target = m_Contenders.at(Entry);
  Target.m_Wanted = Wanted;
  if (Target.m_Holder)
    Target.m_Holder->setWanted(Wanted);
}

void LeaseCluster::setOrderDelay(const std::string &Entry, Millis Delay) {
  m_Contenders.at(Entry).m_OrderDelay = Delay;
}

void LeaseCluster::readNextClaimLate(Millis Late) {
  m_Cluster.log().setAppendHook([this, Late](const wire::LogRecord &Record) {
    if (!Record.has_lease())
      return;
    const std::string &Holder = Record.lease().holder();
    const std::string Entry = Holder.substr(0, Holder.find('#'));
    m_Cluster.pause(Entry);
    m_Cluster.time().after(Late, [this, Entry] {
      m_Cluster.resume(Entry);
      m_Cluster.pause(Entry);
    });
    m_Cluster.time().after(Late * 2,
                           [this, Entry] { m_Cluster.resume(Entry); });
    m_Cluster.log().setAppendHook({});
  });
}

void LeaseCluster::tick() {
  for (const std::string &Entry : m_Cluster.entries())
    contend(Entry);
  watchHolders();
  if (m_Cluster.time().now() >= m_NextOrderAt) {
    m_NextOrderAt = m_Cluster.time().now() + OrderEvery;
    giveOrders();
  }
  runGate();
  m_Cluster.time().after(m_Settings.m_Cluster.m_Tick, [this] { tick(); });
}

void LeaseCluster::contend(const std::string &Entry) {
  Contender &Target = m_Contenders.at(Entry);
  const std::uint64_t Incarnation = m_Cluster.incarnation(Entry);
  if (Incarnation == Target.m_Incarnation)
    return;
  Target.m_Incarnation = Incarnation;
  Target.m_Holder.reset();
  if (Incarnation == 0)
    return;
  lease::LeaseSettings Settings;
  Settings.m_Name = LeaseName;
  Settings.m_InjectTermFromRead = m_Settings.m_PlantCountFromAnswer;
  Target.m_Holder = m_Cluster.core(Entry)->addLeaseHolder(std::move(Settings));
  Target.m_Holder->setWanted(Target.m_Wanted);
}

std::string LeaseCluster::holder() {
  for (const auto &[Entry, Known] : m_Contenders)
    if (Known.m_Holder && m_Cluster.incarnation(Entry) == Known.m_Incarnation &&
        Known.m_Holder->fencingNumber(m_Cluster.localTime(Entry)))
      return Entry;
  return "";
}

void LeaseCluster::watchHolders() {
  const Millis Now = m_Cluster.time().now();
  std::size_t Holders = 0;
  for (const auto &[Entry, Known] : m_Contenders)
    if (Known.m_Holder &&
        Known.m_Holder->fencingNumber(m_Cluster.localTime(Entry)))
      ++Holders;
  if (Holders > 1)
    violate("two entries hold the lease");
  if (Holders > 0)
    m_HeldAt = Now;
  m_Vacancy = std::max(m_Vacancy, Now - m_HeldAt);
}

void LeaseCluster::clearVacancy() {
  m_Vacancy = Millis(0);
  m_HeldAt = m_Cluster.time().now();
}

void LeaseCluster::giveOrders() {
  for (const auto &[Entry, Known] : m_Contenders) {
    if (!Known.m_Holder || m_Cluster.isPaused(Entry))
      continue;
    const auto Number =
        Known.m_Holder->fencingNumber(m_Cluster.localTime(Entry));
    if (!Number)
      continue;
    const lease::Order Given{"order" + std::to_string(m_NextOrder++), LeaseName,
                             *Number};
    m_Cluster.time().after(Known.m_OrderDelay, [this, Entry = Entry, Given] {
      m_Cluster.network().send(Entry, GateNode, [this, Given] {
        m_Cluster.deliver(GateNode, [this, Given] {
          if (gateRuns())
            m_Gate->submit(m_Cluster.localTime(GateNode), Given);
        });
      });
    });
  }
}

void LeaseCluster::runGate() {
  node::ControlCore *Core = m_Cluster.core(GateNode);
  if (!Core || m_Cluster.isPaused(GateNode))
    return;
  const Millis Now = m_Cluster.localTime(GateNode);
  if (!gateRuns()) {
    m_GateIncarnation = m_Cluster.incarnation(GateNode);
    ++m_Connection;
    lease::GateSettings Settings;
    Settings.m_InjectNoSettle = m_Settings.m_PlantNoSettle;
    m_Gate = std::make_unique<lease::OrderGate>(Settings, Now);
  }
  const lease::GateActions Actions = m_Gate->tick(
      Now, Core->follower().leases(), Core->follower().currentAsOf());
  if (Actions.m_ReadLog)
    Core->requestRead();
  for (const lease::Order &Given : Actions.m_Write)
    write(Given);
  if (Actions.m_CloseConnection)
    loseEngineConnection();
}

bool LeaseCluster::gateRuns() const {
  const std::uint64_t Running = m_Cluster.incarnation(GateNode);
  return m_Gate && Running != 0 && Running == m_GateIncarnation;
}

void LeaseCluster::loseEngineConnection() {
  ++m_Connection;
  if (gateRuns())
    m_Cluster.deliver(GateNode, [this] {
      m_Gate->onConnectionClosed(m_Cluster.localTime(GateNode));
    });
}

void LeaseCluster::write(const lease::Order &Given) {
  const auto Delay = static_cast<std::int64_t>(
      m_Random.below(static_cast<std::uint64_t>(m_EngineDelay.count()) + 1));
  m_Cluster.time().after(
      Millis(Delay),
      [this, Given, Connection = m_Connection] { begin(Given, Connection); });
}

void LeaseCluster::begin(const lease::Order &Given, std::uint64_t Connection) {
  // The engine may begin an order even if its connection has closed since.
  ++m_OrdersRun;
  m_LastOrderAt = m_Cluster.time().now();
  if (Given.m_FencingNumber < m_HighestBegun) {
    ++m_OutOfTurn;
    violate("the engine began " + Given.m_Id + " of holder " +
            std::to_string(Given.m_FencingNumber) + " after one of holder " +
            std::to_string(m_HighestBegun));
  }
  m_HighestBegun = std::max(m_HighestBegun, Given.m_FencingNumber);
  m_Cluster.time().after(OrderRunTime, [this, Given, Connection] {
    if (Connection == m_Connection && gateRuns())
      m_Cluster.deliver(GateNode,
                        [this, Given] { m_Gate->onConfirmed(Given.m_Id); });
  });
}

void LeaseCluster::checkEnd() {
  if (holder().empty())
    violate("nobody holds the lease in the end");
  if (m_LastOrderAt + OrdersWithin < m_Cluster.time().now())
    violate("no order ran in the end");
}

} // namespace corneldeck::bench
