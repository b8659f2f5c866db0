#include "Standin/Faults.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace corneldeck::standin {

namespace asio = boost::asio;
using nlohmann::json;

void runAfter(asio::io_context &Context, base::Millis Delay,
              std::function<void()> Todo) {
  auto Timer = std::make_shared<asio::steady_timer>(
      Context, std::chrono::milliseconds(Delay.count()));
  Timer->async_wait(
      [Timer, Todo = std::move(Todo)](const boost::system::error_code &Code) {
        if (!Code)
          Todo();
      });
}

std::string dump(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<json> parseObject(const std::string &Body) {
  json Document = json::parse(Body, nullptr, false);
  if (Document.is_object())
    return Document;
  return base::failure(base::ResultCode::BadRequest,
                       "the body is not a JSON object; correct it");
}

FaultOrder::FaultOrder(json Document) : m_Document(std::move(Document)) {}

const json *FaultOrder::find(const char *Key) {
  m_Known.insert(Key);
  const auto Found = m_Document.find(Key);
  return Found == m_Document.end() ? nullptr : &*Found;
}

void FaultOrder::reject(const char *Key, const std::string &Expected) {
  m_Problems += std::string(Key) + ": expected " + Expected + "; ";
}

void FaultOrder::take(const char *Key, bool &Into) {
  const json *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_boolean()) {
    reject(Key, "true or false");
    return;
  }
  m_Changes.emplace_back([&Into, New = Value->get<bool>()] { Into = New; });
}

void FaultOrder::take(const char *Key, std::uint64_t &Into) {
  const json *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_number_unsigned()) {
    reject(Key, "a whole number from 0");
    return;
  }
  m_Changes.emplace_back(
      [&Into, New = Value->get<std::uint64_t>()] { Into = New; });
}

void FaultOrder::take(const char *Key, double &Into) {
  const json *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_number() || Value->get<double>() < 0) {
    reject(Key, "a number from 0");
    return;
  }
  m_Changes.emplace_back([&Into, New = Value->get<double>()] { Into = New; });
}

void FaultOrder::take(const char *Key, base::Millis &Into) {
  constexpr std::uint64_t MostMillis = 86'400'000;
  const json *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_number_unsigned() ||
      Value->get<std::uint64_t>() > MostMillis) {
    reject(Key, "milliseconds from 0 to a day");
    return;
  }
  m_Changes.emplace_back(
      [&Into, New = Value->get<std::int64_t>()] { Into = base::Millis(New); });
}

void FaultOrder::take(const char *Key, const std::vector<std::string> &Names,
                      std::size_t &Into) {
  const json *Value = find(Key);
  if (!Value)
    return;
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    if (!Value->is_string() || Names[Index] != *Value)
      continue;
    m_Changes.emplace_back([&Into, Index] { Into = Index; });
    return;
  }
  reject(Key, "one of " + dump(Names));
}

base::Result<void> FaultOrder::apply() {
  for (const auto &[Key, Value] : m_Document.items())
    if (!m_Known.contains(Key))
      m_Problems += Key + ": not a fault of this stand-in; ";
  if (!m_Problems.empty())
    return base::failure(base::ResultCode::BadRequest, m_Problems);
  for (const auto &Change : m_Changes)
    Change();
  return {};
}

FaultGate::FaultGate(asio::io_context &Context) : m_Context(Context) {}

void FaultGate::pass(const ExchangePtr &Exchange, const Handler &Next) {
  switch (static_cast<Outage>(m_Outage)) {
  case Outage::Refuse:
    Exchange->respondWithError(
        {base::ResultCode::NotReady, "an outage was ordered", {}});
    return;
  case Outage::Hang:
    hold(Exchange);
    return;
  case Outage::Close:
    Exchange->abort();
    return;
  case Outage::None:
    break;
  }
  if (m_Delay == base::Millis(0)) {
    Next(Exchange);
    return;
  }
  runAfter(m_Context, m_Delay, [Exchange, Next] { Next(Exchange); });
}

void FaultGate::hold(const ExchangePtr &Exchange) {
  m_Held.insert(Exchange);
  Exchange->onClosed(
      [this, Key = std::weak_ptr(Exchange)] { m_Held.erase(Key.lock()); });
}

void FaultGate::answerChange(const ExchangePtr &Exchange,
                             const net::HttpResponse &Answer) {
  if (m_LoseAnswers == 0) {
    Exchange->respond(Answer);
    return;
  }
  --m_LoseAnswers;
  Exchange->abort();
}

void FaultGate::read(FaultOrder &Order) {
  Order.take("outage", {"none", "refuse", "hang", "close"}, m_Outage);
  Order.take("delay_ms", m_Delay);
  Order.take("lose_answers", m_LoseAnswers);
}

} // namespace corneldeck::standin
