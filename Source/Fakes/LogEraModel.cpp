#include "Fakes/LogEraModel.h"

#include <map>
#include <utility>

namespace corneldeck::fakes {

using feed::KeyedRecord;
using feed::KeyedState;

namespace {

/// Writers write again within this number of steps after a return of the log.
constexpr int RewriteSteps = 10;
/// Minimum number of steps between two returns.
constexpr int MinEraSteps = 40;

std::string name(std::size_t Key) { return "k" + std::to_string(Key); }

} // namespace

LogEraModel::LogEraModel(std::uint64_t Seed, LogEraPlant Plant)
    : m_Rng(Seed), m_Plant(Plant) {
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    restart(Node);
  for (std::size_t Key = 0; Key < Keys; ++Key)
    write(Key, true);
}

void LogEraModel::endStep() {
  for (NodeState &Each : m_Nodes)
    check(Each);
  ++m_Step;
  for (std::size_t Key = 0; Key < Keys; ++Key)
    if (m_WriteAgainAt[Key] == m_Step)
      append(Key);
}

void LogEraModel::restart(std::size_t Node) {
  NodeState &Of = m_Nodes[Node];
  Of = {};
  KeyedState::IsOlder IsOlder;
  if (m_Plant != LogEraPlant::IgnoreOrder)
    IsOlder = [](const std::string &, const std::string &Value,
                 const std::string &Than) {
      return std::stoul(Value) < std::stoul(Than);
    };
  Of.m_State = std::make_unique<KeyedState>(
      [](const std::string &, const std::string &Before,
         const std::string &After) { return Before != After; },
      IsOlder);
}

void LogEraModel::append(std::size_t Key) {
  KeyedRecord Record{m_Log.size(), name(Key), std::nullopt};
  if (m_Writers[Key].m_IsLive)
    Record.m_Value = std::to_string(m_Writers[Key].m_Number);
  m_Log.push_back(Record);
}

void LogEraModel::write(std::size_t Key, bool IsLive) {
  Writer &Of = m_Writers[Key];
  ++Of.m_Number;
  if (!IsLive)
    Of.m_Deleted = Of.m_Number;
  Of.m_IsLive = IsLive;
  append(Key);
}

void LogEraModel::returnLog() {
  if (!m_Copy || m_Step - m_ReturnedAt < MinEraSteps)
    return;
  m_Log = *std::exchange(m_Copy, std::nullopt);
  ++m_Era;
  m_ReturnedAt = m_Step;
  for (std::size_t Key = 0; Key < Keys; ++Key)
    m_WriteAgainAt[Key] =
        m_Step + 1 + static_cast<int>(m_Rng.below(RewriteSteps));
}

void LogEraModel::read(std::size_t Node) {
  NodeState &Of = m_Nodes[Node];
  const bool IsSnapshotDue =
      Of.m_Era != m_Era || Of.m_Next > m_Log.size() ||
      (Of.m_IsReloadDue && m_Step - Of.m_EraStartedAt > KeepSteps);
  if (IsSnapshotDue) {
    readSnapshot(Of);
    return;
  }
  for (; Of.m_Next < m_Log.size(); ++Of.m_Next)
    Of.m_State->apply(stamped(m_Log[Of.m_Next]));
}

void LogEraModel::readSnapshot(NodeState &Of) {
  if (Of.m_Era != m_Era)
    Of.m_EraStartedAt = m_Step;
  Of.m_Era = m_Era;
  Of.m_Next = m_Log.size();
  std::map<std::string, KeyedRecord> Newest;
  for (const KeyedRecord &Each : m_Log) {
    if (Each.m_Value)
      Newest[Each.m_Key] = stamped(Each);
    else
      Newest.erase(Each.m_Key);
  }
  std::vector<KeyedRecord> Records;
  Records.reserve(Newest.size());
  for (const auto &[Key, Each] : Newest)
    Records.push_back(Each);
  const bool IsKept = Of.m_State->coverage().m_AllKeys.m_Era < era() &&
                      m_Step - Of.m_EraStartedAt <= KeepSteps &&
                      m_Plant != LogEraPlant::DropMissing;
  Of.m_State->applySnapshot(Records, {era(), m_Log.size()},
                            IsKept ? KeyedState::MissingKeys::Keep
                                   : KeyedState::MissingKeys::Delete);
  Of.m_IsReloadDue = IsKept && m_Plant != LogEraPlant::NeverReload;
}

std::uint64_t LogEraModel::era() const {
  return m_Plant == LogEraPlant::IgnoreEra ? 0 : m_Era;
}

KeyedRecord LogEraModel::stamped(KeyedRecord Record) const {
  Record.m_Era = era();
  return Record;
}

void LogEraModel::copyState(std::size_t To, std::size_t From, bool IsLate) {
  NodeState &Receiver = m_Nodes[To];
  const NodeState &Sender = m_Nodes[From];
  if (Receiver.m_Late) {
    merge(Receiver, *std::exchange(Receiver.m_Late, std::nullopt));
    return;
  }
  if (!Sender.m_State->isLoaded() ||
      (Receiver.m_State->isLoaded() && Sender.m_State->contentPosition() <=
                                           Receiver.m_State->contentPosition()))
    return;
  Message Sent = message(Sender);
  if (IsLate)
    Receiver.m_Late = std::move(Sent);
  else
    merge(Receiver, Sent);
}

LogEraModel::Message LogEraModel::message(const NodeState &From) {
  return {From.m_State->records(), From.m_State->contentPosition(),
          From.m_State->coverage()};
}

void LogEraModel::merge(NodeState &To, const Message &Sent) {
  To.m_State->mergeRecords(Sent.m_Records, Sent.m_Position, Sent.m_Covered);
}

void LogEraModel::check(NodeState &Of) {
  const auto Values = Of.m_State->values();
  for (std::size_t Key = 0; Key < Keys; ++Key) {
    const auto Found = Values.find(name(Key));
    unsigned &Seen = Of.m_Seen[Key];
    if (Found != Values.end()) {
      const auto Number = static_cast<unsigned>(std::stoul(Found->second));
      m_Violations += Number < Seen ? 1 : 0;
      Seen = Number;
    } else if (Seen > m_Writers[Key].m_Deleted) {
      ++m_Violations;
      Seen = 0;
    }
  }
}

void LogEraModel::converge() {
  m_Step += KeepSteps;
  for (std::size_t Key = 0; Key < Keys; ++Key)
    append(Key);
  constexpr std::size_t Readers = 2;
  for (int Round = 0; Round < 2; ++Round) {
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      if (Node < Readers || m_Nodes[Node].m_IsReloadDue)
        read(Node);
    m_Step += KeepSteps + 1;
  }
  for (int Round = 0; Round < 3; ++Round)
    for (NodeState &To : m_Nodes) {
      To.m_Late.reset();
      for (const NodeState &From : m_Nodes)
        if (From.m_State->contentPosition() > To.m_State->contentPosition())
          merge(To, message(From));
    }
  for (const NodeState &Of : m_Nodes) {
    const auto Values = Of.m_State->values();
    for (std::size_t Key = 0; Key < Keys; ++Key) {
      const auto Found = Values.find(name(Key));
      const std::string Has = Found == Values.end() ? "" : Found->second;
      const Writer &Wrote = m_Writers[Key];
      m_Violations +=
          Has != (Wrote.m_IsLive ? std::to_string(Wrote.m_Number) : "");
    }
  }
}

} // namespace corneldeck::fakes
