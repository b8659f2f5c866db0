#ifndef CORNELDECK_ADMIN_MESSAGES_H
#define CORNELDECK_ADMIN_MESSAGES_H

#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::admin {

/// Paths of an entry's operator API.
inline constexpr std::string_view PublishPath = "/operator/publish";
inline constexpr std::string_view EntriesPath = "/operator/entries";
inline constexpr std::string_view HistoryPath = "/operator/history";
inline constexpr std::string_view StatusPath = "/operator/status";
inline constexpr std::string_view DrainPath = "/operator/drain";
inline constexpr std::string_view GroupsPath = "/operator/groups";

/// A change of one catalogue entry.
struct Change {
  std::string m_Entry;
  /// The version that the change is based on; 0 for a new entry.
  std::uint64_t m_ExpectedVersion = 0;
  std::string m_Owner;
  /// The entry's YAML text; empty for a deletion.
  std::string m_Body;
  bool m_Deletion = false;
};

/// A request to publish changes; all are accepted or none.
struct PublishRequest {
  /// Unique identifier of these changes. A repeated request with the same
  /// identifier returns the first outcome.
  std::string m_ChangeId;
  std::vector<Change> m_Changes;
};

/// The outcome of published changes.
enum class PublishResult {
  Accepted, ///< Appended to the log and accepted.
  Rejected, ///< Rejected by the order of the log, or before the append.
  Unknown   ///< May be in the log; repeat with the same identifier.
};

/// \returns "accepted", "rejected" or "unknown".
std::string_view name(PublishResult Value);

/// The response to a PublishRequest.
struct PublishResponse {
  PublishResult m_Result = PublishResult::Unknown;
  base::ResultCode m_Code = base::ResultCode::PublishUnknown;
  /// Offset of the record; 0 if it is unknown.
  std::uint64_t m_Offset = 0;
  std::string m_Message;
};

/// A catalogue entry that is in force on an entry VM.
struct ListedEntry {
  std::string m_Entry;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Offset = 0;
  std::string m_Owner;
  std::string m_Body;
  bool m_Deleted = false;
};

/// The catalogue that is in force on an entry VM.
struct EntryList {
  /// Log offset of the catalogue.
  std::uint64_t m_Offset = 0;
  std::vector<ListedEntry> m_Entries;
};

/// A change in the history of an entry.
struct PastChange {
  std::uint64_t m_Offset = 0;
  /// The version that the change created; 0 if it was rejected.
  std::uint64_t m_Version = 0;
  std::string m_Owner;
  bool m_Accepted = false;
  std::string m_Message;
};

/// The known changes of one entry.
struct History {
  std::string m_Entry;
  /// Changes before this offset are not included.
  std::uint64_t m_Since = 0;
  std::vector<PastChange> m_Changes;
};

/// The status of a process as known to the entry that responds.
struct NodeStatus {
  std::string m_Node;
  /// "entry" or "agent".
  std::string m_Role;
  std::string m_Zone;
  /// Offset of the catalogue of the process.
  std::uint64_t m_Offset = 0;
  /// Age of this status.
  base::Millis m_StatusAge{};
  bool m_Ready = false;
  bool m_Leaving = false;
  /// Address of its /timeline and /metrics, as "ip:port".
  std::string m_Http;
};

/// The status of all processes that an entry knows.
struct Status {
  /// The entry that responds.
  std::string m_Node;
  /// Offset of the catalogue in force on that entry.
  std::uint64_t m_Offset = 0;
  std::vector<NodeStatus> m_Nodes;
};

/// The status of one rank of a group.
struct RankStatus {
  std::uint32_t m_Rank = 0;
  std::string m_BackendServer;
  std::string m_State;
};

/// The status of a rank group.
struct GroupStatus {
  std::string m_Group;
  bool m_InService = false;
  /// The expert map in force, such as "7.2".
  std::string m_Map;
  std::uint64_t m_Step = 0;
  std::vector<RankStatus> m_Ranks;
};

/// The rank groups that an entry knows.
struct Groups {
  std::vector<GroupStatus> m_Groups;
};

/// A request to take a backend server out of service without interrupting its
/// requests.
struct DrainRequest {
  std::string m_BackendServer;
};

/// Encoders and decoders of the JSON bodies. A decoder returns BadMessage with
/// the reason if the body is invalid.
std::string encode(const PublishRequest &Message);
std::string encode(const PublishResponse &Message);
std::string encode(const EntryList &Message);
std::string encode(const History &Message);
std::string encode(const Status &Message);
std::string encode(const Groups &Message);
std::string encode(const DrainRequest &Message);
base::Result<PublishRequest> decodePublishRequest(const std::string &Body);
base::Result<PublishResponse> decodePublishResponse(const std::string &Body);
base::Result<EntryList> decodeEntryList(const std::string &Body);
base::Result<History> decodeHistory(const std::string &Body);
base::Result<Status> decodeStatus(const std::string &Body);
base::Result<Groups> decodeGroups(const std::string &Body);
base::Result<DrainRequest> decodeDrainRequest(const std::string &Body);

} // namespace corneldeck::admin

#endif
