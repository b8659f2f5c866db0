#include "Base/ResultCode.h"

#include <algorithm>
#include <array>

namespace corneldeck::base {

namespace {

constexpr std::array Table{
    ResultCodeInfo{ResultCode::Ok, "ok", 200, Ran::Yes,
                   "The response is complete.", "Use the response."},
    ResultCodeInfo{ResultCode::BadRequest, "bad-request", 400, Ran::No,
                   "The request is malformed.",
                   "Correct the request; do not retry it unchanged."},
    ResultCodeInfo{ResultCode::UnknownService, "unknown-service", 404, Ran::No,
                   "No catalogue entry has this name.",
                   "Correct the name, or publish the entry."},
    ResultCodeInfo{ResultCode::Unauthorized, "unauthorized", 403, Ran::No,
                   "The entry does not admit this customer.",
                   "Ask the entry's owner to add the customer."},
    ResultCodeInfo{ResultCode::TooLarge, "too-large", 413, Ran::No,
                   "Head or body exceeds the size limit.",
                   "Send a smaller request."},
    ResultCodeInfo{ResultCode::UnknownKey, "unknown-key", 401, Ran::No,
                   "The request carries no valid customer key.",
                   "Send the key that the operators gave you."},
    ResultCodeInfo{ResultCode::LimitExceeded, "limit-exceeded", 429, Ran::No,
                   "The customer exceeds its limit.",
                   "Retry after the time in Retry-After."},
    ResultCodeInfo{ResultCode::Overloaded, "overloaded", 503, Ran::No,
                   "All replicas are at capacity.",
                   "Retry after the time in Retry-After."},
    ResultCodeInfo{ResultCode::DeadlineTooShort, "deadline-too-short", 503,
                   Ran::No, "The deadline can't be met at this load.",
                   "Retry after the time in Retry-After, or allow more time."},
    ResultCodeInfo{ResultCode::RetryBudgetSpent, "retry-budget-spent", 503,
                   Ran::No,
                   "The first replica refused the request, and the retry "
                   "budget is used up.",
                   "Retry after the time in Retry-After."},
    ResultCodeInfo{ResultCode::RequestQuarantined, "request-quarantined", 503,
                   Ran::No,
                   "Several backend servers ended under requests with a part "
                   "of this prompt.",
                   "Do not send the same prompt again before the time in "
                   "Retry-After."},
    ResultCodeInfo{ResultCode::NoReplica, "no-replica", 503, Ran::No,
                   "No backend server of the entry can be reached.",
                   "Retry after the time in Retry-After."},
    ResultCodeInfo{ResultCode::NotReady, "not-ready", 503, Ran::No,
                   "The process has not loaded a catalogue yet.",
                   "Use another address."},
    ResultCodeInfo{ResultCode::Stopping, "stopping", 503, Ran::No,
                   "The process or backend server is stopping.",
                   "Use another address at once."},
    ResultCodeInfo{ResultCode::CatalogueTooOld, "catalogue-too-old", 503,
                   Ran::No, "The catalogue of the process is stale.",
                   "Use another address at once."},
    ResultCodeInfo{ResultCode::NotStarted, "not-started", 503, Ran::No,
                   "The message was lost before it reached a backend server.",
                   "Retry after the time in Retry-After."},
    ResultCodeInfo{ResultCode::RouteUnusable, "route-unusable", 503, Ran::No,
                   "The route of the request is invalid in the configuration "
                   "in force.",
                   "Ask the operators to correct the route; retry after the "
                   "time in Retry-After."},
    ResultCodeInfo{ResultCode::ClaimHomeUnavailable, "claim-home-unavailable",
                   503, Ran::Unknown,
                   "The only backend server with the record of this key is "
                   "unreachable; an earlier request may have run.",
                   "Retry with the same key after the time in Retry-After."},
    ResultCodeInfo{ResultCode::ClaimWindow, "claim-window", 503, Ran::Unknown,
                   "The record of this key was lost with a backend server; "
                   "the request may have run.",
                   "Check the effect before using a new key."},
    ResultCodeInfo{ResultCode::KeyReused, "key-reused", 422, Ran::No,
                   "The idempotency key was used for a different request.",
                   "Use a new key for a new request."},
    ResultCodeInfo{ResultCode::KeyTooOld, "key-too-old", 409, Ran::Unknown,
                   "The key is older than the retention period for keys.",
                   "Check the effect before using a new key."},
    ResultCodeInfo{ResultCode::DeadlineExceeded, "deadline-exceeded", 504,
                   Ran::Unknown, "The deadline passed during the run.",
                   "Retry with the same key to attach, or check the effect."},
    ResultCodeInfo{ResultCode::Cancelled, "cancelled", 499, Ran::Unknown,
                   "The caller cancelled or closed the connection.", "None."},
    ResultCodeInfo{ResultCode::BackendFailed, "backend-failed", 502,
                   Ran::Unknown, "The backend server failed during the run.",
                   "Retry only if the request is idempotent."},
    ResultCodeInfo{
        ResultCode::StreamBroken, "stream-broken", 502, Ran::Unknown,
        "The stream ended early, after the stated number of tokens.",
        "Continue from that token only if the request is idempotent."},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "outcome-unknown", 504,
                   Ran::Unknown, "The backend server stopped responding.",
                   "Retry with the same key, or check the effect."},
    ResultCodeInfo{ResultCode::RunningElsewhere, "running-elsewhere", 409,
                   Ran::Unknown, "A request with the same key is running.",
                   "Retry with the same key after the time in Retry-After."},
    ResultCodeInfo{
        ResultCode::AnswerNotKept, "answer-not-kept", 409, Ran::Yes,
        "A request with this key ran before; its response is no longer stored.",
        "Treat it as done; do not retry."},
    ResultCodeInfo{ResultCode::RejectedVersion, "rejected-version", 409,
                   Ran::No, "Another change was accepted first.",
                   "Read the entry again and publish against its new version."},
    ResultCodeInfo{ResultCode::RejectedOwner, "rejected-owner", 403, Ran::No,
                   "The entry belongs to another owner.", "Ask its owner."},
    ResultCodeInfo{ResultCode::RejectedInvalid, "rejected-invalid", 400,
                   Ran::No, "The entry violates a rule of the catalogue.",
                   "Correct the file."},
    ResultCodeInfo{ResultCode::PublishUnknown, "publish-unknown", 504,
                   Ran::Unknown, "The log's response was lost.",
                   "Retry with the same change identifier."},
    ResultCodeInfo{ResultCode::LogUnavailable, "log-unavailable", 503, Ran::No,
                   "The log service does not respond.",
                   "Retry once the log service responds again."},
    ResultCodeInfo{ResultCode::LeaseNotHeld, "lease-not-held", 409, Ran::No,
                   "The lease is held by another process.", "None."},
    ResultCodeInfo{ResultCode::FencingRefused, "fencing-refused", 409, Ran::No,
                   "The order carries an old fencing number.", "None."},
    ResultCodeInfo{ResultCode::NotInForceYet, "not-in-force-yet", 504, Ran::Yes,
                   "The change was accepted, but some nodes lag behind.",
                   "Run corneldeckctl status to see which nodes lag."},
    ResultCodeInfo{ResultCode::BadSettings, "bad-settings", 500, Ran::No,
                   "A settings file is invalid.", "Correct the file."},
    ResultCodeInfo{ResultCode::BadMessage, "bad-message", 400, Ran::No,
                   "A message is malformed.",
                   "Check the versions of both sides."},
    ResultCodeInfo{ResultCode::Timeout, "timeout", 504, Ran::Unknown,
                   "No response arrived before the timeout.",
                   "Retry if the request is idempotent."},
    ResultCodeInfo{ResultCode::ConnectionFailed, "connection-failed", 502,
                   Ran::No, "No connection could be established.",
                   "Use another address."},
    ResultCodeInfo{ResultCode::LogGap, "log-gap", 500, Ran::No,
                   "Records were lost before they were read.",
                   "Publish a snapshot from a node that has them."},
    ResultCodeInfo{ResultCode::Internal, "internal", 500, Ran::Unknown,
                   "An internal error of corneldeck.",
                   "Report it with the timeline."},
};

} // namespace

std::span<const ResultCodeInfo> resultCodes() { return Table; }

const ResultCodeInfo &info(ResultCode Code) {
  const auto *Row = std::find_if(
      Table.begin(), Table.end(),
      [Code](const ResultCodeInfo &Info) { return Info.m_Code == Code; });
  return Row == Table.end() ? Table.back() : *Row;
}

std::optional<ResultCode> resultCodeFromNumber(int Number) {
  const auto *Row = std::find_if(
      Table.begin(), Table.end(), [Number](const ResultCodeInfo &Info) {
        return static_cast<int>(Info.m_Code) == Number;
      });
  if (Row == Table.end())
    return std::nullopt;
  return Row->m_Code;
}

std::string_view name(Ran Value) {
  switch (Value) {
  case Ran::No:
    return "no";
  case Ran::Yes:
    return "yes";
  case Ran::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view name(ResultCode Code) { return info(Code).m_Name; }

} // namespace corneldeck::base
