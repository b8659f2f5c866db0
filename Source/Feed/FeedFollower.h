#ifndef CORNELDECK_FEED_FEEDFOLLOWER_H
#define CORNELDECK_FEED_FEEDFOLLOWER_H

#include "Base/Clock.h"
#include "Feed/KeyedState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
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
  /// A read that lasts longer does not count as contact with the log any more,
  /// although it makes progress: another node may read faster.
  base::Millis m_MaxReadTime = base::Millis(4000);
  /// Time after the start of a new era in which the writers of a topic write
  /// again what the copy of the log lacks.
  base::Millis m_RewriteTime = base::Millis(2500);
};

/// Keeps a KeyedState up to date from the log while it is active.
///
/// Reads a snapshot of the topic first, then the records that follow; after a
/// gap and in a new era of the log it reads a new snapshot. Makes no calls
/// while inactive, when the state is updated from other nodes.
class FeedFollower {
public:
  /// The first snapshot of a new era.
  struct NewEra {
    std::uint64_t m_Before = 0;
    std::uint64_t m_Era = 0;
    /// The position to read next before and after the return of the log.
    std::uint64_t m_OffsetBefore = 0;
    std::uint64_t m_Offset = 0;
    /// Number of keys that hold what was read in an earlier era, since the log
    /// lacks them or has an older record.
    std::size_t m_KeptKeys = 0;
  };
  /// Callbacks; all are required.
  struct Hooks {
    /// Called after a significant change of the state.
    std::function<void()> m_OnChanged;
    /// Called when a call has ended, with null if it succeeded.
    std::function<void(const base::Error *)> m_OnContact;
    /// Called when the log has returned with an older copy of its records.
    std::function<void(const NewEra &)> m_OnNewEra;
    /// Called when some records of a response could not be decoded. They are
    /// ignored.
    std::function<void(const MalformedRecords &)> m_OnMalformed;
  };

  FeedFollower(boost::asio::io_context &Context, const KeyedLogClient &Log,
               KeyedState &State, FeedFollowerSettings Settings,
               Hooks Callbacks);

  /// Starts or stops reading. The result of a call in flight is still applied,
  /// and the snapshot that decides about a new era is still read.
  void setActive(bool Active);

  /// Returns the time since a response of the log last made progress; the
  /// maximum of a 32-bit integer if none ever has.
  [[nodiscard]] base::Millis staleness() const;

private:
  void startNextCall();
  void readSnapshotPage(const std::string &After);
  /// \param After the key that the page was to follow.
  void addSnapshotPage(const SnapshotPage &Page, const std::string &After);
  /// Returns the era of a response. One that names none is of the last era.
  [[nodiscard]] std::uint64_t eraOf(std::uint64_t Named) const {
    return Named != 0 ? Named : m_Era.value_or(0);
  }
  void applySnapshot();
  void readNext();
  void applyBatch(RecordBatch Batch);
  /// Schedules the snapshot that decides about the keys of earlier eras. A
  /// reader of an era reads it also if it has stopped being a reader, since its
  /// state does not tell other nodes that this is still to be done.
  void scheduleDecision();
  /// Returns whether no snapshot has decided yet about keys of earlier eras.
  [[nodiscard]] bool isEraUndecided() const;
  /// Returns whether the writers may not have written again yet.
  [[nodiscard]] bool isRewriteTime(base::Millis Now) const;
  void scheduleNextRead();
  void callFailed(const base::Error &Cause);
  void recordProgress();
  void recordContact();
  void callSucceeded();
  void scheduleNextCall(base::Millis Delay);

  const KeyedLogClient &m_Log;
  KeyedState &m_State;
  const FeedFollowerSettings m_Settings;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_DecisionTimer;
  bool m_Active = false;
  bool m_CallPending = false;
  bool m_NeedsSnapshot = true;
  std::vector<KeyedRecord> m_SnapshotRecords;
  LogPosition m_SnapshotEnd;
  std::uint64_t m_NextOffset = 0;
  /// The era of the last snapshot; none before the first one.
  std::optional<std::uint64_t> m_Era;
  base::Millis m_EraStartTime{};
  base::Millis m_Backoff{};
  base::Millis m_CallStartTime{};
  bool m_HasContacted = false;
  base::Millis m_LastContactTime{};
};

} // namespace corneldeck::feed

#endif
