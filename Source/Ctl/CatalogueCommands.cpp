#include "Admin/Messages.h"
#include "Catalogue/EntryParser.h"
#include "Ctl/Command.h"
#include "Ctl/LineDiff.h"
#include "Ctl/Publishing.h"
#include "Ctl/TextTable.h"
#include "Net/RequestTarget.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace corneldeck::ctl {

namespace po = boost::program_options;
using nlohmann::json;

namespace {

constexpr std::size_t ManyFiles = 1000;

/// Reads all files of the command line and prints what is wrong with them.
struct FileSet {
  std::vector<catalogue::ParsedEntry> m_Entries;
  std::vector<std::string> m_Problems;

  explicit FileSet(const std::vector<std::string> &Paths) {
    for (const std::string &Path : Paths)
      read(Path);
  }

  [[nodiscard]] bool report(const Invocation &Run) const {
    for (const std::string &Problem : m_Problems)
      Run.m_Err << Problem << '\n';
    Run.m_Err.flush();
    return m_Problems.empty();
  }

private:
  void read(const std::string &Path) {
    std::ifstream Input(Path);
    std::ostringstream Text;
    if (!Input || !(Text << Input.rdbuf())) {
      m_Problems.push_back(Path + ": expected a file that can be read and is "
                                  "not empty; check the path");
      return;
    }
    catalogue::ParsedFile Parsed = catalogue::parseEntries(Text.str(), Path);
    for (const catalogue::Problem &Problem : Parsed.m_Problems)
      m_Problems.push_back(Problem.text());
    for (catalogue::ParsedEntry &Entry : Parsed.m_Entries)
      m_Entries.push_back(std::move(Entry));
  }
};

base::Result<admin::EntryList> askEntries(OperatorClient &Client) {
  return Client.get(admin::EntriesPath).and_then([](const std::string &Body) {
    return admin::decodeEntryList(Body);
  });
}

const admin::ListedEntry *findEntry(const admin::EntryList &List,
                                    const std::string &Name) {
  const auto Found = std::find_if(
      List.m_Entries.begin(), List.m_Entries.end(),
      [&](const admin::ListedEntry &Item) { return Item.m_Entry == Name; });
  return Found == List.m_Entries.end() ? nullptr : &*Found;
}

ExitCode check(Invocation &Run) {
  const FileSet Files(Run.m_Arguments);
  if (Run.isJson()) {
    const json Report = {{"valid", Files.m_Problems.empty()},
                         {"entries", Files.m_Entries.size()},
                         {"problems", Files.m_Problems}};
    Run.m_Out << Report.dump(2, ' ', false, json::error_handler_t::replace)
              << std::endl;
    return Files.m_Problems.empty() ? ExitCode::Ok : ExitCode::Invalid;
  }
  if (!Files.report(Run))
    return ExitCode::Invalid;
  for (const auto &Item : Files.m_Entries)
    Run.m_Out << Item.m_Entry.m_Name << ": valid\n";
  return ExitCode::Ok;
}

/// \returns the changes that make the catalogue hold what the files say.
std::vector<admin::Change>
changesFor(const std::vector<catalogue::ParsedEntry> &Entries,
           const admin::EntryList &InForce) {
  std::vector<admin::Change> Changes;
  for (const catalogue::ParsedEntry &Item : Entries) {
    const auto *Current = findEntry(InForce, Item.m_Entry.m_Name);
    Changes.push_back({Item.m_Entry.m_Name, Current ? Current->m_Version : 0,
                       Item.m_Entry.m_Owner, Item.m_Body, false});
  }
  return Changes;
}

base::Result<std::vector<admin::Change>>
deletions(const std::vector<std::string> &Names,
          const admin::EntryList &InForce) {
  std::vector<admin::Change> Changes;
  for (const std::string &Name : Names) {
    const auto *Current = findEntry(InForce, Name);
    if (!Current || Current->m_Deleted)
      return base::failure(base::ResultCode::UnknownService,
                           "no entry is named " + Name);
    Changes.push_back({Name, Current->m_Version, Current->m_Owner, "", true});
  }
  return Changes;
}

void addPublishOptions(po::options_description &Options) {
  Options.add_options()("wait", "until it is in force at every node");
  Options.add_options()("wait-ms",
                        po::value<std::int64_t>()->default_value(30'000),
                        "the longest wait");
  Options.add_options()("delete",
                        po::value<std::vector<std::string>>()->composing(),
                        "delete the entry of this name");
  Options.add_options()("expected-version", po::value<std::uint64_t>(),
                        "the version that this change is based on [the one in "
                        "force]");
  Options.add_options()("change-id", po::value<std::string>(),
                        "identifier of an earlier try whose outcome is "
                        "unknown [a new one]");
}

ExitCode publish(Invocation &Run) {
  const FileSet Files(Run.m_Arguments);
  if (!Files.report(Run))
    return ExitCode::Invalid;
  const auto InForce = askEntries(Run.m_Client);
  if (!InForce)
    return reportError(Run, InForce.error());
  admin::PublishRequest Request;
  Request.m_Changes = changesFor(Files.m_Entries, *InForce);
  if (Run.m_Options.count("delete") > 0) {
    const auto Deleted = deletions(
        Run.m_Options["delete"].as<std::vector<std::string>>(), *InForce);
    if (!Deleted)
      return reportError(Run, Deleted.error());
    Request.m_Changes.insert(Request.m_Changes.end(), Deleted->begin(),
                             Deleted->end());
  }
  if (Request.m_Changes.empty()) {
    Run.m_Err << "corneldeckctl publish: give a FILE or --delete" << std::endl;
    return ExitCode::Usage;
  }
  if (Run.m_Options.count("expected-version") > 0)
    for (admin::Change &Item : Request.m_Changes)
      Item.m_ExpectedVersion =
          Run.m_Options["expected-version"].as<std::uint64_t>();
  Request.m_ChangeId = Run.m_Options.count("change-id") > 0
                           ? Run.m_Options["change-id"].as<std::string>()
                           : newChangeId();
  return publishAndReport(Run, Request);
}

ExitCode diff(Invocation &Run) {
  const FileSet Files(Run.m_Arguments);
  if (!Files.report(Run))
    return ExitCode::Invalid;
  const auto InForce = askEntries(Run.m_Client);
  if (!InForce)
    return reportError(Run, InForce.error());
  json Report = json::array();
  for (const catalogue::ParsedEntry &Item : Files.m_Entries) {
    const auto *Current = findEntry(*InForce, Item.m_Entry.m_Name);
    const std::string Text =
        diffLines(Current ? Current->m_Body : "", Item.m_Body);
    if (Text.empty())
      continue;
    Report.push_back({{"entry", Item.m_Entry.m_Name},
                      {"version", Current ? Current->m_Version : 0},
                      {"diff", Text}});
    if (!Run.isJson())
      Run.m_Out << "entry " << Item.m_Entry.m_Name << ", version "
                << (Current ? Current->m_Version : 0) << ":\n"
                << Text;
  }
  if (Run.isJson())
    Run.m_Out << Report.dump(2, ' ', false, json::error_handler_t::replace)
              << std::endl;
  return Report.empty() ? ExitCode::Ok : ExitCode::Differs;
}

ExitCode list(Invocation &Run) {
  const auto InForce = askEntries(Run.m_Client);
  if (!InForce)
    return reportError(Run, InForce.error());
  if (Run.isJson()) {
    Run.m_Out << admin::encode(*InForce) << std::endl;
    return ExitCode::Ok;
  }
  TextTable Table({"ENTRY", "VERSION", "OFFSET", "OWNER", "STATE"});
  for (const admin::ListedEntry &Item : InForce->m_Entries)
    Table.add({Item.m_Entry, std::to_string(Item.m_Version),
               std::to_string(Item.m_Offset), Item.m_Owner,
               Item.m_Deleted ? "deleted" : "in force"});
  Table.print(Run.m_Out);
  return ExitCode::Ok;
}

ExitCode history(Invocation &Run) {
  const std::string Target = std::string(admin::HistoryPath) + "?entry=" +
                             net::encodeQueryValue(Run.m_Arguments[0]);
  const auto Past = Run.m_Client.get(Target).and_then(
      [](const std::string &Body) { return admin::decodeHistory(Body); });
  if (!Past)
    return reportError(Run, Past.error());
  if (Run.isJson()) {
    Run.m_Out << admin::encode(*Past) << std::endl;
    return ExitCode::Ok;
  }
  TextTable Table({"OFFSET", "VERSION", "OWNER", "RESULT", "MESSAGE"});
  for (const admin::PastChange &Item : Past->m_Changes)
    Table.add({std::to_string(Item.m_Offset), std::to_string(Item.m_Version),
               Item.m_Owner, Item.m_Accepted ? "accepted" : "rejected",
               Item.m_Message});
  Table.print(Run.m_Out);
  if (Past->m_Since > 1)
    Run.m_Out << "Changes before offset " << Past->m_Since
              << " are no longer known.\n";
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> catalogueCommands() {
  const std::vector<std::string> Formats{"text", "json"};
  return {
      {"check", "Check files of catalogue entries; asks nobody.", "FILE...", 1,
       ManyFiles, Formats, nullptr, check},
      {"publish", "Publish the entries of files, all or none.", "[FILE...]", 0,
       ManyFiles, Formats, addPublishOptions, publish},
      {"diff", "Compare files with the catalogue in force.", "FILE...", 1,
       ManyFiles, Formats, nullptr, diff},
      {"list", "List the catalogue's entries.", "", 0, 0, Formats, nullptr,
       list},
      {"history", "Show the changes of an entry, rejected ones too.", "ENTRY",
       1, 1, Formats, nullptr, history},
  };
}

} // namespace corneldeck::ctl
