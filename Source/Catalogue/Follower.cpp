#include "Catalogue/Follower.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::catalogue {

namespace {

/// Writers of snapshots spread over this part of the interval, so that mostly
/// one of them writes.
constexpr std::int64_t SnapshotSpread = 4;

/// How long to wait for an appended snapshot to be read.
constexpr base::Millis SnapshotRetry = base::seconds(10);

} // namespace

Follower::Follower(FollowerSettings Settings, base::Millis Now)
    : m_Settings(std::move(Settings)), m_Freshness(m_Settings.m_Freshness, Now),
      m_LastSnapshot(Now) {}

void Follower::setPeers(const std::vector<std::string> &Peers) {
  m_Freshness.setPeers(Peers);
}

bool Follower::missing() const {
  return !m_Loaded || m_State.offset() < m_Freshness.highestKnownOffset();
}

FollowerActions Follower::tick(base::Millis Now) {
  FollowerActions Actions;
  expireReads(Now, Actions);
  const bool QuickOpen =
      std::any_of(m_OpenReads.begin(), m_OpenReads.end(),
                  [](const auto &Read) { return Read.second.m_Quick; });
  if (m_ReadNow && !QuickOpen) {
    m_ReadNow = false;
    sendRead(Now, base::Millis(0), Actions);
  } else if (m_OpenReads.empty() && Now >= m_NextRead) {
    const bool Wait = m_LogReachable && !missing();
    sendRead(Now, Wait ? m_Settings.m_LongPollTimeout : base::Millis(0),
             Actions);
  }
  askPeers(Now, Actions);
  writeSnapshot(Now, Actions);
  begin(Now);
  return Actions;
}

void Follower::begin(base::Millis Now) {
  const bool ReadToEnd = m_CurrentAsOf.count() >= 0;
  m_Begun =
      m_Begun || (m_Loaded && m_Freshness.mayStartAdmission(Now, ReadToEnd));
}

void Follower::sendRead(base::Millis Now, base::Millis Wait,
                        FollowerActions &Actions) {
  ReadRequest Request;
  Request.m_Id = m_NextReadId++;
  Request.m_From = m_Cursor;
  Request.m_Limit = m_Settings.m_ReadLimit;
  Request.m_Wait = Wait;
  m_OpenReads[Request.m_Id] = {Now, Now + Wait + m_Settings.m_ReadTimeout,
                               Wait == base::Millis(0)};
  Actions.m_Reads.push_back(Request);
}

void Follower::expireReads(base::Millis Now, FollowerActions &Actions) {
  const auto Expired = std::erase_if(m_OpenReads, [&](const auto &Read) {
    return Now >= Read.second.m_Deadline;
  });
  if (Expired == 0)
    return;
  setReachable(false, Actions);
  m_NextRead = Now + m_Settings.m_RetryDelay;
}

void Follower::setReachable(bool Reachable, FollowerActions &Actions) {
  if (m_LogTried && m_LogReachable == Reachable)
    return;
  if (m_LogTried || !Reachable)
    Actions.m_Events.push_back(Reachable ? FollowerEvent::LogAvailable
                                         : FollowerEvent::LogUnavailable);
  m_LogTried = true;
  m_LogReachable = Reachable;
}

FollowerActions
Follower::onReadCompleted(base::Millis Now, std::uint64_t ReadId,
                          const base::Result<ReadResponse> &Answer) {
  FollowerActions Actions;
  const auto Open = m_OpenReads.find(ReadId);
  if (Open == m_OpenReads.end())
    return Actions;
  const base::Millis SentAt = Open->second.m_SentAt;
  m_OpenReads.erase(Open);
  if (!Answer) {
    setReachable(false, Actions);
    m_NextRead = Now + m_Settings.m_RetryDelay;
    return Actions;
  }
  setReachable(true, Actions);
  m_NextRead = Now;
  m_Freshness.onLogOffset(Now, Answer->m_Next - 1);
  ingest(Now, *Answer, Actions);
  if (m_Loaded && m_State.offset() + 1 >= Answer->m_Next)
    m_CurrentAsOf = std::max(m_CurrentAsOf, SentAt);
  else if (Answer->m_Records.empty())
    m_NextRead = Now + m_Settings.m_RetryDelay;
  begin(Now);
  return Actions;
}

void Follower::ingest(base::Millis Now, const ReadResponse &Answer,
                      FollowerActions &Actions) {
  if (!m_Loaded && Answer.m_Oldest == 1)
    m_Loaded = true;
  if (m_Settings.m_InjectedDefects.m_SkipGap &&
      Answer.m_Oldest > m_State.offset() + 1) {
    m_Loaded = true;
    wire::LogRecord Nothing;
    m_State.apply(Answer.m_Oldest - 1, Nothing);
  }
  if (Answer.m_Oldest > m_Cursor) {
    m_Pending.clear();
    m_Cursor = Answer.m_Oldest;
  }
  for (const PositionedRecord &Item : Answer.m_Records) {
    if (Item.m_Offset != m_Cursor)
      continue;
    m_Pending[Item.m_Offset] = Item.m_Record;
    ++m_Cursor;
  }
  applyPending(Now, Actions);
  const bool AtEnd = m_Cursor >= Answer.m_Next;
  const bool Open = !m_Loaded || m_State.offset() + 1 < m_Cursor;
  if (!Open)
    m_GapReported = false;
  if (AtEnd && Open && !m_GapReported) {
    m_GapReported = true;
    Actions.m_Events.push_back(FollowerEvent::LogGap);
  }
}

void Follower::applyPending(base::Millis Now, FollowerActions &Actions) {
  if (m_Pending.empty())
    return;
  const bool Joined =
      m_Loaded && m_Pending.begin()->first <= m_State.offset() + 1;
  if (!Joined)
    loadFromPending(Now, Actions);
  m_Pending.erase(m_Pending.begin(), m_Pending.upper_bound(m_State.offset()));
  while (m_Loaded && !m_Pending.empty() &&
         m_Pending.begin()->first == m_State.offset() + 1) {
    auto First = m_Pending.extract(m_Pending.begin());
    applyOne(Now, {First.key(), std::move(First.mapped())});
    Actions.m_StateChanged = true;
  }
  noteApplied(Now);
}

void Follower::loadFromPending(base::Millis Now, FollowerActions &Actions) {
  const std::uint64_t First = m_Pending.begin()->first;
  const wire::CatalogueSnapshot *Best = nullptr;
  for (const auto &[Offset, Record] : m_Pending) {
    if (!Record.has_snapshot())
      continue;
    const wire::CatalogueSnapshot &Candidate = Record.snapshot();
    const bool Closes = Candidate.covers_offset() + 1 >= First &&
                        Candidate.covers_offset() < Offset;
    const bool Newer =
        !m_Loaded || Candidate.covers_offset() > m_State.offset();
    if (Closes && Newer)
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
  m_Cursor = std::max(m_Cursor, m_State.offset() + 1);
  noteApplied(Now);
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
  if (m_Settings.m_InjectedDefects.m_SnapshotUndoesLater) {
    load(Now, Record.snapshot());
    m_State.apply(Item.m_Offset, wire::LogRecord());
  }
}

void Follower::noteApplied(base::Millis Now) {
  if (m_Loaded)
    m_Freshness.onApplied(Now, m_State.offset());
}

void Follower::onPeerOffsets(base::Millis Now, const std::string &Peer,
                             std::uint64_t CatalogueOffset,
                             std::uint64_t LogOffset) {
  m_PeerOffsets[Peer] = CatalogueOffset;
  m_Freshness.onPeerOffset(Now, Peer, std::max(CatalogueOffset, LogOffset));
}

void Follower::askPeers(base::Millis Now, FollowerActions &Actions) {
  const bool LogHelps = m_LogReachable && !m_GapReported;
  if (!m_LogTried || LogHelps || !missing() || Now < m_NextAsk)
    return;
  const auto Best = std::max_element(
      m_PeerOffsets.begin(), m_PeerOffsets.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Best == m_PeerOffsets.end() || Best->second <= m_State.offset())
    return;
  m_NextAsk = Now + m_Settings.m_PeerRequestInterval;
  Actions.m_CatalogueRequestPeer = Best->first;
  // A peer that died keeps its last word; the next ask then goes elsewhere.
  m_PeerOffsets.erase(Best);
}

std::optional<wire::CatalogueReply>
Follower::makeCatalogueReply(const wire::CatalogueAsk &Ask) const {
  if (!m_Loaded || m_State.offset() <= Ask.have_offset())
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
    if (Offset == m_Cursor && m_Loaded) {
      m_Pending[Offset] = Record;
      ++m_Cursor;
    }
    ++Offset;
  }
  applyPending(Now, Actions);
  return Actions;
}

void Follower::writeSnapshot(base::Millis Now, FollowerActions &Actions) {
  const bool Caught = m_Loaded && m_LogReachable && !missing();
  if (!m_Settings.m_WritesSnapshots || !Caught || m_State.offset() == 0 ||
      Now < m_NextSnapshotTry)
    return;
  const std::int64_t Spread =
      m_Settings.m_SnapshotInterval.count() / SnapshotSpread;
  const std::uint64_t Draw =
      base::hash64(m_Settings.m_Node, m_LastSnapshotOffset);
  const base::Millis Due = m_LastSnapshot + m_Settings.m_SnapshotInterval +
                           base::Millis(static_cast<std::int64_t>(
                               Draw % static_cast<std::uint64_t>(
                                          std::max<std::int64_t>(Spread, 1))));
  if (Now < Due)
    return;
  m_NextSnapshotTry = Now + SnapshotRetry;
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
  return m_Begun && m_Freshness.isStale(Now);
}

bool Follower::ready(base::Millis Now) const {
  return m_Begun && !m_Freshness.isStale(Now);
}

} // namespace corneldeck::catalogue
