#include "Catalogue/Publisher.h"

#include "Catalogue/EntryParser.h"

namespace corneldeck::catalogue {

using base::ResultCode;

namespace {

wire::LogRecord recordOf(const std::string &Node,
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

PublishResponse answerOf(const std::string &ChangeId, const Outcome &Known) {
  return {ChangeId, Known.m_Code, Known.m_Offset, Known.m_Message};
}

PublishResponse unknown(const std::string &ChangeId) {
  return {ChangeId, ResultCode::PublishUnknown, 0,
          "the log has not shown the change yet; publish the same file again "
          "with --change-id " +
              ChangeId + ", it can't take effect twice"};
}

/// \returns whether a change that is rejected now stays rejected whatever
/// records follow: versions only grow and owners stay.
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
Publisher::checkBodies(const PublishRequest &Request) {
  PublishResponse Wrong{Request.m_ChangeId, ResultCode::RejectedInvalid, 0, ""};
  if (Request.m_ChangeId.empty() || Request.m_Changes.empty()) {
    Wrong.m_Message = "a change needs an identifier and at least one entry";
    return Wrong;
  }
  for (const wire::CatalogueChange &Change : Request.m_Changes) {
    if (Change.deletion())
      continue;
    const base::Result<Entry> Read = parseEntry(Change.body(), Change.entry());
    if (!Read)
      Wrong.m_Message = Read.error().m_Message;
    else if (Read->m_Name != Change.entry())
      Wrong.m_Message = "the text names entry '" + Read->m_Name +
                        "', the change '" + Change.entry() + "'";
    else if (Read->m_Owner != Change.owner())
      Wrong.m_Message = "the text names owner '" + Read->m_Owner +
                        "', the change '" + Change.owner() + "'";
    if (!Wrong.m_Message.empty())
      return Wrong;
  }
  return std::nullopt;
}

PublisherActions Publisher::publish(base::Millis Now,
                                    const PublishRequest &Request,
                                    const State &Current) {
  PublisherActions Actions;
  if (std::optional<PublishResponse> Wrong = checkBodies(Request)) {
    Actions.m_Answers.push_back(std::move(*Wrong));
    return Actions;
  }
  if (const auto Known = Current.outcome(Request.m_ChangeId)) {
    Actions.m_Answers.push_back(answerOf(Request.m_ChangeId, *Known));
    return Actions;
  }
  const wire::LogRecord Record = recordOf(m_Settings.m_Node, Request);
  const Outcome Decision = Current.decide(Record);
  if (!Decision.accepted() && isFinal(Decision, Request, Current)) {
    // An earlier append of these changes may have landed where this node has
    // not read yet, but then its version check fails the same way.
    PublishResponse Rejected = answerOf(Request.m_ChangeId, Decision);
    Rejected.m_Message += " (by " + m_Settings.m_Node + " as of offset " +
                          std::to_string(Current.offset()) + ")";
    Actions.m_Answers.push_back(std::move(Rejected));
    return Actions;
  }
  m_Pending[Request.m_ChangeId] = {Now + m_Settings.m_Timeout, Record,
                                   Request.m_IsRetry};
  Actions.m_Append.push_back(Record);
  return Actions;
}

PublisherActions
Publisher::onAppendCompleted(const std::string &ChangeId,
                             const base::Result<std::uint64_t> &Answer) {
  PublisherActions Actions;
  const auto Found = m_Pending.find(ChangeId);
  if (Found == m_Pending.end() || Answer)
    return Actions;
  if (Answer.error().m_Code == ResultCode::ConnectionFailed) {
    if (Found->second.m_IsRetry)
      Actions.m_Answers.push_back(unknown(ChangeId));
    else
      Actions.m_Answers.push_back(
          {ChangeId, ResultCode::LogUnavailable, 0,
           "the log can't be reached, nothing was published; try again later"});
    m_Pending.erase(Found);
    return Actions;
  }
  if (m_Settings.m_InjectBlindRetry) {
    Pending Again = Found->second;
    m_Pending.erase(Found);
    const std::string NewId = ChangeId + "~" + std::to_string(++m_Repeats);
    Again.m_Record.set_append_id(NewId);
    m_Pending[NewId] = Again;
    Actions.m_Append.push_back(Again.m_Record);
  }
  return Actions;
}

PublisherActions Publisher::tick(base::Millis Now, const State &Current) {
  PublisherActions Actions;
  for (auto Item = m_Pending.begin(); Item != m_Pending.end();) {
    const std::string ChangeId = Item->first.substr(0, Item->first.find('~'));
    if (const auto Known = Current.outcome(Item->first)) {
      Actions.m_Answers.push_back(answerOf(ChangeId, *Known));
      Item = m_Pending.erase(Item);
    } else if (Now >= Item->second.m_Deadline) {
      Actions.m_Answers.push_back(unknown(ChangeId));
      Item = m_Pending.erase(Item);
    } else {
      ++Item;
    }
  }
  return Actions;
}

} // namespace corneldeck::catalogue
