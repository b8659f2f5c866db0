#ifndef CORNELDECK_FEED_FEEDFOLLOWER_H
#define CORNELDECK_FEED_FEEDFOLLOWER_H

#include "Base/Clock.h"
#include "Feed/KeyedState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace corneldeck::feed {

/// Settings of FeedFollower.
struct FeedFollowerSettings {
  std::string m_Topic;
  /// Maximum time that a read waits for a record. If zero, reads return at once
  /// and are repeated every m_PollInterval.
  base::Millis m_PollTimeout{};
  base::Millis m_PollInterval = base::Millis(500);
  /// Backoff after a failure, doubled up to the maximum.
  base::Millis m_InitialBackoff = base::Millis(150);
  base::Millis m_MaxBackoff = base::Millis(1000);
};

/// Keeps a KeyedState up to date from the log while it is active.
///
/// Reads a snapshot of the topic first, then the records that follow; after a
/// gap it reads a new snapshot. Makes no calls while inactive, when the state
/// is updated from other nodes.
class FeedFollower {
public:
  /// Callbacks; both are required.
  struct Hooks {
    /// Called after a significant change of the state.
    std::function<void()> m_OnChanged;
    /// Called when a call has ended, with null if it succeeded.
    std::function<void(const base::Error *)> m_OnContact;
  };

  FeedFollower(boost::asio::io_context &Context, const KeyedLogClient &Log,
               KeyedState &State, FeedFollowerSettings Settings,
               Hooks Callbacks);

  /// Starts or stops reading. The result of a call in flight is still applied.
  void setActive(bool Active);

  /// Returns the time since the log last responded; the maximum of a 32-bit
  /// integer if it never has.
  [[nodiscard]] base::Millis staleness() const;

private:
  void startNextCall();
  void readSnapshotPage(const std::string &After);
  void readNext();
  void callFailed(const base::Error &Cause);
  void callSucceeded();
  void scheduleNextCall(base::Millis Delay);

  const KeyedLogClient &m_Log;
  KeyedState &m_State;
  const FeedFollowerSettings m_Settings;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  boost::asio::steady_timer m_Timer;
  bool m_Active = false;
  bool m_CallPending = false;
  bool m_NeedsSnapshot = true;
  std::vector<KeyedRecord> m_SnapshotRecords;
  std::uint64_t m_SnapshotEnd = 0;
  std::uint64_t m_NextOffset = 0;
  base::Millis m_Backoff{};
  bool m_HasContacted = false;
  base::Millis m_LastContactTime{};
};

} // namespace corneldeck::feed

#endif
