#include "Admin/Messages.h"
#include "Ctl/Command.h"
#include "Ctl/TextTable.h"
#include "Ctl/TimelineView.h"
#include "Status/StatusPages.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace corneldeck::ctl {

namespace po = boost::program_options;

namespace {

base::Result<admin::Status> askStatus(OperatorClient &Client) {
  return Client.get(admin::StatusPath).and_then([](const std::string &Body) {
    return admin::decodeStatus(Body);
  });
}

std::uint64_t newestOffset(const admin::Status &All) {
  std::uint64_t Newest = All.m_Offset;
  for (const admin::NodeStatus &Node : All.m_Nodes)
    Newest = std::max(Newest, Node.m_Offset);
  return Newest;
}

std::string stateOf(const admin::NodeStatus &Node) {
  if (Node.m_Leaving)
    return "leaving";
  return Node.m_Ready ? "ready" : "not ready";
}

ExitCode status(Invocation &Run) {
  const auto All = askStatus(Run.m_Client);
  if (!All)
    return reportError(Run, All.error());
  if (Run.isJson()) {
    Run.m_Out << admin::encode(*All) << std::endl;
    return ExitCode::Ok;
  }
  const std::uint64_t Newest = newestOffset(*All);
  TextTable Table(
      {"NODE", "ROLE", "ZONE", "OFFSET", "BEHIND", "AGE_MS", "STATE", "HTTP"});
  for (const admin::NodeStatus &Node : All->m_Nodes)
    Table.add(
        {Node.m_Node, Node.m_Role, Node.m_Zone, std::to_string(Node.m_Offset),
         std::to_string(Newest - Node.m_Offset),
         std::to_string(Node.m_StatusAge.count()), stateOf(Node), Node.m_Http});
  Table.print(Run.m_Out);
  return ExitCode::Ok;
}

ExitCode drain(Invocation &Run) {
  const auto Body = Run.m_Client.post(
      admin::DrainPath, admin::encode(admin::DrainRequest{Run.m_Arguments[0]}));
  if (!Body)
    return reportError(Run, Body.error());
  if (Run.isJson())
    Run.m_Out << *Body << std::endl;
  else
    Run.m_Out << Run.m_Arguments[0] << " takes no new requests; those in "
              << "flight end first" << std::endl;
  return ExitCode::Ok;
}

ExitCode groups(Invocation &Run) {
  const auto Some =
      Run.m_Client.get(admin::GroupsPath).and_then([](const std::string &Body) {
        return admin::decodeGroups(Body);
      });
  if (!Some)
    return reportError(Run, Some.error());
  if (Run.isJson()) {
    Run.m_Out << admin::encode(*Some) << std::endl;
    return ExitCode::Ok;
  }
  TextTable Table(
      {"GROUP", "SERVICE", "MAP", "STEP", "RANK", "BACKEND_SERVER", "STATE"});
  for (const admin::GroupStatus &Group : Some->m_Groups)
    for (const admin::RankStatus &Rank : Group.m_Ranks)
      Table.add({Group.m_Group, Group.m_InService ? "in" : "out", Group.m_Map,
                 std::to_string(Group.m_Step), std::to_string(Rank.m_Rank),
                 Rank.m_BackendServer, Rank.m_State});
  Table.print(Run.m_Out);
  return ExitCode::Ok;
}

void addTimelineOptions(po::options_description &Options) {
  const auto Add = [&Options](const char *Name, const char *Summary) {
    Options.add_options()(Name, po::value<std::string>(), Summary);
  };
  Add("request", "only events of this request");
  Add("group", "only events of this rank group");
  Add("offset", "only events of this offset of the log");
  Add("node", "only events of this process");
}

std::optional<std::string> optionOf(const Invocation &Run, const char *Name) {
  if (Run.m_Options.count(Name) == 0)
    return std::nullopt;
  return Run.m_Options[Name].as<std::string>();
}

/// Asks all processes for their events; those that don't answer are named.
std::vector<base::TimelineEvent> collectEvents(const Invocation &Run,
                                               const admin::Status &All) {
  std::vector<std::string> Addresses;
  std::vector<std::string> Names;
  for (const admin::NodeStatus &Node : All.m_Nodes) {
    if (Node.m_Http.empty())
      continue;
    Addresses.push_back(Node.m_Http);
    Names.push_back(Node.m_Node);
  }
  const auto Bodies = Run.m_Client.getFromEach(Addresses, "/timeline");
  std::vector<std::vector<base::TimelineEvent>> Parts;
  for (std::size_t Index = 0; Index < Bodies.size(); ++Index) {
    auto Events = Bodies[Index].and_then(
        [](const std::string &Body) { return status::timelineFromJson(Body); });
    if (Events)
      Parts.push_back(std::move(*Events));
    else
      Run.m_Err << "no events from " << Names[Index] << ": "
                << Events.error().m_Message << std::endl;
  }
  return base::mergeTimelines(Parts);
}

ExitCode timeline(Invocation &Run) {
  const auto All = askStatus(Run.m_Client);
  if (!All)
    return reportError(Run, All.error());
  const TimelineFilter Filter{optionOf(Run, "request"), optionOf(Run, "group"),
                              optionOf(Run, "offset"), optionOf(Run, "node")};
  std::vector<base::TimelineEvent> Events = collectEvents(Run, *All);
  std::erase_if(Events, [&Filter](const base::TimelineEvent &Event) {
    return !Filter.lets(Event);
  });
  if (Run.isJson())
    Run.m_Out << status::timelineToJson(Events) << std::endl;
  else if (Run.m_Format == "html")
    writeTimelineHtml(Events, Run.m_Out);
  else
    writeTimelineText(Events, Run.m_Out);
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> fleetCommands() {
  const std::vector<std::string> Formats{"text", "json"};
  return {
      {"status", "Show what is in force at which node, and who lags.", "", 0, 0,
       Formats, nullptr, status},
      {"drain", "Take a backend server out of service; cuts off nothing.",
       "BACKEND_SERVER", 1, 1, Formats, nullptr, drain},
      {"timeline",
       "Show the events of all processes, causes first.",
       "",
       0,
       0,
       {"text", "json", "html"},
       addTimelineOptions,
       timeline},
      {"groups", "Show the rank groups.", "", 0, 0, Formats, nullptr, groups},
  };
}

} // namespace corneldeck::ctl
