#include "Admin/Messages.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace corneldeck::admin {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 3> ResultNames{"accepted", "rejected",
                                                      "unknown"};

std::string dump(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// \returns a non-negative integer. Throws for a negative one, which json would
/// convert to a large positive number.
std::uint64_t readNumber(const json &Document, const char *Key) {
  const json &Value = Document.at(Key);
  if (!Value.is_number_unsigned())
    throw json::type_error::create(
        302, std::string(Key) + " must be a non-negative integer", &Value);
  return Value.get<std::uint64_t>();
}

std::string readText(const json &Document, const char *Key) {
  return Document.at(Key).get<std::string>();
}

/// Parses \p Body and converts it with \p Read, which may throw json
/// exceptions. \returns the result of \p Read, or BadMessage.
template <typename T, typename Reader>
base::Result<T> decodeWith(const std::string &Body, Reader Read) {
  try {
    return Read(json::parse(Body));
  } catch (const json::exception &Failure) {
    return base::failure(base::ResultCode::BadMessage,
                         std::string("the body can't be parsed: ") +
                             Failure.what());
  }
}

template <typename T, typename Reader>
std::vector<T> readList(const json &Document, const char *Key, Reader Read) {
  const json &List = Document.at(Key);
  if (!List.is_array())
    throw json::type_error::create(302, std::string(Key) + " must be a list",
                                   &List);
  std::vector<T> Items;
  for (const json &Item : List)
    Items.push_back(Read(Item));
  return Items;
}

template <typename T, typename Writer>
json writeList(const std::vector<T> &Items, Writer Write) {
  json List = json::array();
  for (const T &Item : Items)
    List.push_back(Write(Item));
  return List;
}

json writeChange(const Change &Item) {
  json Document = {{"entry", Item.m_Entry},
                   {"expected_version", Item.m_ExpectedVersion},
                   {"owner", Item.m_Owner}};
  if (Item.m_Deletion)
    Document["deletion"] = true;
  else
    Document["body"] = Item.m_Body;
  return Document;
}

Change readChange(const json &Document) {
  Change Item;
  Item.m_Entry = readText(Document, "entry");
  Item.m_ExpectedVersion = readNumber(Document, "expected_version");
  Item.m_Owner = readText(Document, "owner");
  Item.m_Deletion = Document.value("deletion", false);
  Item.m_Body = Document.value("body", "");
  if (Item.m_Deletion == !Item.m_Body.empty())
    throw json::type_error::create(302, "either body or deletion must be set",
                                   &Document);
  return Item;
}

json writeEntry(const ListedEntry &Item) {
  return {{"entry", Item.m_Entry},   {"version", Item.m_Version},
          {"offset", Item.m_Offset}, {"owner", Item.m_Owner},
          {"body", Item.m_Body},     {"deleted", Item.m_Deleted}};
}

ListedEntry readEntry(const json &Document) {
  ListedEntry Item;
  Item.m_Entry = readText(Document, "entry");
  Item.m_Version = readNumber(Document, "version");
  Item.m_Offset = readNumber(Document, "offset");
  Item.m_Owner = readText(Document, "owner");
  Item.m_Body = readText(Document, "body");
  Item.m_Deleted = Document.at("deleted").get<bool>();
  return Item;
}

json writePastChange(const PastChange &Item) {
  return {{"offset", Item.m_Offset},
          {"version", Item.m_Version},
          {"owner", Item.m_Owner},
          {"accepted", Item.m_Accepted},
          {"message", Item.m_Message}};
}

PastChange readPastChange(const json &Document) {
  PastChange Item;
  Item.m_Offset = readNumber(Document, "offset");
  Item.m_Version = readNumber(Document, "version");
  Item.m_Owner = readText(Document, "owner");
  Item.m_Accepted = Document.at("accepted").get<bool>();
  Item.m_Message = readText(Document, "message");
  return Item;
}

json writeNode(const NodeStatus &Item) {
  return {{"node", Item.m_Node},   {"role", Item.m_Role},
          {"zone", Item.m_Zone},   {"offset", Item.m_Offset},
          {"ready", Item.m_Ready}, {"lag_ms", Item.m_StatusAge.count()},
          {"http", Item.m_Http},   {"leaving", Item.m_Leaving}};
}

NodeStatus readNode(const json &Document) {
  NodeStatus Item;
  Item.m_Node = readText(Document, "node");
  Item.m_Role = readText(Document, "role");
  Item.m_Zone = readText(Document, "zone");
  Item.m_Offset = readNumber(Document, "offset");
  Item.m_StatusAge = base::Millis(Document.at("lag_ms").get<std::int64_t>());
  Item.m_Ready = Document.at("ready").get<bool>();
  Item.m_Leaving = Document.at("leaving").get<bool>();
  Item.m_Http = readText(Document, "http");
  return Item;
}

json writeRank(const RankStatus &Item) {
  return {{"rank", Item.m_Rank},
          {"backend_server", Item.m_BackendServer},
          {"state", Item.m_State}};
}

RankStatus readRank(const json &Document) {
  RankStatus Item;
  Item.m_Rank = static_cast<std::uint32_t>(readNumber(Document, "rank"));
  Item.m_BackendServer = readText(Document, "backend_server");
  Item.m_State = readText(Document, "state");
  return Item;
}

json writeGroup(const GroupStatus &Item) {
  return {{"group", Item.m_Group},
          {"in_service", Item.m_InService},
          {"map", Item.m_Map},
          {"step", Item.m_Step},
          {"ranks", writeList(Item.m_Ranks, writeRank)}};
}

GroupStatus readGroup(const json &Document) {
  GroupStatus Item;
  Item.m_Group = readText(Document, "group");
  Item.m_InService = Document.at("in_service").get<bool>();
  Item.m_Map = readText(Document, "map");
  Item.m_Step = readNumber(Document, "step");
  Item.m_Ranks = readList<RankStatus>(Document, "ranks", readRank);
  return Item;
}

PublishResponse readPublishResponse(const json &Document) {
  PublishResponse Response;
  const std::string Result = readText(Document, "result");
  const auto *const Found =
      std::find(ResultNames.begin(), ResultNames.end(), Result);
  if (Found == ResultNames.end())
    throw json::type_error::create(302, "unknown result " + Result, &Document);
  Response.m_Result = static_cast<PublishResult>(Found - ResultNames.begin());
  Response.m_Offset = readNumber(Document, "offset");
  Response.m_Message = readText(Document, "message");
  const int Code = Document.at("code").get<int>();
  Response.m_Code = base::resultCodeFromNumber(Code).value_or(
      base::ResultCode::PublishUnknown);
  return Response;
}

} // namespace

std::string_view name(PublishResult Value) {
  return ResultNames[static_cast<std::size_t>(Value)];
}

std::string encode(const PublishRequest &Message) {
  return dump({{"change_id", Message.m_ChangeId},
               {"changes", writeList(Message.m_Changes, writeChange)}});
}

std::string encode(const PublishResponse &Message) {
  return dump({{"result", name(Message.m_Result)},
               {"code", static_cast<int>(Message.m_Code)},
               {"offset", Message.m_Offset},
               {"message", Message.m_Message}});
}

std::string encode(const EntryList &Message) {
  return dump({{"offset", Message.m_Offset},
               {"entries", writeList(Message.m_Entries, writeEntry)}});
}

std::string encode(const History &Message) {
  return dump({{"entry", Message.m_Entry},
               {"since", Message.m_Since},
               {"changes", writeList(Message.m_Changes, writePastChange)}});
}

std::string encode(const Status &Message) {
  return dump({{"node", Message.m_Node},
               {"offset", Message.m_Offset},
               {"nodes", writeList(Message.m_Nodes, writeNode)}});
}

std::string encode(const Groups &Message) {
  return dump({{"groups", writeList(Message.m_Groups, writeGroup)}});
}

std::string encode(const DrainRequest &Message) {
  return dump({{"backend_server", Message.m_BackendServer}});
}

base::Result<PublishRequest> decodePublishRequest(const std::string &Body) {
  return decodeWith<PublishRequest>(Body, [](const json &Document) {
    return PublishRequest{readText(Document, "change_id"),
                          readList<Change>(Document, "changes", readChange)};
  });
}

base::Result<PublishResponse> decodePublishResponse(const std::string &Body) {
  return decodeWith<PublishResponse>(Body, readPublishResponse);
}

base::Result<EntryList> decodeEntryList(const std::string &Body) {
  return decodeWith<EntryList>(Body, [](const json &Document) {
    return EntryList{readNumber(Document, "offset"),
                     readList<ListedEntry>(Document, "entries", readEntry)};
  });
}

base::Result<History> decodeHistory(const std::string &Body) {
  return decodeWith<History>(Body, [](const json &Document) {
    return History{readText(Document, "entry"), readNumber(Document, "since"),
                   readList<PastChange>(Document, "changes", readPastChange)};
  });
}

base::Result<Status> decodeStatus(const std::string &Body) {
  return decodeWith<Status>(Body, [](const json &Document) {
    return Status{readText(Document, "node"), readNumber(Document, "offset"),
                  readList<NodeStatus>(Document, "nodes", readNode)};
  });
}

base::Result<Groups> decodeGroups(const std::string &Body) {
  return decodeWith<Groups>(Body, [](const json &Document) {
    return Groups{readList<GroupStatus>(Document, "groups", readGroup)};
  });
}

base::Result<DrainRequest> decodeDrainRequest(const std::string &Body) {
  return decodeWith<DrainRequest>(Body, [](const json &Document) {
    return DrainRequest{readText(Document, "backend_server")};
  });
}

} // namespace corneldeck::admin
