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
/// Contents of an expert map, shared between messages and states.
using MapBody = std::shared_ptr<const ExpertMap>;

/// Identifies one expert map. Ordered by fencing number, then version.
struct MapId {
  std::uint64_t m_FencingNumber = 0;
  std::uint64_t m_Version = 0;
  /// Hash of the proposal. A restarted proposer may use a version twice, and
  /// the hash tells the maps apart.
  std::uint64_t m_Digest = 0;

  bool operator==(const MapId &) const = default;
  bool operator<(const MapId &Other) const {
    return std::tie(m_FencingNumber, m_Version, m_Digest) <
           std::tie(Other.m_FencingNumber, Other.m_Version, Other.m_Digest);
  }
};

/// Identifies a period in which the same engines run as a group. It starts when
/// the engines of all ranks join.
struct Epoch {
  std::uint64_t m_Number = 0;
  /// Hash of the announcements of all ranks from which the epoch was computed.
  std::uint64_t m_View = 0;

  bool operator==(const Epoch &) const = default;
};

/// Members, map and first step with which an epoch starts.
struct Formation {
  Epoch m_Epoch;
  MapId m_Map;
  Step m_FirstStep = 0;
  /// Incarnation of the engine of each rank.
  std::vector<std::uint64_t> m_Members;

  bool operator==(const Formation &) const = default;
};

/// State that an engine keeps about its rank group. It survives a restart of
/// the agent, so the vote is stored here.
struct EngineState {
  /// Unique for each start of the engine.
  std::uint64_t m_Incarnation = 0;
  /// Formation that the engine joined last.
  Formation m_Formation;
  /// False before the first join and after leaving. The engine then runs no
  /// steps.
  bool m_Joined = false;
  MapId m_Map;
  MapBody m_Body;
  /// Map that the engine has voted for. It does not run m_PendingStep before
  /// the outcome of the vote is known.
  MapId m_PendingMap;
  Step m_PendingStep = 0;
  bool m_HasPending = false;
  /// Whether m_PendingMap is committed and takes effect at m_PendingStep.
  bool m_PendingCommitted = false;
  MapBody m_PendingBody;
  /// Highest proposal for which the engine was armed, or that it was ordered to
  /// refuse, in this epoch.
  MapId m_HighestAnswered;
  Step m_NextStep = 0;
};

/// Orders from an agent to its engine. Each order names its epoch and map, so
/// that a delayed or repeated order does no harm.
enum class OrderKind {
  Arm,    ///< Vote for m_Map: do not run m_Step before its outcome is known.
  Refuse, ///< Reject any later order to arm for m_Map or an older proposal.
  Commit, ///< Use m_Map from its switch step on.
  Abort,  ///< Discard m_Map and continue with the current map.
  Leave,  ///< Run no further steps of this epoch.
  Join    ///< Join m_Formation.
};

struct EngineOrder {
  OrderKind m_Kind = OrderKind::Refuse;
  Epoch m_Epoch;
  MapId m_Map;
  Step m_Step = 0;
  /// Whether the armed engine waits at m_Step for the outcome. Only model
  /// checks clear it.
  bool m_WaitAtStep = true;
  Formation m_Formation = {};
  MapBody m_Body = {};
};

/// Proposes a new map to be used from a step on.
struct Proposal {
  MapId m_Id;
  /// Map that is replaced.
  MapId m_Base;
  Epoch m_Epoch;
  Step m_Step = 0;
  MapBody m_Body;
  std::string m_Reason;
};

/// \returns a hash of the base map, the step and the contents of \p Value, for
/// its MapId.
std::uint64_t digest(const Proposal &Value);

enum class VoteValue {
  None,     ///< The voter does not know the proposal; it must be sent again.
  Loaded,   ///< The experts are loaded. Not binding.
  Yes,      ///< Binding: the engine is armed.
  No,       ///< Binding: the engine will never be armed for the proposal.
  Committed ///< All ranks voted yes.
};

struct Vote {
  MapId m_Id;
  Epoch m_Epoch;
  std::uint64_t m_Incarnation = 0;
  VoteValue m_Value = VoteValue::None;
};

/// Requests the vote of a rank, and the outcome if the rank knows it.
struct Query {
  MapId m_Id;
  Epoch m_Epoch;
  /// First step of the proposed map.
  Step m_Step = 0;
};

/// Announcement of the state of a rank's engine.
struct Status {
  std::uint64_t m_Incarnation = 0;
  Epoch m_Epoch;
  bool m_Joined = false;
  MapId m_Map;
  Step m_NextStep = 0;
  /// Formation that the engine has joined, or that the rank proposes to join.
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

/// Requests to load the experts of a map that this rank does not hold.
struct LoadRequest {
  MapId m_Map;
  MapBody m_Body;
};

/// An event for the timeline.
struct TimelineEntry {
  base::EventId m_Event = base::EventId::MapProposed;
  MapId m_Map;
  std::string m_Reason;
};

/// Output of a state machine. The caller executes the orders first, then the
/// loads, then sends the messages.
struct Actions {
  std::vector<EngineOrder> m_Orders;
  std::vector<LoadRequest> m_Loads;
  std::vector<OutgoingMessage> m_Messages;
  std::vector<TimelineEntry> m_TimelineEntries;

  /// Adds a message from \p From to \p To.
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
