#include "Node/LogHttpClient.h"

#include "Net/Base64.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace corneldeck::node {

using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr base::Millis AppendTimeout = base::seconds(3);
constexpr base::Millis ReadMargin = base::seconds(1);
/// The heads of a request and its answer together, about.
constexpr std::size_t HeadBytes = 300;

base::Error statusError(int Status) {
  return {base::ResultCode::Timeout,
          "The log service answered with HTTP status " +
              std::to_string(Status) + ".",
          {}};
}

base::Result<std::uint64_t> parseAppend(const net::HttpResponse &Answer) {
  if (Answer.m_Status != HttpOk)
    return tl::unexpected(statusError(Answer.m_Status));
  const json Document = json::parse(Answer.m_Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("offset") ||
      !Document["offset"].is_number_unsigned())
    return base::failure(base::ResultCode::Timeout,
                         "The log service's answer has no offset.");
  return Document["offset"].get<std::uint64_t>();
}

base::Result<catalogue::PositionedRecord> parseRecord(const json &Item) {
  catalogue::PositionedRecord Record;
  Record.m_Offset = Item.at("offset").get<std::uint64_t>();
  const auto Bytes = net::decodeBase64(Item.at("data").get<std::string>());
  // A record that is not ours still takes up its offset.
  if (!Bytes || !Record.m_Record.ParseFromString(*Bytes))
    Record.m_Record.Clear();
  return Record;
}

} // namespace

base::Result<catalogue::ReadResponse>
parseReadResponse(const std::string &Body) {
  try {
    const json Document = json::parse(Body);
    catalogue::ReadResponse Answer;
    Answer.m_Oldest = Document.at("oldest").get<std::uint64_t>();
    Answer.m_Next = Document.at("next").get<std::uint64_t>();
    for (const json &Item : Document.at("records")) {
      auto Record = parseRecord(Item);
      if (!Record)
        return tl::unexpected(Record.error());
      Answer.m_Records.push_back(std::move(*Record));
    }
    return Answer;
  } catch (const json::exception &Problem) {
    return base::failure(base::ResultCode::BadMessage,
                         std::string("The log service's answer can't be "
                                     "read: ") +
                             Problem.what());
  }
}

catalogue::LogClient
makeLogClient(net::HttpClient &Http, const std::string &Address,
              const std::function<void(std::size_t)> &OnBytes) {
  catalogue::LogClient Client;
  Client.m_Append = [&Http, Address,
                     OnBytes](const wire::LogRecord &Record,
                              catalogue::LogClient::AppendDone Done) {
    net::HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Address = Address;
    Call.m_Target = "/append";
    Call.m_Body = Record.SerializeAsString();
    Call.m_Timeout = AppendTimeout;
    OnBytes(HeadBytes + Call.m_Body.size());
    Http.fetch(std::move(Call), [Done = std::move(Done)](
                                    base::Result<net::HttpResponse> Answer) {
      if (!Answer)
        Done(tl::unexpected(Answer.error()));
      else
        Done(parseAppend(*Answer));
    });
  };
  Client.m_Read = [&Http, Address,
                   OnBytes](const catalogue::ReadRequest &Request,
                            catalogue::LogClient::ReadDone Done) {
    net::HttpCall Call;
    Call.m_Address = Address;
    Call.m_Target = "/read?from=" + std::to_string(Request.m_From) +
                    "&limit=" + std::to_string(Request.m_Limit) +
                    "&wait_ms=" + std::to_string(Request.m_Wait.count());
    Call.m_Timeout = Request.m_Wait + ReadMargin;
    Http.fetch(std::move(Call), [Done = std::move(Done), OnBytes](
                                    base::Result<net::HttpResponse> Answer) {
      OnBytes(HeadBytes + (Answer ? Answer->m_Body.size() : 0));
      if (!Answer)
        Done(tl::unexpected(Answer.error()));
      else if (Answer->m_Status != HttpOk)
        Done(tl::unexpected(statusError(Answer->m_Status)));
      else
        Done(parseReadResponse(Answer->m_Body));
    });
  };
  return Client;
}

} // namespace corneldeck::node
