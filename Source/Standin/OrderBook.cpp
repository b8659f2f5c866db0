#include "Standin/OrderBook.h"

#include <algorithm>

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::size_t MaxOrders = 10'000;

bool isOrder(const json &Document) {
  const auto Fencing = Document.find("fencing");
  const auto Kind = Document.find("kind");
  return Fencing != Document.end() && Fencing->is_number_unsigned() &&
         Kind != Document.end() && Kind->is_string();
}

} // namespace

OrderBook::OrderBook(boost::asio::io_context &Context) : m_Context(Context) {}

void OrderBook::readFaults(FaultOrder &Order) {
  Order.take("enforce_fencing", m_EnforceFencing);
  Order.take("order_delay_ms", m_Delay);
}

void OrderBook::handle(const ExchangePtr &Exchange, FaultGate &Gate) {
  if (Exchange->method() == "GET") {
    list(Exchange);
    return;
  }
  const auto Document = parseObject(Exchange->body());
  if (!Document || !isOrder(*Document)) {
    Exchange->respondWithError({base::ResultCode::BadRequest,
                                "expected an order with fencing and kind",
                                {}});
    return;
  }
  if (m_Delay == base::Millis(0)) {
    apply(Exchange, *Document, Gate);
    return;
  }
  runAfter(m_Context, m_Delay, [this, Exchange, Order = *Document, &Gate] {
    apply(Exchange, Order, Gate);
  });
}

void OrderBook::apply(const ExchangePtr &Exchange, const json &Order,
                      FaultGate &Gate) {
  const auto Fencing = Order["fencing"].get<std::uint64_t>();
  if (m_EnforceFencing && Fencing < m_HighestFencing) {
    Exchange->respondWithError(
        {base::ResultCode::FencingRefused,
         "the fencing number is older than " + std::to_string(m_HighestFencing),
         {}});
    return;
  }
  m_HighestFencing = std::max(m_HighestFencing, Fencing);
  ++m_Applied;
  m_Orders.push_back(Order);
  if (m_Orders.size() > MaxOrders)
    m_Orders.pop_front();
  Gate.answerChange(Exchange, net::jsonResponse(dump(
                                  {{"applied", true}, {"number", m_Applied}})));
}

void OrderBook::list(const ExchangePtr &Exchange) const {
  Exchange->respond(
      net::jsonResponse(dump({{"applied", m_Applied},
                              {"highest_fencing", m_HighestFencing},
                              {"orders", m_Orders}})));
}

} // namespace corneldeck::standin
