#include "Entry/OperatorHandler.h"

#include "Net/RequestTarget.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace corneldeck::entry {

namespace {

constexpr base::Millis DrainTimeout = base::seconds(3);

catalogue::PublishRequest toCatalogue(const admin::PublishRequest &Request) {
  catalogue::PublishRequest Result;
  Result.m_ChangeId = Request.m_ChangeId;
  // corneldeckctl keeps the change identifier when it retries, so any request
  // may be a retry.
  Result.m_IsRetry = true;
  for (const admin::Change &Item : Request.m_Changes) {
    wire::CatalogueChange Change;
    Change.set_entry(Item.m_Entry);
    Change.set_expected_version(Item.m_ExpectedVersion);
    Change.set_owner(Item.m_Owner);
    Change.set_body(Item.m_Body);
    Change.set_deletion(Item.m_Deletion);
    Result.m_Changes.push_back(std::move(Change));
  }
  return Result;
}

admin::PublishResult resultOf(base::ResultCode Code) {
  if (Code == base::ResultCode::Ok)
    return admin::PublishResult::Accepted;
  if (Code == base::ResultCode::PublishUnknown)
    return admin::PublishResult::Unknown;
  return admin::PublishResult::Rejected;
}

admin::PublishResponse toAdmin(const catalogue::PublishResponse &Answer) {
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
  for (const node::PastChange &Change : Core.history(Entry)) {
    History.m_Since = std::min(History.m_Since, Change.m_Offset);
    History.m_Changes.push_back({Change.m_Offset, Change.m_Version,
                                 Change.m_Owner, true,
                                 Change.m_Deleted ? "deleted" : ""});
  }
  return History;
}

} // namespace

OperatorHandler::OperatorHandler(boost::asio::io_context &Loop,
                                 node::ControlLoop &Control,
                                 const AgentLinks &Links, net::HttpClient &Http)
    : m_Loop(Loop), m_Control(Control), m_Links(Links), m_Http(Http) {}

bool OperatorHandler::handle(const ExchangePtr &Exchange) {
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
    Exchange->respondWithError(
        {base::ResultCode::UnknownService, "Unknown operator path.", {}});
  return true;
}

void OperatorHandler::postResponse(const ExchangePtr &Exchange,
                                   std::string Body) {
  boost::asio::post(m_Loop, [Exchange, Body = std::move(Body)]() mutable {
    Exchange->respond(net::jsonResponse(std::move(Body)));
  });
}

void OperatorHandler::publish(const ExchangePtr &Exchange) {
  const auto Request = admin::decodePublishRequest(Exchange->body());
  if (!Request) {
    Exchange->respondWithError(Request.error());
    return;
  }
  m_Control.publish(toCatalogue(*Request),
                    [this, Exchange](const catalogue::PublishResponse &Answer) {
                      postResponse(Exchange, admin::encode(toAdmin(Answer)));
                    });
}

void OperatorHandler::entries(const ExchangePtr &Exchange) {
  m_Control.post([this, Exchange] {
    postResponse(Exchange,
                 admin::encode(listEntries(m_Control.follower().state())));
  });
}

void OperatorHandler::history(const ExchangePtr &Exchange) {
  const std::string Name =
      net::RequestTarget(Exchange->target()).text("entry").value_or("");
  m_Control.post([this, Exchange, Name] {
    postResponse(Exchange, admin::encode(historyOf(m_Control.core(), Name)));
  });
}

std::vector<admin::NodeStatus> OperatorHandler::agentStatus() const {
  std::vector<admin::NodeStatus> Nodes;
  for (const std::string &Agent : m_Links.agents()) {
    const auto State = m_Links.state(Agent);
    Nodes.push_back({Agent, "agent", State->m_Zone, State->m_CatalogueOffset,
                     base::Millis(0), State->m_Alive, State->m_Leaving,
                     State->m_HttpAddress});
  }
  return Nodes;
}

void OperatorHandler::status(const ExchangePtr &Exchange) {
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
             m_Control.now() - Peer.m_LastSeenAt, !Peer.m_Leaving,
             Peer.m_Leaving, Peer.m_HttpAddress});
    Status.m_Nodes.insert(Status.m_Nodes.end(), Agents.begin(), Agents.end());
    postResponse(Exchange, admin::encode(Status));
  });
}

void OperatorHandler::drain(const ExchangePtr &Exchange) {
  const auto Request = admin::decodeDrainRequest(Exchange->body());
  if (!Request) {
    Exchange->respondWithError(Request.error());
    return;
  }
  const auto State = m_Links.state(Request->m_BackendServer);
  if (!State || State->m_HttpAddress.empty()) {
    Exchange->respondWithError({base::ResultCode::NoReplica,
                                "Backend server '" + Request->m_BackendServer +
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
