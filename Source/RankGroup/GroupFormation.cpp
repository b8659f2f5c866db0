#include "RankGroup/GroupFormation.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <string_view>

namespace corneldeck::rankgroup {

namespace {

/// \returns a number that only grows while an engine joins and leaves epochs,
/// to order the announcements of one incarnation.
std::uint64_t epochProgress(const Status &Value) {
  return 2 * Value.m_Epoch.m_Number + (Value.m_Joined ? 0 : 1);
}

std::uint64_t hashWords(const std::vector<std::uint64_t> &Words) {
  const auto *Bytes = reinterpret_cast<const char *>(Words.data());
  return base::hash64(
      std::string_view(Bytes, Words.size() * sizeof(std::uint64_t)));
}

} // namespace

GroupFormation::GroupFormation(Config Settings)
    : m_Config(Settings), m_Peers(Settings.m_Ranks) {}

Status GroupFormation::status() const {
  Status Result;
  Result.m_Incarnation = m_Engine->m_Incarnation;
  Result.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Result.m_Joined = m_Engine->m_Joined;
  Result.m_Map = m_Engine->m_Map;
  Result.m_Body = m_Engine->m_Body;
  if (m_Engine->m_Joined) {
    Result.m_Formation = m_Engine->m_Formation;
    return Result;
  }
  // Only sent while the engine has not joined: the step then does not change,
  // so all ranks compute the same first step.
  Result.m_NextStep = m_Engine->m_NextStep;
  if (m_Candidate)
    Result.m_Formation = *m_Candidate;
  return Result;
}

void GroupFormation::onEngineState(const EngineState &Engine, Actions &Out) {
  const bool Changed = !m_Engine ||
                       m_Engine->m_Incarnation != Engine.m_Incarnation ||
                       m_Engine->m_Joined != Engine.m_Joined ||
                       !(m_Engine->m_Formation == Engine.m_Formation);
  m_Engine = Engine;
  if (!Changed)
    return;
  m_Candidate.reset();
  m_Target.reset();
  announce(Out);
  if (!m_Engine->m_Joined) {
    tryFormGroup(Out);
    return;
  }
  for (RankIndex From = 0; From < m_Config.m_Ranks; ++From)
    if (m_Peers[From] && endsEpoch(From, *m_Peers[From])) {
      Out.m_Orders.push_back(
          {OrderKind::Leave, m_Engine->m_Formation.m_Epoch, {}});
      return;
    }
}

void GroupFormation::onStatus(RankIndex From, const Status &Received,
                              Actions &Out) {
  if (From >= m_Config.m_Ranks || From == m_Config.m_Rank)
    return;
  std::optional<Status> &Known = m_Peers[From];
  const bool Stale = Known && Known->m_Incarnation == Received.m_Incarnation &&
                     epochProgress(Received) < epochProgress(*Known);
  if (Stale)
    return;
  Known = Received;
  if (!m_Engine)
    return;
  if (!m_Engine->m_Joined) {
    tryFormGroup(Out);
    return;
  }
  if (endsEpoch(From, Received)) {
    Out.m_Orders.push_back(
        {OrderKind::Leave, m_Engine->m_Formation.m_Epoch, {}});
    return;
  }
  if (!Received.m_Joined)
    sendStatus(From, Out);
}

bool GroupFormation::endsEpoch(RankIndex From, const Status &Received) const {
  const Formation &Own = m_Engine->m_Formation;
  if (Received.m_Incarnation != Own.m_Members[From])
    return true;
  if (Received.m_Epoch.m_Number != Own.m_Epoch.m_Number)
    return Received.m_Epoch.m_Number > Own.m_Epoch.m_Number;
  return !Received.m_Joined || !(Received.m_Epoch == Own.m_Epoch);
}

void GroupFormation::tryFormGroup(Actions &Out) {
  if (const Status *Peer = joinedPeer()) {
    startLoading(Peer->m_Formation, Out);
    return;
  }
  computeCandidate(Out);
  if (m_Candidate && allAgree())
    startLoading(*m_Candidate, Out);
}

const Status *GroupFormation::joinedPeer() const {
  // A peer joins only after every rank, including this one, has announced the
  // same epoch, so it is safe to follow the peer.
  for (const std::optional<Status> &Peer : m_Peers) {
    if (!Peer || !Peer->m_Joined)
      continue;
    const Formation &PeerFormation = Peer->m_Formation;
    const bool Newer =
        PeerFormation.m_Epoch.m_Number > m_Engine->m_Formation.m_Epoch.m_Number;
    if (Newer && PeerFormation.m_Members.size() == m_Config.m_Ranks &&
        PeerFormation.m_Members[m_Config.m_Rank] == m_Engine->m_Incarnation)
      return &*Peer;
  }
  return nullptr;
}

void GroupFormation::computeCandidate(Actions &Out) {
  Formation Proposed;
  std::vector<std::uint64_t> View;
  for (RankIndex Rank = 0; Rank < m_Config.m_Ranks; ++Rank) {
    const bool Self = Rank == m_Config.m_Rank;
    if (!Self && (!m_Peers[Rank] || m_Peers[Rank]->m_Joined))
      return;
    const Status MemberStatus = Self ? status() : *m_Peers[Rank];
    Proposed.m_Members.push_back(MemberStatus.m_Incarnation);
    Proposed.m_Epoch.m_Number =
        std::max(Proposed.m_Epoch.m_Number, MemberStatus.m_Epoch.m_Number + 1);
    Proposed.m_FirstStep =
        std::max(Proposed.m_FirstStep, MemberStatus.m_NextStep + 1);
    if (Proposed.m_Map < MemberStatus.m_Map)
      Proposed.m_Map = MemberStatus.m_Map;
    View.push_back(MemberStatus.m_Epoch.m_Number);
    View.push_back(MemberStatus.m_Epoch.m_View);
  }
  encodeFormation(Proposed, View);
  Proposed.m_Epoch.m_View = hashWords(View);
  if (m_Candidate && *m_Candidate == Proposed)
    return;
  m_Candidate = Proposed;
  announce(Out);
}

bool GroupFormation::allAgree() const {
  for (RankIndex Rank = 0; Rank < m_Config.m_Ranks; ++Rank) {
    if (Rank == m_Config.m_Rank)
      continue;
    if (!m_Peers[Rank] || !(m_Peers[Rank]->m_Formation == *m_Candidate))
      return false;
  }
  return true;
}

void GroupFormation::startLoading(const Formation &Target, Actions &Out) {
  if (m_Target && *m_Target == Target)
    return;
  m_Target = Target;
  m_TargetLoaded = false;
  Out.m_Loads.push_back({Target.m_Map, findMapBody(Target.m_Map)});
}

void GroupFormation::onLoaded(MapId Id, bool Loaded, Actions &Out) {
  if (!m_Target || !m_Engine || m_Engine->m_Joined || !(m_Target->m_Map == Id))
    return;
  if (!Loaded) {
    m_Target.reset();
    return;
  }
  m_TargetLoaded = true;
  Out.m_Orders.push_back({OrderKind::Join, m_Target->m_Epoch, Id, 0, true,
                          *m_Target, findMapBody(Id)});
}

void GroupFormation::onTick(base::Millis Now, Actions &Out) {
  if (!m_Engine || Now - m_LastAnnounced < m_Config.m_AnnounceInterval)
    return;
  m_LastAnnounced = Now;
  announce(Out);
  if (m_Engine->m_Joined)
    return;
  tryFormGroup(Out);
  if (m_Target && m_TargetLoaded)
    onLoaded(m_Target->m_Map, true, Out);
}

void GroupFormation::announce(Actions &Out) const {
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To)
    if (To != m_Config.m_Rank)
      sendStatus(To, Out);
}

void GroupFormation::sendStatus(RankIndex To, Actions &Out) const {
  Status Sent = status();
  const std::optional<Status> &Peer = m_Peers[To];
  const bool SameEpoch =
      Sent.m_Joined && Peer && Peer->m_Joined && Peer->m_Epoch == Sent.m_Epoch;
  // A rank in the same epoch already has the formation and the map, which are
  // most of the message.
  if (SameEpoch) {
    Sent.m_Formation = Formation{};
    Sent.m_Body.reset();
  }
  Out.send(m_Config.m_Rank, To, Sent);
}

MapBody GroupFormation::findMapBody(MapId Id) const {
  if (m_Engine->m_Map == Id)
    return m_Engine->m_Body;
  for (const std::optional<Status> &Peer : m_Peers)
    if (Peer && Peer->m_Body && Peer->m_Map == Id)
      return Peer->m_Body;
  return nullptr;
}

void GroupFormation::encode(std::vector<std::uint64_t> &Words) const {
  const Formation None;
  encodeFormation(m_Candidate.value_or(None), Words);
  encodeFormation(m_Target.value_or(None), Words);
  Words.push_back(m_TargetLoaded ? 1 : 0);
  for (const std::optional<Status> &Peer : m_Peers) {
    Words.push_back(Peer ? 1 : 0);
    if (!Peer)
      continue;
    Words.push_back(Peer->m_Incarnation);
    Words.push_back(epochProgress(*Peer));
    Words.push_back(Peer->m_Epoch.m_View);
    Words.push_back(Peer->m_Map.m_FencingNumber);
    Words.push_back(Peer->m_Map.m_Version);
    Words.push_back(Peer->m_Map.m_Digest);
    Words.push_back(Peer->m_NextStep);
    encodeFormation(Peer->m_Formation, Words);
  }
}

} // namespace corneldeck::rankgroup
