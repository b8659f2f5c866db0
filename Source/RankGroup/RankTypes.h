#ifndef CORNELDECK_RANKGROUP_RANKTYPES_H
#define CORNELDECK_RANKGROUP_RANKTYPES_H

#include "Base/Events.h"
#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace corneldeck::rankgroup {

using RankIndex = std::uint32_t;
using Step = std::uint64_t;
using MapBody = std::shared_ptr<const ExpertMap>;

/// Names one expert map, ordered by fencing number, then version.
struct MapId {
  std::uint64_t m_FencingNumber = 0;
  std::uint64_t m_Version = 0;
  /// Hash of the proposal, since a restarted proposer may use a version twice.
  std::uint64_t m_Digest = 0;

  bool operator==(const MapId &) const = default;
  bool operator<(const MapId &Other) const {
    return std::tie(m_FencingNumber, m_Version, m_Digest) <
           std::tie(Other.m_FencingNumber, Other.m_Version, Other.m_Digest);
  }
};

/// One joining of all ranks' engines into a running group.
struct Epoch {
  std::uint64_t m_Number = 0;
  /// Hash of what every rank announced before it joined.
  std::uint64_t m_View = 0;

  bool operator==(const Epoch &) const = default;
};

/// How the ranks' engines join: who, on which map and from which step.
struct Formation {
  Epoch m_Epoch;
  MapId m_Map;
  Step m_FirstStep = 0;
  /// Incarnations of the engines by rank.
  std::vector<std::uint64_t> m_Members;

  bool operator==(const Formation &) const = default;
};

/// What an engine keeps of its rank group. It outlives the agent, so it is
/// where a vote is remembered.
struct EngineState {
  /// Differs for every start of the engine.
  std::uint64_t m_Incarnation = 0;
  /// The last formation that it joined.
  Formation m_Formation;
  /// False before the first join and after a leave: it runs no step then.
  bool m_Joined = false;
  MapId m_Map;
  MapBody m_Body;
  /// The map that it has promised to wait for at m_PendingStep.
  MapId m_PendingMap;
  Step m_PendingStep = 0;
  bool m_HasPending = false;
  /// Set once m_PendingMap is committed; it then takes effect at its step.
  bool m_PendingCommitted = false;
  MapBody m_PendingBody;
  /// Highest proposal that it was armed for or told to refuse in this epoch.
  MapId m_HighestAnswered;
  Step m_NextStep = 0;
};

/// What an agent orders its engine to do. Each order names its epoch and map
/// and is harmless when it comes late or twice.
enum class OrderKind {
  Arm,    ///< Promise not to run m_Step before the map's outcome is known.
  Refuse, ///< Never be armed for m_Map or an older proposal.
  Commit, ///< Use m_Map from its step on.
  Abort,  ///< Forget m_Map and go on with the present one.
  Leave,  ///< Run no further step of this epoch.
  Join    ///< Take part in m_Formation.
};

struct EngineOrder {
  OrderKind m_Kind = OrderKind::Refuse;
  Epoch m_Epoch;
  MapId m_Map;
  Step m_Step = 0;
  /// Arm without the promise to wait; only proofs clear it.
  bool m_WaitAtStep = true;
  Formation m_Formation = {};
  MapBody m_Body = {};
};

/// A new map, to be used from a step on.
struct Proposal {
  MapId m_Id;
  /// The map that it replaces.
  MapId m_Base;
  Epoch m_Epoch;
  Step m_Step = 0;
  MapBody m_Body;
  std::string m_Reason;
};

/// \returns a hash of what \p Wanted proposes, for its MapId.
std::uint64_t digest(const Proposal &Value);

enum class VoteValue {
  None,     ///< The proposal is not known; send it again.
  Loaded,   ///< Ready to vote; promises nothing.
  Yes,      ///< Final: the engine is armed.
  No,       ///< Final: the engine will never be armed for it.
  Committed ///< All voted yes.
};

struct Vote {
  MapId m_Id;
  Epoch m_Epoch;
  std::uint64_t m_Incarnation = 0;
  VoteValue m_Value = VoteValue::None;
};

/// Asks a rank for its vote and for what it knows of the outcome.
struct Query {
  MapId m_Id;
  Epoch m_Epoch;
  /// First step of the proposed map.
  Step m_Step = 0;
};

/// What a rank announces of its engine.
struct Status {
  std::uint64_t m_Incarnation = 0;
  Epoch m_Epoch;
  bool m_Joined = false;
  MapId m_Map;
  Step m_NextStep = 0;
  /// The formation that it is in, or that it would join.
  Formation m_Formation;
  MapBody m_Body;
};

struct Message {
  RankIndex m_From = 0;
  std::variant<Status, Proposal, Vote, Query> m_Body;
};

struct OutgoingMessage {
  RankIndex m_To = 0;
  Message m_Message;
};

/// Asks for the experts that this rank lacks for a map.
struct LoadRequest {
  MapId m_Map;
  MapBody m_Body;
};

/// One event for the time line.
struct TimelineEntry {
  base::EventId m_Event = base::EventId::MapProposed;
  MapId m_Map;
  std::string m_Reason;
};

/// What a state machine wants done, in this order: orders, loads, messages.
struct Actions {
  std::vector<EngineOrder> m_Orders;
  std::vector<LoadRequest> m_Loads;
  std::vector<OutgoingMessage> m_Messages;
  std::vector<TimelineEntry> m_TimelineEntries;

  /// Adds a message.
  template <typename Body>
  void send(RankIndex From, RankIndex To, const Body &Content) {
    OutgoingMessage &Added = m_Messages.emplace_back();
    Added.m_To = To;
    Added.m_Message.m_From = From;
    Added.m_Message.m_Body.template emplace<Body>(Content);
  }
};

} // namespace corneldeck::rankgroup

#endif
