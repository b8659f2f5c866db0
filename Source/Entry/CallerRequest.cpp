#include "Entry/CallerRequest.h"

#include "Base/PromptBlocks.h"
#include "Claims/ClaimSettings.h"
#include "Net/RequestTarget.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace corneldeck::entry {

using base::ResultCode;
using nlohmann::json;

namespace {

constexpr std::size_t MaxKeyBytes = 255;
constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
constexpr std::string_view CustomerHeader = "X-Customer";
constexpr std::string_view KeyCreatedHeader = "Idempotency-Key-Created";

base::Result<std::int64_t> readNumber(const net::HttpExchange &Exchange,
                                      std::string_view Name) {
  const std::string_view Text = Exchange.header(Name);
  std::int64_t Value = 0;
  const auto [End, Problem] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Problem != std::errc() || End != Text.data() + Text.size() || Value <= 0)
    return base::failure(ResultCode::BadRequest,
                         std::string(Name) +
                             ": expected a whole number of milliseconds "
                             "above 0, found '" +
                             std::string(Text) + "'.");
  return Value;
}

base::Result<void> readDeadline(const net::HttpExchange &Exchange,
                                base::Millis Now, CallerRequest &Read) {
  base::Millis Allowed = Read.m_Entry->m_Deadlines.m_Default;
  if (!Exchange.header(DeadlineHeader).empty()) {
    const auto Asked = readNumber(Exchange, DeadlineHeader);
    if (!Asked)
      return tl::unexpected(Asked.error());
    Allowed = base::Millis(*Asked);
  }
  Read.m_Spec.m_Deadline =
      Now + std::min(Allowed, Read.m_Entry->m_Deadlines.m_Max);
  return {};
}

base::Result<void> readKey(const net::HttpExchange &Exchange, base::Millis Wall,
                           request::RequestSpec &Spec) {
  Spec.m_Key = Exchange.header(IdempotencyKeyHeader);
  if (Spec.m_Key.size() > MaxKeyBytes)
    return base::failure(ResultCode::BadRequest,
                         "Idempotency-Key: expected at most 255 bytes.");
  if (Exchange.header(KeyCreatedHeader).empty())
    return {};
  const auto Created = readNumber(Exchange, KeyCreatedHeader);
  if (!Created)
    return tl::unexpected(Created.error());
  Spec.m_KeyCreated = base::Millis(*Created);
  if (Spec.m_KeyCreated > Wall + claims::MaxKeyTimeAhead)
    return base::failure(
        ResultCode::BadRequest,
        "Idempotency-Key-Created is in the future: correct the "
        "caller's clock.");
  return {};
}

base::Result<void> readCustomer(const net::HttpExchange &Exchange,
                                CallerRequest &Read) {
  Read.m_Spec.m_Customer = Exchange.header(CustomerHeader);
  if (Read.m_Spec.m_Customer.empty())
    return base::failure(ResultCode::BadRequest,
                         "X-Customer is missing: name the customer.");
  if (Read.m_Entry->customerLimit(Read.m_Spec.m_Customer) == nullptr)
    return base::failure(
        ResultCode::Unauthorized,
        "Entry '" + Read.m_Entry->m_Name + "' does not list customer '" +
            Read.m_Spec.m_Customer + "': ask its owner to add it.");
  return {};
}

std::string promptOf(const json &Document) {
  std::string Prompt;
  for (const json &Message : Document.at("messages")) {
    Prompt += Message.at("role").get<std::string>();
    Prompt += ": ";
    Prompt += Message.at("content").get<std::string>();
    Prompt += '\n';
  }
  return Prompt;
}

base::Result<std::string> readChat(const std::string &Body,
                                   CallerRequest &Read) {
  try {
    const json Document = json::parse(Body);
    const std::string Prompt = promptOf(Document);
    Read.m_PromptTokens = base::promptTokens(Prompt);
    Read.m_Spec.m_PrefixBlocks = base::promptBlocks(Prompt);
    Read.m_Spec.m_Stream = Document.value("stream", false);
    Read.m_MaxTokens = Document.value("max_tokens", 0U);
    return Document.at("model").get<std::string>();
  } catch (const json::exception &Problem) {
    return base::failure(
        ResultCode::BadRequest,
        std::string("The body is not a chat completion request: ") +
            Problem.what() + ".");
  }
}

/// Splits "/services/NAME/rest" into the name and "/rest".
std::string readServicePath(std::string_view Target,
                            request::RequestSpec &Spec) {
  const std::string_view Rest = Target.substr(ServicesPath.size());
  const std::size_t End = std::min(Rest.find_first_of("/?"), Rest.size());
  Spec.m_Path = Rest.substr(End);
  if (Spec.m_Path.empty() || Spec.m_Path.front() != '/')
    Spec.m_Path.insert(0, "/");
  return std::string(Rest.substr(0, End));
}

base::Result<std::string> readService(net::HttpExchange &Exchange,
                                      CallerRequest &Read) {
  request::RequestSpec &Spec = Read.m_Spec;
  Spec.m_Method = Exchange.method();
  Spec.m_ContentType = Exchange.header("Content-Type");
  if (Exchange.target() == ChatPath) {
    if (Spec.m_Method != "POST")
      return base::failure(ResultCode::BadRequest, "Use POST for completions.");
    Spec.m_Path = ChatPath;
    Spec.m_Body = Exchange.takeBody();
    return readChat(Spec.m_Body, Read);
  }
  Spec.m_Body = Exchange.takeBody();
  return readServicePath(Exchange.target(), Spec);
}

base::Result<void> findEntry(const catalogue::View &View,
                             const std::string &Name, CallerRequest &Read) {
  Read.m_Entry = View.find(Name);
  const bool Chat = Read.m_Spec.m_Path == ChatPath;
  const bool Model =
      Read.m_Entry && Read.m_Entry->m_Kind == catalogue::Kind::Model;
  if (!Read.m_Entry || Chat != Model)
    return base::failure(ResultCode::UnknownService,
                         "The catalogue has no " +
                             std::string(Chat ? "model" : "service") + " '" +
                             Name + "'.");
  Read.m_Spec.m_Service = Name;
  Read.m_Spec.m_CatalogueOffset = View.changeOffset(Name);
  Read.m_Spec.m_Priority = static_cast<std::uint32_t>(Read.m_Entry->m_Class);
  return {};
}

/// Refuses texts that are not printable ASCII. Protobuf strings must be UTF-8,
/// and an unparsable frame would close the connection to the agent, which other
/// callers share.
base::Result<void> checkTexts(const request::RequestSpec &Spec) {
  const std::pair<std::string_view, std::string_view> Texts[] = {
      {"the path", Spec.m_Path},
      {"Content-Type", Spec.m_ContentType},
      {"Idempotency-Key", Spec.m_Key}};
  for (const auto &[Name, Text] : Texts)
    if (!net::isPrintable(Text))
      return base::failure(ResultCode::BadRequest,
                           std::string(Name) +
                               ": expected printable ASCII; escape other "
                               "characters.");
  return {};
}

bool isSafeMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD";
}

} // namespace

base::Result<CallerRequest> readCallerRequest(net::HttpExchange &Exchange,
                                              const catalogue::View &View,
                                              base::Millis Now,
                                              base::Millis Wall) {
  CallerRequest Read;
  const auto Name = readService(Exchange, Read);
  if (!Name)
    return tl::unexpected(Name.error());
  if (const auto Found = findEntry(View, *Name, Read); !Found)
    return tl::unexpected(Found.error());
  if (const auto Customer = readCustomer(Exchange, Read); !Customer)
    return tl::unexpected(Customer.error());
  if (const auto Deadline = readDeadline(Exchange, Now, Read); !Deadline)
    return tl::unexpected(Deadline.error());
  request::RequestSpec &Spec = Read.m_Spec;
  if (const auto Key = readKey(Exchange, Wall, Spec); !Key)
    return tl::unexpected(Key.error());
  if (const auto Texts = checkTexts(Spec); !Texts)
    return tl::unexpected(Texts.error());
  Spec.m_Idempotent =
      Spec.m_Key.empty() &&
      (isSafeMethod(Spec.m_Method) || Read.m_Entry->isIdempotent(Spec.m_Path));
  return Read;
}

} // namespace corneldeck::entry
