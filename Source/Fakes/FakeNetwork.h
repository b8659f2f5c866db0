#ifndef CORNELDECK_FAKES_FAKENETWORK_H
#define CORNELDECK_FAKES_FAKENETWORK_H

#include "Base/Random.h"
#include "Fakes/VirtualTime.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::fakes {

/// Carries messages between named nodes on virtual time, with faults to order.
///
/// A message is the action that delivers it. A frozen node gets its messages,
/// in order, when it is thawed.
class FakeNetwork {
public:
  using Delivery = std::function<void()>;

  /// How messages from one node to another fare.
  struct Path {
    base::Millis m_Delay{1};
    /// Messages vanish without an error, as on a silent connection.
    bool m_Cut = false;
    double m_LossRatio = 0;
    double m_DuplicateRatio = 0;
    /// An even draw from 0 to this is added to the delay.
    base::Millis m_Jitter{};
  };

  /// \param Time delivers the messages. \param Seed decides losses and jitter.
  FakeNetwork(VirtualTime &Time, std::uint64_t Seed);

  /// \returns the path from \p From to \p To, to be changed in place.
  Path &path(const std::string &From, const std::string &To);

  /// Sends a message.
  void send(const std::string &From, const std::string &To,
            const Delivery &Message);

  /// Cuts or heals both directions between two nodes.
  void setCut(const std::string &A, const std::string &B, bool Cut);

  /// Stops all deliveries to \p Node until thaw().
  void freeze(const std::string &Node);
  void thaw(const std::string &Node);

private:
  void deliver(const std::string &To, const Delivery &Message);

  VirtualTime &m_Time;
  base::Random m_Random;
  std::map<std::pair<std::string, std::string>, Path> m_Paths;
  std::map<std::string, std::vector<Delivery>> m_Frozen;
};

} // namespace corneldeck::fakes

#endif
