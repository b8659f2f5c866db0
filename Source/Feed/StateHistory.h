#ifndef CORNELDECK_FEED_STATEHISTORY_H
#define CORNELDECK_FEED_STATEHISTORY_H

#include "Feed/StateCodec.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace corneldeck::feed {

/// The latest states of a feed that a node had, and the payloads by which other
/// nodes can get the newest one.
///
/// A payload that this node received is passed on unchanged, so that a state is
/// compressed once and not at each node.
class StateHistory {
public:
  using SnapshotPtr = std::shared_ptr<const StateSnapshot>;
  using PayloadPtr = std::shared_ptr<const StatePayload>;

  /// Makes \p State the newest state.
  /// \param Received the payload that it was received in; null if none.
  void add(StateSnapshot State, PayloadPtr Received = nullptr);

  /// Returns the hashes of the kept states, the newest first.
  [[nodiscard]] std::vector<std::uint64_t> hashes() const;

  /// Returns the kept state with the hash \p Hash, or null.
  [[nodiscard]] SnapshotPtr find(std::uint64_t Hash) const;

  /// Returns a payload with the newest state.
  /// \param Bases the hashes of the states that the receiver has, in the order
  /// of preference.
  /// \returns null if there is no state.
  PayloadPtr payload(const std::vector<std::uint64_t> &Bases);

private:
  std::deque<SnapshotPtr> m_States;
  /// Payloads with the newest state.
  std::vector<PayloadPtr> m_Payloads;
};

} // namespace corneldeck::feed

#endif
