#include "Standin/ServiceRole.h"

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::size_t MaxRuns = 200'000;

/// Uses up one of \p Left ordered failures.
bool takeOne(std::uint64_t &Left) {
  if (Left == 0)
    return false;
  --Left;
  return true;
}

} // namespace

ServiceRole::ServiceRole(boost::asio::io_context &Context)
    : m_Context(Context),
      m_Role(Context,
             {[this](const ExchangePtr &Exchange) { handle(Exchange); },
              [this](FaultOrder &Order) {
                Order.take("run_ms", m_RunTime);
                Order.take("stall", m_Stall);
                Order.take("fail_before", m_FailBefore);
                Order.take("fail_after", m_FailAfter);
                Order.take("status", m_Status);
              },
              nullptr}) {}

void ServiceRole::handle(const ExchangePtr &Exchange) {
  if (Exchange->target() == "/runs" && Exchange->method() == "GET") {
    list(Exchange);
    return;
  }
  if (takeOne(m_FailBefore)) {
    Exchange->abort();
    return;
  }
  if (m_RunTime == base::Millis(0)) {
    run(Exchange);
    return;
  }
  // It runs to its end also if the caller goes away.
  runAfter(m_Context, m_RunTime, [this, Exchange] { run(Exchange); });
}

void ServiceRole::list(const ExchangePtr &Exchange) const {
  json Runs = json::array();
  for (const Run &Item : m_Runs)
    Runs.push_back({{"run", Item.m_Number},
                    {"path", Item.m_Path},
                    {"key", Item.m_Key},
                    {"request", Item.m_RequestId}});
  Exchange->respond(
      net::jsonResponse(dump({{"count", m_Count}, {"runs", Runs}})));
}

void ServiceRole::run(const ExchangePtr &Exchange) {
  const std::uint64_t Number = ++m_Count;
  if (Exchange->method() == "POST") {
    m_Runs.push_back({Number, std::string(Exchange->target()),
                      std::string(Exchange->header("Idempotency-Key")),
                      std::string(Exchange->header("X-Request-Id"))});
    if (m_Runs.size() > MaxRuns)
      m_Runs.pop_front();
  }
  if (takeOne(m_FailAfter)) {
    Exchange->abort();
    return;
  }
  if (!m_Stall) {
    answer(Exchange, Number);
    return;
  }
  m_Stalled.insert(Exchange);
  Exchange->onClosed(
      [this, Key = std::weak_ptr(Exchange)] { m_Stalled.erase(Key.lock()); });
}

void ServiceRole::answer(const ExchangePtr &Exchange, std::uint64_t Number) {
  const json Body = {{"run", Number},
                     {"path", std::string(Exchange->target())}};
  net::HttpResponse Answer = net::jsonResponse(dump(Body));
  Answer.m_Status = static_cast<int>(m_Status);
  m_Role.gate().answerChange(Exchange, Answer);
}

} // namespace corneldeck::standin
