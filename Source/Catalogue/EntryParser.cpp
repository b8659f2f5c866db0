#include "Catalogue/EntryParser.h"

#include "Settings/Documents.h"

#include <set>

namespace corneldeck::catalogue {

namespace {

constexpr double MaxRate = 1e9;
constexpr double MaxWeight = 1e6;
constexpr std::int64_t MaxDeadlineMs = 86400000;
constexpr std::int64_t MaxCapacity = 100000;
constexpr std::int64_t MaxRank = 4095;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxFileBytes = 262144;
constexpr std::size_t MaxDocuments = 1000;

/// Reads a name. Names appear in paths, logs and metrics, so only a few
/// characters are allowed.
std::string readName(YamlFields &Fields, const std::string &Key) {
  std::string Name = Fields.requiredText(Key);
  const bool Plain =
      Name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUV"
                             "WXYZ0123456789-_.") == std::string::npos;
  if (!Plain || Name.size() > MaxNameBytes)
    Fields.addProblem(Key, "at most 128 letters, digits, '-', '_' and '.'",
                      "shorten or rename '" + Name + "'");
  return Name;
}

CustomerLimit readCustomer(YamlFields &Fields) {
  CustomerLimit Limit;
  Limit.m_Name = readName(Fields, "name");
  if (!Fields.has("requests_per_s"))
    Fields.addProblem("requests_per_s", "a number above 0", "add the key");
  Limit.m_RequestsPerS = Fields.number("requests_per_s", 0, 0.001, MaxRate);
  Limit.m_TokensPerS = Fields.number("tokens_per_s", 0, 0, MaxRate);
  Limit.m_Share = Fields.number("share", 1, 0.001, MaxWeight);
  Fields.reportUnknownKeys();
  return Limit;
}

std::optional<RankAssignment> readRankAssignment(YamlFields &Fields) {
  const std::string Group = Fields.text("group", "");
  const std::int64_t Rank = Fields.integer("rank", 0, 0, MaxRank);
  if (Fields.has("group") != Fields.has("rank"))
    Fields.addProblem(Fields.has("group") ? "group" : "rank",
                      "both group and rank, or neither",
                      "add the other key or remove this one");
  if (Group.empty())
    return std::nullopt;
  return RankAssignment{Group, static_cast<std::uint32_t>(Rank)};
}

BackendServer readBackendServer(YamlFields &Fields) {
  BackendServer Server;
  Server.m_Name = readName(Fields, "name");
  Server.m_LinkAddress = Fields.requiredAddress("link");
  Server.m_ControlAddress = Fields.requiredAddress("control");
  Server.m_Zone = readName(Fields, "zone");
  Server.m_Capacity =
      static_cast<std::uint32_t>(Fields.integer("capacity", 1, 1, MaxCapacity));
  Server.m_EnforcesFencing = Fields.boolean("enforces_fencing", false);
  Server.m_RankAssignment = readRankAssignment(Fields);
  Fields.reportUnknownKeys();
  return Server;
}

void readCustomers(YamlFields &Fields, Entry &Result) {
  std::set<std::string> Names;
  for (YamlFields &Item : Fields.mappings("customers")) {
    Result.m_Customers.push_back(readCustomer(Item));
    const std::string &Name = Result.m_Customers.back().m_Name;
    if (!Name.empty() && !Names.insert(Name).second)
      Item.addProblem("name", "a unique name", "merge both '" + Name + "'");
  }
}

/// Adds \p Value to \p Seen; reports a problem if it is already there.
void checkUnique(YamlFields &Item, const std::string &Key,
                 const std::string &Value, std::set<std::string> &Seen) {
  if (!Value.empty() && !Seen.insert(Value).second)
    Item.addProblem(Key, "a value that is unique in the entry",
                    "give each backend server its own; '" + Value +
                        "' appears twice");
}

void readBackendServers(YamlFields &Fields, Entry &Result) {
  std::set<std::string> Names;
  std::set<std::string> Addresses;
  std::set<std::string> Assignments;
  for (YamlFields &Item : Fields.mappings("backend_servers")) {
    const BackendServer Server = readBackendServer(Item);
    checkUnique(Item, "name", Server.m_Name, Names);
    checkUnique(Item, "link", Server.m_LinkAddress, Addresses);
    checkUnique(Item, "control", Server.m_ControlAddress, Addresses);
    if (Server.m_RankAssignment)
      checkUnique(Item, "rank",
                  Server.m_RankAssignment->m_Group + "/" +
                      std::to_string(Server.m_RankAssignment->m_Rank),
                  Assignments);
    Result.m_BackendServers.push_back(Server);
  }
  if (!Fields.has("backend_servers"))
    Fields.addProblem("backend_servers", "a list of backend servers",
                      "add the key; [] if there are none yet");
}

void readWeights(YamlFields &Fields, Entry &Result) {
  std::optional<YamlFields> Map = Fields.mapping("weights");
  if (!Map)
    return;
  Result.m_Weights.m_Skew = Map->number("skew", 1, 0, MaxWeight);
  Result.m_Weights.m_Cost = Map->number("cost", 1, 0, MaxWeight);
  if (Result.m_Weights.m_Skew + Result.m_Weights.m_Cost <= 0)
    Map->addProblem("", "a weight above 0", "raise skew or cost");
  Map->reportUnknownKeys();
}

void readDeadlines(YamlFields &Fields, Entry &Result) {
  std::optional<YamlFields> Map = Fields.mapping("deadlines");
  if (!Map)
    return;
  Deadlines &Target = Result.m_Deadlines;
  Target.m_Default = base::Millis(
      Map->integer("default_ms", Target.m_Default.count(), 1, MaxDeadlineMs));
  Target.m_Max = base::Millis(
      Map->integer("max_ms", Target.m_Max.count(), 1, MaxDeadlineMs));
  if (Target.m_Default > Target.m_Max)
    Map->addProblem("default_ms", "at most max_ms", "lower it or raise max_ms");
  Map->reportUnknownKeys();
}

void readIdempotency(YamlFields &Fields, Entry &Result) {
  std::optional<YamlFields> Map = Fields.mapping("idempotent");
  if (!Map)
    return;
  Result.m_IdempotentByDefault = Map->boolean("default", false);
  Result.m_IdempotencyExceptions = Map->texts("except_paths");
  for (const std::string &Path : Result.m_IdempotencyExceptions)
    if (!Path.starts_with('/'))
      Map->addProblem("except_paths", "paths that start with '/'",
                      "correct '" + Path + "'");
  Map->reportUnknownKeys();
}

void readBiddingWindow(YamlFields &Fields, Entry &Result) {
  std::optional<YamlFields> Map = Fields.mapping("bidding_window");
  if (!Map)
    return;
  Result.m_BiddingWindow.m_Open = Map->boolean("open", false);
  Result.m_BiddingWindow.m_Rebalancing = Map->boolean("rebalancing", true);
  Map->reportUnknownKeys();
}

Entry readEntry(YamlFields &Fields) {
  Entry Result;
  Result.m_Name = readName(Fields, "name");
  Result.m_Owner = readName(Fields, "owner");
  Result.m_Kind =
      kindFromName(Fields.choice("kind", {"model", "service"})).value();
  Result.m_Class =
      serviceClassFromName(
          Fields.choice("class", {"interactive", "standard", "batch"}))
          .value();
  readCustomers(Fields, Result);
  readBackendServers(Fields, Result);
  readWeights(Fields, Result);
  readDeadlines(Fields, Result);
  readIdempotency(Fields, Result);
  readBiddingWindow(Fields, Result);
  Fields.reportUnknownKeys();
  return Result;
}

void readDocument(const YAML::Node &Document, const std::string &File,
                  ParsedFile &Result) {
  if (!Document.IsMap()) {
    Result.m_Problems.push_back({File, Document.Mark().line + 1, "(document)",
                                 "a mapping with the keys of an entry",
                                 "start with 'name: ...'"});
    return;
  }
  YamlFields Fields(Document, File, "", Result.m_Problems);
  ParsedEntry Parsed;
  Parsed.m_Entry = readEntry(Fields);
  YAML::Emitter Out;
  Out << Document;
  Parsed.m_Body = std::string(Out.c_str(), Out.size()) + "\n";
  for (const ParsedEntry &Other : Result.m_Entries)
    if (Other.m_Entry.m_Name == Parsed.m_Entry.m_Name)
      Fields.addProblem("name", "each entry once in a file",
                        "remove one of them");
  Result.m_Entries.push_back(std::move(Parsed));
}

} // namespace

ParsedFile parseEntries(const std::string &Text, const std::string &File) {
  ParsedFile Result;
  if (Text.size() > MaxFileBytes) {
    Result.m_Problems.push_back(
        {File, 1, "(file)", "at most 256 KiB", "split the file"});
    return Result;
  }
  try {
    if (settings::countDocuments(Text, MaxDocuments) > MaxDocuments) {
      Result.m_Problems.push_back({File, 1, "(file)", "at most 1000 entries",
                                   "correct the syntax, or split the file"});
      return Result;
    }
    for (const YAML::Node &Document : YAML::LoadAll(Text))
      if (!Document.IsNull())
        readDocument(Document, File, Result);
  } catch (const YAML::Exception &Found) {
    Result.m_Problems.push_back({File, Found.mark.line + 1, "(syntax)", "YAML",
                                 "correct the syntax: " + Found.msg});
    return Result;
  }
  if (Result.m_Entries.empty() && Result.m_Problems.empty())
    Result.m_Problems.push_back(
        {File, 1, "(file)", "at least one entry", "add an entry"});
  return Result;
}

base::Result<Entry> parseEntry(const std::string &Text,
                               const std::string &File) {
  ParsedFile Parsed = parseEntries(Text, File);
  if (Parsed.m_Problems.empty() && Parsed.m_Entries.size() != 1)
    Parsed.m_Problems.push_back(
        {File, 1, "(file)", "one entry", "split the file"});
  if (Parsed.m_Problems.empty())
    return std::move(Parsed.m_Entries.front().m_Entry);
  std::string Message;
  for (const Problem &Found : Parsed.m_Problems)
    Message += (Message.empty() ? "" : "\n") + Found.text();
  return base::failure(base::ResultCode::RejectedInvalid, Message);
}

} // namespace corneldeck::catalogue
