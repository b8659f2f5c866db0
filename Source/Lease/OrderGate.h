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

/// An order of a lease holder to an engine.
struct Order {
  /// Unique to this order.
  std::string m_Id;
  /// Name of the lease under which it is given.
  std::string m_Lease;
  std::uint64_t m_FencingNumber = 0;
};

/// How the gate is set.
struct GateSettings {
  /// Set if the engine itself refuses old fencing numbers.
  bool m_EngineEnforcesFencing = false;
  /// An engine begins an order within this time after it was written, or never
  /// if its connection has closed before.
  base::Millis m_SettleTime = base::seconds(2);
  /// How long an order may wait for its check against the log.
  base::Millis m_CheckTimeout = base::seconds(10);
  /// How long to wait for the engine's confirmation.
  base::Millis m_ConfirmTimeout = base::seconds(30);
  /// Set only to show what the proof catches: nothing waits for an order that
  /// is still on its way to the engine.
  bool m_InjectNoSettle = false;
};

/// What the agent is to do for the gate.
struct GateActions {
  std::vector<Order> m_Write;
  struct Refusal {
    Order m_Order;
    base::Error m_Error;
  };
  std::vector<Refusal> m_Refuse;
  /// Close the connection to the engine and report onConnectionClosed().
  bool m_CloseConnection = false;
  /// Read the log to its end, since an order waits for it.
  bool m_ReadLog = false;
};

/// The only way of orders to one engine, beside it in the agent.
///
/// An order passes only if its fencing number is that of the newest holder by
/// a read of the log which began after the order came. One order is on its way
/// at a time: the next one waits until the engine confirmed it, or until its
/// connection is closed and the settle time over. A gate that starts waits for
/// the settle time too, since its predecessor may have written an order; the
/// predecessor is dead, because both listen on the same address.
class OrderGate {
public:
  /// \param Now the time of the start.
  OrderGate(GateSettings Settings, base::Millis Now);

  /// Takes an order; its outcome comes from tick().
  void submit(base::Millis Now, Order NewOrder);

  /// The engine has carried out or refused the order.
  void onConfirmed(const std::string &OrderId);

  /// The connection to the engine closed.
  void onConnectionClosed(base::Millis Now);

  /// \param ReadSentAt when the read was sent whose records \p Table holds all.
  GateActions tick(base::Millis Now, const LeaseTable &Table,
                   base::Millis ReadSentAt);

private:
  struct QueuedOrder {
    Order m_Order;
    base::Millis m_SubmittedAt{};
  };

  [[nodiscard]] static std::optional<base::Error>
  check(const Order &Candidate, const LeaseTable &Table);
  void checkConfirmTimeout(base::Millis Now, GateActions &Actions);

  const GateSettings m_Settings;
  base::Millis m_WriteAllowedAt{};
  std::deque<QueuedOrder> m_Queue;
  std::optional<Order> m_InFlight;
  base::Millis m_WrittenAt{};
  bool m_CloseRequested = false;
};

} // namespace corneldeck::lease

#endif
