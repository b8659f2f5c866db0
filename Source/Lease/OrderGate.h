#ifndef CORNELDECK_LEASE_ORDERGATE_H
#define CORNELDECK_LEASE_ORDERGATE_H

#include "Base/Error.h"
#include "Lease/LeaseTable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::lease {

/// An order from a lease holder to an engine.
struct Order {
  /// Unique to this order.
  std::string m_Id;
  /// Name of the lease under which it is given.
  std::string m_Lease;
  std::uint64_t m_FencingNumber = 0;
};

/// Settings of OrderGate.
struct GateSettings {
  /// Whether the engine itself refuses outdated fencing numbers.
  bool m_EngineEnforcesFencing = false;
  /// The engine starts an order within this time after it was written, or never
  /// if the connection was closed before.
  base::Millis m_SettleTime = base::seconds(2);
  /// How long an order may wait for its check against the log.
  base::Millis m_CheckTimeout = base::seconds(10);
  /// How long to wait for the engine's confirmation before the connection is
  /// closed.
  base::Millis m_ConfirmTimeout = base::seconds(30);
  /// Injected defect for tests: an order does not wait for one that is in
  /// flight.
  bool m_InjectNoSettle = false;
};

/// Actions that the agent must carry out for the gate.
struct GateActions {
  /// Orders to write to the engine.
  std::vector<Order> m_Write;
  struct Refusal {
    Order m_Order;
    base::Error m_Error;
  };
  /// Orders to refuse.
  std::vector<Refusal> m_Refuse;
  /// Close the connection to the engine, then call onConnectionClosed().
  bool m_CloseConnection = false;
  /// Read the log to its end, because an order waits for its check.
  bool m_ReadLog = false;
};

/// Checks the fencing number of each order and writes the orders to one engine.
/// All orders to the engine pass through it.
///
/// An order is written only if its fencing number is that of the current holder
/// according to a read of the log that was sent after the order was submitted.
/// At most one order is in flight: the next one waits until the engine confirms
/// it, or until the connection is closed and the settle time has passed. After
/// a start the gate also waits for the settle time, because its predecessor may
/// have written an order. The predecessor no longer runs, because both listen
/// on the same address.
class OrderGate {
public:
  /// \param Now the start time of the gate.
  OrderGate(GateSettings Settings, base::Millis Now);

  /// Queues an order; tick() returns its outcome.
  void submit(base::Millis Now, Order NewOrder);

  /// Handles the engine's confirmation that it has executed or refused an
  /// order.
  void onConfirmed(const std::string &OrderId);

  /// Handles the loss of the connection to the engine.
  void onConnectionClosed(base::Millis Now);

  /// \returns the actions that are due at \p Now.
  /// \param ReadSentAt when the newest read was sent whose records are all
  /// applied to \p Table.
  GateActions tick(base::Millis Now, const LeaseTable &Table,
                   base::Millis ReadSentAt);

private:
  struct QueuedOrder {
    Order m_Order;
    base::Millis m_SubmittedAt{};
  };

  /// \returns why the order must be refused, or none.
  [[nodiscard]] static std::optional<base::Error>
  check(const Order &Candidate, const LeaseTable &Table);
  void checkConfirmTimeout(base::Millis Now, GateActions &Actions);

  const GateSettings m_Settings;
  /// No order is written before this time.
  base::Millis m_WriteAllowedAt{};
  std::deque<QueuedOrder> m_Queue;
  std::optional<Order> m_InFlight;
  base::Millis m_WrittenAt{};
  bool m_CloseRequested = false;
};

} // namespace corneldeck::lease

#endif
