#include "Ctl/OperatorClient.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

namespace corneldeck::ctl {

using nlohmann::json;

namespace {

constexpr int FirstBadStatus = 300;

/// \returns the error that an answer describes, or a general one.
base::Error errorOf(const net::HttpResponse &Answer) {
  const json Document = json::parse(Answer.m_Body, nullptr, false);
  base::Error Failure{base::ResultCode::Internal,
                      "HTTP status " + std::to_string(Answer.m_Status),
                      {}};
  const auto Described =
      Document.is_object() ? Document.find("error") : Document.end();
  if (Described == Document.end() || !Described->is_object())
    return Failure;
  const auto Code = Described->find("code");
  const auto Message = Described->find("message");
  if (Code != Described->end() && Code->is_number_integer())
    Failure.m_Code = base::resultCodeFromNumber(Code->get<int>())
                         .value_or(base::ResultCode::Internal);
  if (Message != Described->end() && Message->is_string())
    Failure.m_Message = Message->get<std::string>();
  return Failure;
}

/// \returns whether another entry may do what this one surely did not.
bool mayAskNext(const base::Error &Failure) {
  switch (Failure.m_Code) {
  case base::ResultCode::ConnectionFailed:
  case base::ResultCode::NotReady:
  case base::ResultCode::Stopping:
  case base::ResultCode::CatalogueTooOld:
  case base::ResultCode::Overloaded:
    return true;
  default:
    return false;
  }
}

base::Result<std::string> bodyOf(base::Result<net::HttpResponse> Outcome) {
  if (!Outcome)
    return tl::make_unexpected(Outcome.error());
  if (Outcome->m_Status >= FirstBadStatus)
    return tl::make_unexpected(errorOf(*Outcome));
  return std::move(Outcome->m_Body);
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> Entries,
                               base::Millis Timeout)
    : m_Entries(std::move(Entries)), m_Timeout(Timeout) {}

base::Result<std::string> OperatorClient::get(std::string_view Target) {
  net::HttpCall Call;
  Call.m_Target = Target;
  return askInTurn(std::move(Call));
}

base::Result<std::string> OperatorClient::post(std::string_view Target,
                                               std::string Body) {
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Target = Target;
  Call.m_Headers = {{"Content-Type", "application/json"}};
  Call.m_Body = std::move(Body);
  return askInTurn(std::move(Call));
}

base::Result<std::string> OperatorClient::askInTurn(net::HttpCall Call) {
  Call.m_Timeout = m_Timeout;
  base::Result<std::string> Last = base::failure(
      base::ResultCode::ConnectionFailed, "no entry's address was given");
  for (const std::string &Entry : m_Entries) {
    Call.m_Address = Entry;
    Last = std::move(askAll({Call}).front());
    if (Last || !mayAskNext(Last.error()))
      return Last;
  }
  return Last;
}

std::vector<base::Result<std::string>>
OperatorClient::getFromEach(const std::vector<std::string> &Addresses,
                            std::string_view Target) {
  std::vector<net::HttpCall> Calls;
  Calls.reserve(Addresses.size());
  for (const std::string &Address : Addresses) {
    net::HttpCall Call;
    Call.m_Address = Address;
    Call.m_Target = Target;
    Call.m_Timeout = m_Timeout;
    Calls.push_back(std::move(Call));
  }
  return askAll(Calls);
}

std::vector<base::Result<std::string>>
OperatorClient::askAll(const std::vector<net::HttpCall> &Calls) {
  std::vector<base::Result<std::string>> Bodies(Calls.size());
  std::size_t Left = Calls.size();
  for (std::size_t Index = 0; Index < Calls.size(); ++Index)
    m_Client.fetch(Calls[Index], [&, Index](auto Outcome) {
      Bodies[Index] = bodyOf(std::move(Outcome));
      --Left;
    });
  m_Context.restart();
  while (Left > 0)
    m_Context.run_one();
  return Bodies;
}

void OperatorClient::pause(base::Millis Time) {
  boost::asio::steady_timer Timer(m_Context,
                                  std::chrono::milliseconds(Time.count()));
  Timer.wait();
}

} // namespace corneldeck::ctl
