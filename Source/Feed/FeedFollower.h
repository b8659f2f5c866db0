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
  /// How long a read waits for a record; zero to ask again after
  /// m_PollInterval.
  base::Millis m_PollTimeout{};
  base::Millis m_PollInterval = base::Millis(500);
  /// Pauses after a failure, doubled up to the longest.
  base::Millis m_InitialBackoff = base::Millis(150);
  base::Millis m_MaxBackoff = base::Millis(1000);
};

/// Keeps a KeyedState current from the log while it is active.
///
/// It lists the topic once, then reads on; after a gap it lists again. A node
/// that others keep current is passive and makes no calls.
class FeedFollower {
public:
  /// Hooks; both are required.
  struct Hooks {
    /// Something that matters changed.
    std::function<void()> m_OnChanged;
    /// A call ended; null if it succeeded.
    std::function<void(const base::Error *)> m_OnContact;
  };

  FeedFollower(boost::asio::io_context &Context, const KeyedLogClient &Log,
               KeyedState &State, FeedFollowerSettings Settings,
               Hooks Callbacks);

  /// Starts or ends the reading; a call on its way is still taken in.
  void setActive(bool Active);

  /// \returns the time since the log last answered; the largest if never.
  [[nodiscard]] base::Millis staleness() const;

private:
  void startNextCall();
  void readSnapshotPage(const std::string &After);
  void readNext();
  void failed(const base::Error &Why);
  void succeeded();
  void scheduleNextCall(base::Millis For);

  const KeyedLogClient &m_Log;
  KeyedState &m_State;
  const FeedFollowerSettings m_Settings;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  boost::asio::steady_timer m_Timer;
  bool m_Active = false;
  bool m_Busy = false;
  bool m_NeedsSnapshot = true;
  std::vector<KeyedRecord> m_SnapshotRecords;
  std::uint64_t m_SnapshotEnd = 0;
  std::uint64_t m_NextOffset = 0;
  base::Millis m_Backoff{};
  bool m_HasContacted = false;
  base::Millis m_LastContact{};
};

} // namespace corneldeck::feed

#endif
