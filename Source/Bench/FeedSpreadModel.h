#ifndef CORNELDECK_BENCH_FEEDSPREADMODEL_H
#define CORNELDECK_BENCH_FEEDSPREADMODEL_H

#include "Base/Random.h"
#include "Fakes/VirtualTime.h"
#include "Feed/ReaderRole.h"
#include "Feed/SourceSelector.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How entries get a version of a feed.
enum class FeedSpreadMode {
  Differences, ///< As the product does.
  EachReadsLog,
  /// Each entry requests the whole state from the first entry that announced it
  /// and ends a transfer after a fixed time.
  WholeStates
};

/// Settings of FeedSpreadModel.
struct FeedSpreadOptions {
  std::size_t m_Entries = 46;
  std::size_t m_Zones = 3;
  std::uint64_t m_Seed = 1;
  FeedSpreadMode m_Mode = FeedSpreadMode::Differences;
  double m_LinkBytesPerSecond = 5e6;
  /// Bandwidth of every eighth link relative to that of the others.
  double m_WideLinkFactor = 1;
  /// Part of each link that callers' requests use.
  double m_CallersShare = 0.3;
  double m_LogBytesPerSecond = 5e8;
  /// Size of a state, of its complete payload, and of its difference from the
  /// version before.
  double m_StateBytes = 1e6;
  double m_CompleteBytes = 2.5e5;
  double m_DifferenceBytes = 7e4;
  /// The planted mistake; empty for none.
  std::string m_Plant;
};

/// Entries that fetch versions of a feed from each other over links of limited
/// bandwidth, on virtual time. Runs the product's choice of sources and the
/// order in which it chooses readers; the first two entries in this order read
/// the log.
class FeedSpreadModel {
public:
  explicit FeedSpreadModel(FeedSpreadOptions Options);

  /// Appends a version to the log.
  void publish();
  void runFor(base::Millis Duration);
  [[nodiscard]] base::Millis now() const { return m_Time.now(); }

  /// Restarts an entry, which then has no state.
  void restartEntry(std::size_t Entry);
  void addEntry();
  /// Stops or resumes all transfers and messages from and to an entry.
  void cutEntry(std::size_t Entry, bool Cut);
  /// Stops or resumes the responses of an entry; its heartbeats continue.
  void stallEntry(std::size_t Entry, bool Stalled);
  [[nodiscard]] std::size_t entries() const { return m_Entries.size(); }
  /// Returns the version that an entry has; 0 if it has none.
  [[nodiscard]] std::uint64_t version(std::size_t Entry) const {
    return m_Entries[Entry].m_Version;
  }
  /// Returns a number that increases with each restart of an entry.
  [[nodiscard]] std::uint64_t process(std::size_t Entry) const {
    return m_Entries[Entry].m_Process;
  }
  /// Returns the index of an entry that reads the log.
  [[nodiscard]] std::size_t firstReader() const;

  /// Returns whether all entries that are not cut off have the newest version.
  [[nodiscard]] bool complete() const;
  /// Runs until complete() or \p Limit has passed.
  /// \returns the time that it took.
  base::Millis runUntilComplete(base::Millis Limit);
  /// What was transferred.
  struct Traffic {
    double m_LogBytes = 0;
    double m_PeerBytes = 0;
    double m_ZoneCrossingBytes = 0;
    double m_WastedBytes = 0;
    /// The most that one entry has sent.
    double m_MaxSentBytes = 0;
  };
  [[nodiscard]] Traffic traffic() const;

private:
  struct Entry {
    std::string m_Name;
    std::size_t m_Zone = 0;
    /// Bandwidth for versions, beside callers' requests.
    double m_LinkBytesPerSecond = 0;
    std::uint64_t m_Version = 0;
    std::unique_ptr<feed::SourceSelector> m_Selector;
    std::size_t m_Uploads = 0;
    double m_SentBytes = 0;
    bool m_Fetching = false;
    bool m_ReadsLog = false;
    bool m_Cut = false;
    bool m_Stalled = false;
    /// Increases with each restart.
    std::uint64_t m_Process = 0;
  };
  /// A transfer to an entry; from the log if it has no source.
  struct Transfer {
    std::size_t m_Receiver = 0;
    std::uint64_t m_ReceiverProcess = 0;
    std::optional<std::size_t> m_Source;
    std::uint64_t m_SourceProcess = 0;
    std::uint64_t m_Version = 0;
    double m_Size = 0;
    double m_Remaining = 0;
    base::Millis m_StartedAt{};
    base::Millis m_ProgressAt{};
    bool m_Ended = false;
  };

  /// Sets the name, zone and bandwidth of a new entry.
  void describeEntry(std::size_t Index);
  void startEntry(std::size_t Index);
  /// Returns whether an entry is one of the readers of the log.
  [[nodiscard]] bool isReader(std::size_t Index) const;
  [[nodiscard]] feed::ReaderCandidate candidate(std::size_t Index) const;
  void heartbeat(std::size_t Index, std::uint64_t Process);
  void announce(std::size_t Index, std::size_t MaxReceivers);
  void hear(std::size_t Receiver, std::size_t Sender);
  void fetchIfDue(std::size_t Index);
  void request(std::size_t Receiver, std::size_t Source);
  void readLog(std::size_t Index);
  void moveBytes();
  void endTransfer(Transfer &Each, bool Complete);
  void setVersion(std::size_t Index, std::uint64_t Version, bool FromLog);
  [[nodiscard]] bool isBlocked(const Transfer &Each) const;
  [[nodiscard]] double payloadBytes(const Entry &Receiver,
                                    const Entry &Source) const;

  const FeedSpreadOptions m_Options;
  fakes::VirtualTime m_Time;
  base::Random m_Random;
  std::vector<Entry> m_Entries;
  std::vector<Transfer> m_Transfers;
  std::uint64_t m_Published = 1;
  /// Without the maximum for one entry.
  Traffic m_Traffic;
};

} // namespace corneldeck::bench

#endif
