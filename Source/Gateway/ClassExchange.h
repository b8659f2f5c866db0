#ifndef CORNELDECK_GATEWAY_CLASSEXCHANGE_H
#define CORNELDECK_GATEWAY_CLASSEXCHANGE_H

#include "Direct/ClassShares.h"
#include "Wire/Gossip.pb.h"

#include <string>

namespace corneldeck::gateway {

/// Exchanges the requests of each service and class with the other entries, in
/// the heartbeats and the summaries of relays.
class ClassExchange {
public:
  explicit ClassExchange(direct::ClassShares &Shares) : m_Shares(Shares) {}

  void fillHeartbeat(wire::FleetBeat &Beat, base::Millis Now) const;
  /// Processes the heartbeat of an entry. One of an earlier release, which
  /// reports no classes, is ignored.
  void handleHeartbeat(const wire::FleetBeat &Beat, base::Millis Now);
  /// Processes the sums over the entries of a zone, or over all entries.
  /// \param Own the own heartbeat that the sums include, or null.
  /// \param Peer the name under which the sums are kept.
  void handleSummary(const wire::FleetSummary &Summary,
                     const wire::FleetBeat *Own, const std::string &Peer,
                     base::Millis Now);
  void removePeer(const std::string &Peer) { m_Shares.removePeer(Peer); }
  /// Removes the reports of all peers but \p Peer.
  void keepOnlyPeer(const std::string &Peer) { m_Shares.keepOnlyPeer(Peer); }

private:
  direct::ClassShares &m_Shares;
};

} // namespace corneldeck::gateway

#endif
