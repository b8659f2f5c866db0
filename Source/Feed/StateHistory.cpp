#include "Feed/StateHistory.h"

#include <algorithm>

namespace corneldeck::feed {

namespace {

constexpr std::size_t MaxStates = 4;
/// Older states are dropped above this size; the newest two are always kept.
constexpr std::size_t MaxBytes = std::size_t{16} << 20U;
constexpr std::size_t MinStates = 2;
constexpr std::size_t MaxPayloads = MaxStates + 1;

} // namespace

void StateHistory::add(StateSnapshot State, PayloadPtr Received) {
  if (!m_States.empty() && m_States.front()->m_Hash == State.m_Hash)
    return;
  std::erase_if(m_States, [&State](const SnapshotPtr &Each) {
    return Each->m_Hash == State.m_Hash;
  });
  m_States.push_front(std::make_shared<const StateSnapshot>(std::move(State)));
  std::size_t Bytes = 0;
  for (std::size_t Index = 0; Index < m_States.size(); ++Index) {
    Bytes += m_States[Index]->m_Bytes.size();
    if (Index >= MinStates && (Index >= MaxStates || Bytes > MaxBytes)) {
      m_States.resize(Index);
      break;
    }
  }
  m_Payloads.clear();
  if (Received)
    m_Payloads.push_back(std::move(Received));
}

std::vector<std::uint64_t> StateHistory::hashes() const {
  std::vector<std::uint64_t> Hashes;
  for (const SnapshotPtr &Each : m_States)
    Hashes.push_back(Each->m_Hash);
  return Hashes;
}

StateHistory::SnapshotPtr StateHistory::find(std::uint64_t Hash) const {
  for (const SnapshotPtr &Each : m_States)
    if (Each->m_Hash == Hash)
      return Each;
  return nullptr;
}

StateHistory::PayloadPtr
StateHistory::payload(const std::vector<std::uint64_t> &Bases) {
  if (m_States.empty())
    return nullptr;
  SnapshotPtr Base;
  for (const std::uint64_t Hash : Bases)
    if (!Base)
      Base = find(Hash);
  const std::uint64_t BaseHash = Base ? Base->m_Hash : 0;
  for (const PayloadPtr &Each : m_Payloads)
    if (Each->m_Base == BaseHash)
      return Each;
  if (m_Payloads.size() == MaxPayloads)
    m_Payloads.erase(m_Payloads.begin());
  m_Payloads.push_back(std::make_shared<const StatePayload>(
      encodeState(*m_States.front(), Base.get())));
  return m_Payloads.back();
}

} // namespace corneldeck::feed
