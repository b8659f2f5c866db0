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
/// Timeout of a read without progress, in addition to its wait time.
constexpr base::Millis ReadTimeout = base::seconds(1);
/// Timeout of a read that makes progress. A record may be as large as a link
/// transfers in seconds.
constexpr base::Millis MaxReadTime = base::seconds(20);
/// Approximate size of the headers of a request and its response together.
constexpr std::size_t HeaderBytes = 300;

base::Error unexpectedStatus(int Status) {
  return {base::ResultCode::Timeout,
          "The log service responded with HTTP status " +
              std::to_string(Status) + ".",
          {}};
}

base::Result<std::uint64_t>
parseAppendResponse(const net::HttpResponse &Response) {
  if (Response.m_Status != HttpOk)
    return tl::unexpected(unexpectedStatus(Response.m_Status));
  const json Document = json::parse(Response.m_Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("offset") ||
      !Document["offset"].is_number_unsigned())
    return base::failure(base::ResultCode::Timeout,
                         "The log service's response has no offset.");
  return Document["offset"].get<std::uint64_t>();
}

base::Result<catalogue::PositionedRecord> parseRecord(const json &Item) {
  catalogue::PositionedRecord Record;
  Record.m_Offset = Item.at("offset").get<std::uint64_t>();
  const auto Bytes = net::decodeBase64(Item.at("data").get<std::string>());
  // A record that can't be decoded is replaced by an empty one, because it
  // still occupies its offset.
  if (!Bytes || !Record.m_Record.ParseFromString(*Bytes))
    Record.m_Record.Clear();
  return Record;
}

} // namespace

base::Result<catalogue::ReadResponse>
parseReadResponse(const std::string &Body) {
  try {
    const json Document = json::parse(Body);
    catalogue::ReadResponse Response;
    Response.m_Oldest = Document.at("oldest").get<std::uint64_t>();
    Response.m_Next = Document.at("next").get<std::uint64_t>();
    for (const json &Item : Document.at("records")) {
      auto Record = parseRecord(Item);
      if (!Record)
        return tl::unexpected(Record.error());
      Response.m_Records.push_back(std::move(*Record));
    }
    return Response;
  } catch (const json::exception &Problem) {
    return base::failure(base::ResultCode::BadMessage,
                         std::string("The log service's response can't be "
                                     "parsed: ") +
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
    OnBytes(HeaderBytes + Call.m_Body.size());
    Http.fetch(std::move(Call), [Done = std::move(Done)](
                                    base::Result<net::HttpResponse> Response) {
      if (!Response)
        Done(tl::unexpected(Response.error()));
      else
        Done(parseAppendResponse(*Response));
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
    Call.m_Timeout = Request.m_Wait + MaxReadTime;
    Call.m_ReadTimeout = Request.m_Wait + ReadTimeout;
    Http.fetch(std::move(Call), [Done = std::move(Done), OnBytes](
                                    base::Result<net::HttpResponse> Response) {
      OnBytes(HeaderBytes + (Response ? Response->m_Body.size() : 0));
      if (!Response)
        Done(tl::unexpected(Response.error()));
      else if (Response->m_Status != HttpOk)
        Done(tl::unexpected(unexpectedStatus(Response->m_Status)));
      else
        Done(parseReadResponse(Response->m_Body));
    });
  };
  return Client;
}

} // namespace corneldeck::node
