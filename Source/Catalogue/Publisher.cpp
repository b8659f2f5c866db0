#include "Catalogue/Publisher.h"

#include "Catalogue/EntryParser.h"

namespace corneldeck::catalogue {

using base::ResultCode;

namespace {

wire::LogRecord makeRecord(const std::string &Node,
                           const PublishRequest &Request) {
  wire::LogRecord Record;
  Record.set_append_id(Request.m_ChangeId);
  Record.set_writer(Node);
  if (Request.m_Changes.size() == 1) {
    *Record.mutable_change() = Request.m_Changes.front();
    return Record;
  }
  for (const wire::CatalogueChange &Change : Request.m_Changes)
    *Record.mutable_batch()->add_changes() = Change;
  return Record;
}

PublishResponse makeResponse(const std::string &ChangeId,
                             const Outcome &Known) {
  return {ChangeId, Known.m_Code, Known.m_Offset, Known.m_Message};
}

PublishResponse unknownOutcome(const std::string &ChangeId) {
  return {ChangeId, ResultCode::PublishUnknown, 0,
          "the change has not appeared in the log yet; publish the same file "
          "again with --change-id " +
              ChangeId + ", it takes effect only once"};
}

/// \returns whether a rejected change stays rejected whatever records follow:
/// versions only increase and an owner never changes.
bool isFinal(const Outcome &Decision, const PublishRequest &Request,
             const State &Current) {
  if (Decision.m_Code == ResultCode::RejectedOwner)
    return true;
  if (Decision.m_Code == ResultCode::RejectedInvalid)
    return true;
  for (const wire::CatalogueChange &Change : Request.m_Changes) {
    const auto Found = Current.entries().find(Change.entry());
    if (Found != Current.entries().end() &&
        Found->second.m_Version > Change.expected_version())
      return true;
  }
  return false;
}

} // namespace

Publisher::Publisher(PublisherSettings Settings)
    : m_Settings(std::move(Settings)) {}

std::optional<PublishResponse>
Publisher::validate(const PublishRequest &Request) {
  PublishResponse Rejection{Request.m_ChangeId, ResultCode::RejectedInvalid, 0,
                            ""};
  if (Request.m_ChangeId.empty() || Request.m_Changes.empty()) {
    Rejection.m_Message = "the request has no change identifier or no changes";
    return Rejection;
  }
  for (const wire::CatalogueChange &Change : Request.m_Changes) {
    if (Change.deletion())
      continue;
    const base::Result<Entry> Read = parseEntry(Change.body(), Change.entry());
    if (!Read)
      Rejection.m_Message = Read.error().m_Message;
    else if (Read->m_Name != Change.entry())
      Rejection.m_Message = "the text names entry '" + Read->m_Name +
                            "', the change '" + Change.entry() + "'";
    else if (Read->m_Owner != Change.owner())
      Rejection.m_Message = "the text names owner '" + Read->m_Owner +
                            "', the change '" + Change.owner() + "'";
    if (!Rejection.m_Message.empty())
      return Rejection;
  }
  return std::nullopt;
}

PublisherActions Publisher::publish(base::Millis Now,
                                    const PublishRequest &Request,
                                    const State &Current) {
  PublisherActions Actions;
  if (std::optional<PublishResponse> Rejection = validate(Request)) {
    Actions.m_Responses.push_back(std::move(*Rejection));
    return Actions;
  }
  if (const auto Known = Current.outcome(Request.m_ChangeId)) {
    Actions.m_Responses.push_back(makeResponse(Request.m_ChangeId, *Known));
    return Actions;
  }
  const wire::LogRecord Record = makeRecord(m_Settings.m_Node, Request);
  const Outcome Decision = Current.evaluate(Record);
  if (!Decision.accepted() && isFinal(Decision, Request, Current)) {
    // An earlier append of these changes may be in the log after the offset
    // that this node has read, but then its version check fails as well.
    PublishResponse Rejected = makeResponse(Request.m_ChangeId, Decision);
    Rejected.m_Message += " (by " + m_Settings.m_Node + " as of offset " +
                          std::to_string(Current.offset()) + ")";
    Actions.m_Responses.push_back(std::move(Rejected));
    return Actions;
  }
  m_Pending[Request.m_ChangeId] = {Now + m_Settings.m_Timeout, Record,
                                   Request.m_IsRetry};
  Actions.m_Append.push_back(Record);
  return Actions;
}

PublisherActions
Publisher::onAppendCompleted(const std::string &ChangeId,
                             const base::Result<std::uint64_t> &Response) {
  PublisherActions Actions;
  const auto Found = m_Pending.find(ChangeId);
  if (Found == m_Pending.end() || Response)
    return Actions;
  if (Response.error().m_Code == ResultCode::ConnectionFailed) {
    if (Found->second.m_IsRetry)
      Actions.m_Responses.push_back(unknownOutcome(ChangeId));
    else
      Actions.m_Responses.push_back(
          {ChangeId, ResultCode::LogUnavailable, 0,
           "the log is unreachable, nothing was published; try again later"});
    m_Pending.erase(Found);
    return Actions;
  }
  if (m_Settings.m_InjectBlindRetry) {
    Pending Retry = Found->second;
    m_Pending.erase(Found);
    const std::string NewId = ChangeId + "~" + std::to_string(++m_BlindRetries);
    Retry.m_Record.set_append_id(NewId);
    m_Pending[NewId] = Retry;
    Actions.m_Append.push_back(Retry.m_Record);
  }
  return Actions;
}

PublisherActions Publisher::tick(base::Millis Now, const State &Current) {
  PublisherActions Actions;
  for (auto Item = m_Pending.begin(); Item != m_Pending.end();) {
    const std::string ChangeId = Item->first.substr(0, Item->first.find('~'));
    if (const auto Known = Current.outcome(Item->first)) {
      Actions.m_Responses.push_back(makeResponse(ChangeId, *Known));
      Item = m_Pending.erase(Item);
    } else if (Now >= Item->second.m_Deadline) {
      Actions.m_Responses.push_back(unknownOutcome(ChangeId));
      Item = m_Pending.erase(Item);
    } else {
      ++Item;
    }
  }
  return Actions;
}

} // namespace corneldeck::catalogue
