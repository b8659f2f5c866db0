#include "Standin/LogRole.h"

#include "Net/Base64.h"

#include <algorithm>

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::uint64_t DefaultLimit = 100;
constexpr std::uint64_t MaxLimit = 10'000;
constexpr std::size_t MaxAnswerBytes = 4 * net::MiB;
constexpr std::uint64_t MaxWaitMillis = 60'000;
constexpr double MillisPerSecond = 1000;

} // namespace

LogRole::LogRole(boost::asio::io_context &Context)
    : m_Context(Context), m_TokensAt(m_Clock.now()),
      m_Role(Context,
             {[this](const ExchangePtr &Exchange) { handle(Exchange); },
              [this](FaultOrder &Order) {
                Order.take("append_rate", m_AppendRate);
                Order.take("retain_records", m_RetainRecords);
                Order.take("retain_ms", m_RetainTime);
                Order.take("lose_appends", m_LoseAppends);
              },
              [this] { expire(); }}) {}

void LogRole::handle(const ExchangePtr &Exchange) {
  const net::RequestTarget Of(Exchange->target());
  if (Of.path() == "/append" && Exchange->method() == "POST")
    append(Exchange);
  else if (Of.path() == "/read")
    read(Exchange, Of);
  else
    Exchange->respondWithError(
        {base::ResultCode::BadRequest, "use POST /append or GET /read", {}});
}

void LogRole::append(const ExchangePtr &Exchange) {
  if (!takeToken()) {
    Exchange->respondWithError({base::ResultCode::LimitExceeded,
                                "too many appends a second; come back later",
                                base::seconds(1)});
    return;
  }
  if (m_LoseAppends > 0) {
    --m_LoseAppends;
    Exchange->abort();
    return;
  }
  const std::uint64_t Offset = next();
  m_Records.push_back({Exchange->takeBody(), m_Clock.now()});
  expire();
  m_Role.gate().answerChange(Exchange,
                             net::jsonResponse(dump({{"offset", Offset}})));
  wake();
}

bool LogRole::takeToken() {
  const base::Millis Now = m_Clock.now();
  const double Elapsed = static_cast<double>((Now - m_TokensAt).count());
  m_TokensAt = Now;
  m_Tokens = std::min(m_Tokens + Elapsed * m_AppendRate / MillisPerSecond,
                      m_AppendRate);
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

void LogRole::expire() {
  const base::Millis Now = m_Clock.now();
  const bool ByTime = m_RetainTime > base::Millis(0);
  while (!m_Records.empty()) {
    const bool TooMany = m_Records.size() > m_RetainRecords;
    const bool TooOld = ByTime && Now - m_Records.front().m_At > m_RetainTime;
    if (!TooMany && !TooOld)
      return;
    m_Records.pop_front();
    ++m_Oldest;
  }
}

void LogRole::read(const ExchangePtr &Exchange, const net::RequestTarget &Of) {
  expire();
  const Waiter Reader{Exchange, Of.number("from", 1),
                      std::min(Of.number("limit", DefaultLimit), MaxLimit)};
  const std::uint64_t Wait = std::min(Of.number("wait_ms", 0), MaxWaitMillis);
  if (Reader.m_From < next() || Wait == 0)
    answer(Reader);
  else
    wait(Reader, base::Millis(static_cast<std::int64_t>(Wait)));
}

void LogRole::wait(const Waiter &Reader, base::Millis Longest) {
  const std::uint64_t Number = m_NextWaiter++;
  m_Waiters.emplace(Number, Reader);
  Reader.m_Exchange->onClosed([this, Number] { m_Waiters.erase(Number); });
  runAfter(m_Context, Longest, [this, Number] {
    const auto Found = m_Waiters.find(Number);
    if (Found == m_Waiters.end())
      return;
    const Waiter Late = Found->second;
    m_Waiters.erase(Found);
    answer(Late);
  });
}

void LogRole::wake() {
  // An outage also holds back the answers to readers that already wait.
  std::vector<Waiter> Ready;
  for (auto Item = m_Waiters.begin(); Item != m_Waiters.end();) {
    if (Item->second.m_From >= next()) {
      ++Item;
      continue;
    }
    Ready.push_back(Item->second);
    Item = m_Waiters.erase(Item);
  }
  for (const Waiter &Reader : Ready)
    m_Role.gate().pass(Reader.m_Exchange,
                       [this, Reader](const ExchangePtr &) { answer(Reader); });
}

void LogRole::answer(const Waiter &Reader) {
  json Records = json::array();
  std::size_t Bytes = 0;
  std::uint64_t Offset = std::max(Reader.m_From, m_Oldest);
  for (; Offset < next() && Records.size() < Reader.m_Limit &&
         Bytes < MaxAnswerBytes;
       ++Offset) {
    const Record &Item = m_Records[Offset - m_Oldest];
    Bytes += Item.m_Data.size();
    Records.push_back(
        {{"offset", Offset}, {"data", net::encodeBase64(Item.m_Data)}});
  }
  Reader.m_Exchange->respond(net::jsonResponse(
      dump({{"oldest", m_Oldest}, {"next", next()}, {"records", Records}})));
}

} // namespace corneldeck::standin
