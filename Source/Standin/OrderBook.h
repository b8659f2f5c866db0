#ifndef CORNELDECK_STANDIN_ORDERBOOK_H
#define CORNELDECK_STANDIN_ORDERBOOK_H

#include "Standin/Faults.h"

#include <deque>

namespace corneldeck::standin {

/// The orders that an engine got: to load models, adapters and versions, or to
/// change its role.
///
/// POST takes {"fencing","kind",...} and applies it, now or after a delay. If
/// the engine enforces fencing numbers, an order with a number lower than one
/// that was applied is refused. GET lists the applied orders.
class OrderBook {
public:
  explicit OrderBook(boost::asio::io_context &Context);

  void handle(const ExchangePtr &Exchange, FaultGate &Gate);
  void readFaults(FaultOrder &Order);

private:
  void apply(const ExchangePtr &Exchange, const nlohmann::json &Order,
             FaultGate &Gate);
  void list(const ExchangePtr &Exchange) const;

  boost::asio::io_context &m_Context;
  bool m_EnforceFencing = true;
  base::Millis m_Delay{};
  std::uint64_t m_HighestFencing = 0;
  std::uint64_t m_Applied = 0;
  std::deque<nlohmann::json> m_Orders;
};

} // namespace corneldeck::standin

#endif
