#include "Entry/OperatorFront.h"

#include "Net/RequestTarget.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace corneldeck::entry {

namespace {

constexpr base::Millis DrainTimeout = base::seconds(3);

catalogue::PublishRequest toCatalogue(const admin::PublishRequest &Asked) {
  catalogue::PublishRequest Request;
  Request.m_ChangeId = Asked.m_ChangeId;
  // The tool keeps its identifier over repeats, so any may be one.
  Request.m_AskedBefore = true;
  for (const admin::Change &Item : Asked.m_Changes) {
    wire::CatalogueChange Change;
    Change.set_entry(Item.m_Entry);
    Change.set_expected_version(Item.m_ExpectedVersion);
    Change.set_owner(Item.m_Owner);
    Change.set_body(Item.m_Body);
    Change.set_deletion(Item.m_Deletion);
    Request.m_Changes.push_back(std::move(Change));
  }
  return Request;
}

admin::PublishResult resultOf(base::ResultCode Code) {
  if (Code == base::ResultCode::Ok)
    return admin::PublishResult::Accepted;
  if (Code == base::ResultCode::PublishUnknown)
    return admin::PublishResult::Unknown;
  return admin::PublishResult::Rejected;
}

admin::PublishAnswer toAdmin(const catalogue::PublishAnswer &Answer) {
  return {resultOf(Answer.m_Code), Answer.m_Code, Answer.m_Offset,
          Answer.m_Message};
}

admin::EntryList listEntries(const catalogue::State &State) {
  admin::EntryList List;
  List.m_Offset = State.offset();
  for (const auto &[Name, Entry] : State.entries())
    List.m_Entries.push_back({Name, Entry.m_Version, Entry.m_Offset,
                              Entry.m_Owner, Entry.m_Body, Entry.m_Deleted});
  return List;
}

admin::History historyOf(const node::ControlCore &Core,
                         const std::string &Entry) {
  admin::History History;
  History.m_Entry = Entry;
  History.m_Since = Core.follower().state().offset();
  for (const node::PastChange &Past : Core.history(Entry)) {
    History.m_Since = std::min(History.m_Since, Past.m_Offset);
    History.m_Changes.push_back({Past.m_Offset, Past.m_Version, Past.m_Owner,
                                 true, Past.m_Deleted ? "deleted" : ""});
  }
  return History;
}

} // namespace

OperatorFront::OperatorFront(boost::asio::io_context &Loop,
                             node::ControlLoop &Control,
                             const AgentLinks &Links, net::HttpClient &Http)
    : m_Loop(Loop), m_Control(Control), m_Links(Links), m_Http(Http) {}

bool OperatorFront::handle(const ExchangePtr &Exchange) {
  const std::string Path = net::RequestTarget(Exchange->target()).path();
  if (!Path.starts_with("/operator/"))
    return false;
  if (Path == admin::PublishPath)
    publish(Exchange);
  else if (Path == admin::EntriesPath)
    entries(Exchange);
  else if (Path == admin::HistoryPath)
    history(Exchange);
  else if (Path == admin::StatusPath)
    status(Exchange);
  else if (Path == admin::DrainPath)
    drain(Exchange);
  else
    Exchange->respondWithError({base::ResultCode::UnknownService,
                                "No operator's page has this path.",
                                {}});
  return true;
}

void OperatorFront::reply(const ExchangePtr &Exchange, std::string Body) {
  boost::asio::post(m_Loop, [Exchange, Body = std::move(Body)]() mutable {
    Exchange->respond(net::jsonResponse(std::move(Body)));
  });
}

void OperatorFront::publish(const ExchangePtr &Exchange) {
  const auto Asked = admin::decodePublishRequest(Exchange->body());
  if (!Asked) {
    Exchange->respondWithError(Asked.error());
    return;
  }
  m_Control.publish(toCatalogue(*Asked),
                    [this, Exchange](const catalogue::PublishAnswer &Answer) {
                      reply(Exchange, admin::encode(toAdmin(Answer)));
                    });
}

void OperatorFront::entries(const ExchangePtr &Exchange) {
  m_Control.post([this, Exchange] {
    reply(Exchange, admin::encode(listEntries(m_Control.follower().state())));
  });
}

void OperatorFront::history(const ExchangePtr &Exchange) {
  const std::string Name =
      net::RequestTarget(Exchange->target()).text("entry").value_or("");
  m_Control.post([this, Exchange, Name] {
    reply(Exchange, admin::encode(historyOf(m_Control.core(), Name)));
  });
}

std::vector<admin::NodeStatus> OperatorFront::agentStatus() const {
  std::vector<admin::NodeStatus> Nodes;
  for (const std::string &Agent : m_Links.agents()) {
    const auto State = m_Links.state(Agent);
    Nodes.push_back({Agent, "agent", State->m_Zone, State->m_CatalogueOffset,
                     base::Millis(0), State->m_Alive, State->m_Leaving,
                     State->m_HttpAddress});
  }
  return Nodes;
}

void OperatorFront::status(const ExchangePtr &Exchange) {
  m_Control.post([this, Exchange, Agents = agentStatus()] {
    const node::ControlSettings &Self = m_Control.settings();
    admin::Status Status;
    Status.m_Node = Self.m_Node;
    Status.m_Offset = m_Control.follower().state().offset();
    const bool Ready = m_Control.follower().ready(m_Control.now());
    Status.m_Nodes.push_back({Self.m_Node, "entry", Self.m_Zone,
                              Status.m_Offset, base::Millis(0), Ready,
                              m_Control.core().leaving(), Self.m_HttpAddress});
    for (const node::PeerStatus &Peer : m_Control.peers())
      if (!Peer.m_Agent)
        Status.m_Nodes.push_back(
            {Peer.m_Node, "entry", Peer.m_Zone, Peer.m_CatalogueOffset,
             m_Control.now() - Peer.m_HeardAt, !Peer.m_Leaving, Peer.m_Leaving,
             Peer.m_HttpAddress});
    Status.m_Nodes.insert(Status.m_Nodes.end(), Agents.begin(), Agents.end());
    reply(Exchange, admin::encode(Status));
  });
}

void OperatorFront::drain(const ExchangePtr &Exchange) {
  const auto Asked = admin::decodeDrainRequest(Exchange->body());
  if (!Asked) {
    Exchange->respondWithError(Asked.error());
    return;
  }
  const auto State = m_Links.state(Asked->m_BackendServer);
  if (!State || State->m_HttpAddress.empty()) {
    Exchange->respondWithError({base::ResultCode::NoReplica,
                                "Backend server '" + Asked->m_BackendServer +
                                    "' is not known or can't be reached. Run "
                                    "corneldeckctl status for the names.",
                                {}});
    return;
  }
  m_Http.post(State->m_HttpAddress, "/drain", "{}", DrainTimeout,
              [Exchange](base::Result<net::HttpResponse> Answer) {
                if (Answer)
                  Exchange->respond(*Answer);
                else
                  Exchange->respondWithError(Answer.error());
              });
}

} // namespace corneldeck::entry
