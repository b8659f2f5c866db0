#include "Catalogue/Follower.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::catalogue {

namespace {

/// Each node delays its snapshot by a pseudo-random time of up to the snapshot
/// interval divided by this, so that usually only one node writes it.
constexpr std::int64_t SnapshotSpreadDivisor = 4;

/// Delay before another snapshot is appended if the last one has not been read
/// back.
constexpr base::Millis SnapshotRetryInterval = base::seconds(10);

} // namespace

Follower::Follower(FollowerSettings Settings, base::Millis Now)
    : m_Settings(std::move(Settings)), m_Freshness(m_Settings.m_Freshness, Now),
      m_LastSnapshot(Now) {}

void Follower::setPeers(const std::vector<std::string> &Peers) {
  m_Freshness.setPeers(Peers);
}

bool Follower::isBehind() const {
  return !m_Loaded || m_State.offset() < m_Freshness.highestKnownOffset();
}

FollowerActions Follower::tick(base::Millis Now) {
  FollowerActions Actions;
  expireReads(Now, Actions);
  const bool ImmediateInFlight =
      std::any_of(m_ReadsInFlight.begin(), m_ReadsInFlight.end(),
                  [](const auto &Read) { return Read.second.m_Immediate; });
  if (m_ImmediateReadRequested && !ImmediateInFlight) {
    m_ImmediateReadRequested = false;
    sendRead(Now, base::Millis(0), Actions);
  } else if (m_ReadsInFlight.empty() && Now >= m_NextRead) {
    const bool Wait = m_LogReachable && !isBehind();
    sendRead(Now, Wait ? m_Settings.m_LongPollTimeout : base::Millis(0),
             Actions);
  }
  requestFromPeer(Now, Actions);
  writeSnapshot(Now, Actions);
  startAdmissionIfReady(Now);
  return Actions;
}

void Follower::startAdmissionIfReady(base::Millis Now) {
  const bool ReadToEnd = m_CurrentAsOf.count() >= 0;
  m_AdmissionStarted =
      m_AdmissionStarted ||
      (m_Loaded && m_Freshness.mayStartAdmission(Now, ReadToEnd));
}

void Follower::sendRead(base::Millis Now, base::Millis Wait,
                        FollowerActions &Actions) {
  ReadRequest Request;
  Request.m_Id = m_NextReadId++;
  Request.m_From = m_NextReadOffset;
  Request.m_Limit = m_Settings.m_ReadLimit;
  Request.m_Wait = Wait;
  m_ReadsInFlight[Request.m_Id] = {Now, Now + Wait + m_Settings.m_ReadTimeout,
                                   Wait == base::Millis(0)};
  Actions.m_Reads.push_back(Request);
}

void Follower::expireReads(base::Millis Now, FollowerActions &Actions) {
  const auto Expired = std::erase_if(m_ReadsInFlight, [&](const auto &Read) {
    return Now >= Read.second.m_Deadline;
  });
  if (Expired == 0)
    return;
  setLogReachable(false, Actions);
  m_NextRead = Now + m_Settings.m_RetryDelay;
}

void Follower::setLogReachable(bool Reachable, FollowerActions &Actions) {
  if (m_LogStateKnown && m_LogReachable == Reachable)
    return;
  if (m_LogStateKnown || !Reachable)
    Actions.m_Events.push_back(Reachable ? FollowerEvent::LogAvailable
                                         : FollowerEvent::LogUnavailable);
  m_LogStateKnown = true;
  m_LogReachable = Reachable;
}

FollowerActions
Follower::onReadCompleted(base::Millis Now, std::uint64_t ReadId,
                          const base::Result<ReadResponse> &Response) {
  FollowerActions Actions;
  const auto Found = m_ReadsInFlight.find(ReadId);
  if (Found == m_ReadsInFlight.end())
    return Actions;
  const base::Millis SentAt = Found->second.m_SentAt;
  m_ReadsInFlight.erase(Found);
  if (!Response) {
    setLogReachable(false, Actions);
    m_NextRead = Now + m_Settings.m_RetryDelay;
    return Actions;
  }
  setLogReachable(true, Actions);
  m_NextRead = Now;
  m_Freshness.onLogOffset(Now, Response->m_Next - 1);
  processRead(Now, *Response, Actions);
  if (m_Loaded && m_State.offset() + 1 >= Response->m_Next)
    m_CurrentAsOf = std::max(m_CurrentAsOf, SentAt);
  else if (Response->m_Records.empty())
    m_NextRead = Now + m_Settings.m_RetryDelay;
  startAdmissionIfReady(Now);
  return Actions;
}

void Follower::processRead(base::Millis Now, const ReadResponse &Response,
                           FollowerActions &Actions) {
  if (!m_Loaded && Response.m_Oldest == 1)
    m_Loaded = true;
  if (m_Settings.m_InjectedDefects.m_SkipGap &&
      Response.m_Oldest > m_State.offset() + 1) {
    m_Loaded = true;
    wire::LogRecord Empty;
    m_State.apply(Response.m_Oldest - 1, Empty);
  }
  if (Response.m_Oldest > m_NextReadOffset) {
    m_Pending.clear();
    m_NextReadOffset = Response.m_Oldest;
  }
  for (const PositionedRecord &Item : Response.m_Records) {
    if (Item.m_Offset != m_NextReadOffset)
      continue;
    m_Pending[Item.m_Offset] = Item.m_Record;
    ++m_NextReadOffset;
  }
  applyPending(Now, Actions);
  const bool AtEnd = m_NextReadOffset >= Response.m_Next;
  const bool HasGap = !m_Loaded || m_State.offset() + 1 < m_NextReadOffset;
  if (!HasGap)
    m_GapReported = false;
  if (AtEnd && HasGap && !m_GapReported) {
    m_GapReported = true;
    Actions.m_Events.push_back(FollowerEvent::LogGap);
  }
}

void Follower::applyPending(base::Millis Now, FollowerActions &Actions) {
  if (m_Pending.empty())
    return;
  const bool Contiguous =
      m_Loaded && m_Pending.begin()->first <= m_State.offset() + 1;
  if (!Contiguous)
    loadPendingSnapshot(Now, Actions);
  m_Pending.erase(m_Pending.begin(), m_Pending.upper_bound(m_State.offset()));
  while (m_Loaded && !m_Pending.empty() &&
         m_Pending.begin()->first == m_State.offset() + 1) {
    auto First = m_Pending.extract(m_Pending.begin());
    applyOne(Now, {First.key(), std::move(First.mapped())});
    Actions.m_StateChanged = true;
  }
  reportApplied(Now);
}

void Follower::loadPendingSnapshot(base::Millis Now, FollowerActions &Actions) {
  const std::uint64_t First = m_Pending.begin()->first;
  const wire::CatalogueSnapshot *Best = nullptr;
  for (const auto &[Offset, Record] : m_Pending) {
    if (!Record.has_snapshot())
      continue;
    const wire::CatalogueSnapshot &Candidate = Record.snapshot();
    const bool ClosesGap = Candidate.covers_offset() + 1 >= First &&
                           Candidate.covers_offset() < Offset;
    const bool Newer =
        !m_Loaded || Candidate.covers_offset() > m_State.offset();
    if (ClosesGap && Newer)
      Best = &Candidate;
  }
  if (!Best)
    return;
  load(Now, *Best);
  Actions.m_Events.push_back(FollowerEvent::SnapshotLoaded);
  Actions.m_StateChanged = true;
}

void Follower::load(base::Millis Now, const wire::CatalogueSnapshot &Snapshot) {
  m_State.load(Snapshot);
  m_Leases.load(Now, Snapshot);
  m_Loaded = true;
  m_NextReadOffset = std::max(m_NextReadOffset, m_State.offset() + 1);
  reportApplied(Now);
}

void Follower::applyOne(base::Millis Now, const PositionedRecord &Item) {
  const wire::LogRecord &Record = Item.m_Record;
  m_State.apply(Item.m_Offset, Record);
  if (Record.has_lease())
    m_Leases.apply(Now, Item.m_Offset, Record.append_id(), Record.lease());
  if (!Record.has_snapshot())
    return;
  m_LastSnapshot = Now;
  m_LastSnapshotOffset = Item.m_Offset;
  if (m_Settings.m_InjectedDefects.m_LoadOldSnapshots) {
    load(Now, Record.snapshot());
    m_State.apply(Item.m_Offset, wire::LogRecord());
  }
}

void Follower::reportApplied(base::Millis Now) {
  if (m_Loaded)
    m_Freshness.onApplied(Now, m_State.offset());
}

void Follower::onPeerOffsets(base::Millis Now, const std::string &Peer,
                             std::uint64_t CatalogueOffset,
                             std::uint64_t LogOffset) {
  m_PeerOffsets[Peer] = CatalogueOffset;
  m_Freshness.onPeerOffset(Now, Peer, std::max(CatalogueOffset, LogOffset));
}

void Follower::requestFromPeer(base::Millis Now, FollowerActions &Actions) {
  const bool LogHelps = m_LogReachable && !m_GapReported;
  if (!m_LogStateKnown || LogHelps || !isBehind() || Now < m_NextPeerRequest)
    return;
  const auto Best = std::max_element(
      m_PeerOffsets.begin(), m_PeerOffsets.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Best == m_PeerOffsets.end() || Best->second <= m_State.offset())
    return;
  m_NextPeerRequest = Now + m_Settings.m_PeerRequestInterval;
  Actions.m_CatalogueRequestPeer = Best->first;
  // A peer that failed sends no newer offset, so the next request must go to
  // another one.
  m_PeerOffsets.erase(Best);
}

std::optional<wire::CatalogueReply>
Follower::makeCatalogueReply(const wire::CatalogueAsk &Request) const {
  if (!m_Loaded || m_State.offset() <= Request.have_offset())
    return std::nullopt;
  wire::CatalogueReply Reply;
  m_State.save(*Reply.mutable_snapshot());
  m_Leases.save(*Reply.mutable_snapshot());
  return Reply;
}

FollowerActions
Follower::onPeerSnapshot(base::Millis Now,
                         const wire::CatalogueSnapshot &Snapshot) {
  FollowerActions Actions;
  const bool Newer =
      Snapshot.covers_offset() > m_State.offset() ||
      (!m_Loaded && Snapshot.covers_offset() == m_State.offset());
  if (!Newer)
    return Actions;
  load(Now, Snapshot);
  applyPending(Now, Actions);
  Actions.m_Events.push_back(FollowerEvent::LoadedFromPeer);
  Actions.m_StateChanged = true;
  return Actions;
}

FollowerActions Follower::onLogTail(base::Millis Now,
                                    const wire::LogTail &Tail) {
  FollowerActions Actions;
  if (Tail.records().empty() || Tail.first_offset() == 0)
    return Actions;
  std::uint64_t Offset = Tail.first_offset();
  for (const wire::LogRecord &Record : Tail.records()) {
    if (Offset == m_NextReadOffset && m_Loaded) {
      m_Pending[Offset] = Record;
      ++m_NextReadOffset;
    }
    ++Offset;
  }
  applyPending(Now, Actions);
  return Actions;
}

void Follower::writeSnapshot(base::Millis Now, FollowerActions &Actions) {
  const bool CaughtUp = m_Loaded && m_LogReachable && !isBehind();
  if (!m_Settings.m_WritesSnapshots || !CaughtUp || m_State.offset() == 0 ||
      Now < m_NextSnapshotAttempt)
    return;
  const std::int64_t Spread =
      m_Settings.m_SnapshotInterval.count() / SnapshotSpreadDivisor;
  const std::uint64_t Draw =
      base::hash64(m_Settings.m_Node, m_LastSnapshotOffset);
  const base::Millis Due = m_LastSnapshot + m_Settings.m_SnapshotInterval +
                           base::Millis(static_cast<std::int64_t>(
                               Draw % static_cast<std::uint64_t>(
                                          std::max<std::int64_t>(Spread, 1))));
  if (Now < Due)
    return;
  m_NextSnapshotAttempt = Now + SnapshotRetryInterval;
  wire::LogRecord Record;
  Record.set_append_id(m_Settings.m_Node + "/snapshot/" +
                       std::to_string(m_State.offset()) + "/" +
                       std::to_string(Now.count()));
  Record.set_writer(m_Settings.m_Node);
  m_State.save(*Record.mutable_snapshot());
  m_Leases.save(*Record.mutable_snapshot());
  Actions.m_Append = std::move(Record);
}

bool Follower::isStale(base::Millis Now) const {
  return m_AdmissionStarted && m_Freshness.isStale(Now);
}

bool Follower::ready(base::Millis Now) const {
  return m_AdmissionStarted && !m_Freshness.isStale(Now);
}

} // namespace corneldeck::catalogue
