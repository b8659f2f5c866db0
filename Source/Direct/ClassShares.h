#ifndef CORNELDECK_DIRECT_CLASSSHARES_H
#define CORNELDECK_DIRECT_CLASSSHARES_H

#include "Base/Millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Settings of ClassShares.
struct ClassSharesSettings {
  /// Time for which a rise of a class's arrivals is not visible at the other
  /// entries: half of the window in which arrivals are counted, less what the
  /// more urgent class gets anyway of the slots that become free. Capacity for
  /// the arrivals of this time is reserved beyond the present use.
  base::Millis m_ReactionTime{250};
  /// Served fraction of each class, relative to that of all classes. The
  /// requirement is a quarter; the rest allows for reports that are out of
  /// date.
  double m_MinServedShare = 0.3;
  /// Smoothing factor of the moving average of the time that requests of a
  /// class hold a slot; covers about 20 requests.
  double m_HoldTimeSmoothing = 0.05;
  /// Time for which a request is assumed to hold a slot before the first one of
  /// its class has ended: that of a usual stream.
  base::Millis m_InitialHoldTime = base::seconds(2);
  /// Reports of other entries are ignored after this time, as are their loads
  /// (ServerPoolSettings::m_LoadLifetime).
  base::Millis m_ReportLifetime = base::seconds(2);
  /// A class without requests is forgotten after this time, longer than the
  /// longest retry-after time.
  base::Millis m_ClassLifetime = base::seconds(10);
  /// Bounds of the retry-after times. The upper one is above that of a service
  /// with one class, because a less urgent class may have to wait for the end
  /// of a burst of 3 to 7 s.
  base::Millis m_MinRetryAfter{400};
  base::Millis m_MaxRetryAfter = base::seconds(5);
};

/// Requests of one class of a service.
struct ClassCounts {
  unsigned m_InFlight = 0;
  /// Arrivals and refusals in the last second.
  unsigned m_Arrivals = 0;
  unsigned m_Refused = 0;
  unsigned m_Waiting = 0;
  /// Mean time that a request holds a slot; zero if unknown.
  base::Millis m_HoldTime{};

  bool operator==(const ClassCounts &) const = default;
};

/// Counts by class; lower numbers are more urgent.
using ServiceClasses = std::map<int, ClassCounts>;
/// Counts by service.
using ClassReport = std::map<std::string, ServiceClasses>;

/// Divides the capacity of a service between its classes of requests.
///
/// A class needs its arrivals per second times the seconds that a request holds
/// a slot. If the classes together need more than the capacity, each gets at
/// least a minimum fraction of its need; the rest is allocated in the order of
/// urgency. A request may take a free slot if more are free than are allocated
/// to other classes and not used by them. If the capacity suffices for all
/// classes, nothing is reserved.
///
/// All counts are over all entries: the own counts and the reports of the
/// others, scaled up for entries that send no reports.
class ClassShares {
public:
  /// Maximum number of classes of one service that are reported. Less urgent
  /// ones count as the last of them.
  static constexpr std::size_t MaxClasses = 8;

  explicit ClassShares(ClassSharesSettings Settings = {});

  void recordArrival(const std::string &Service, int Class, base::Millis Now);
  void recordWaiting(const std::string &Service, int Class, int Change);
  /// Counts a request that takes a slot.
  void recordStart(const std::string &Service, int Class);
  /// Counts a request that has released its slot after \p Held.
  void recordEnd(const std::string &Service, int Class, base::Millis Held);
  void recordRefusal(const std::string &Service, int Class, base::Millis Now);

  /// Sets the number of live entries, including this one.
  void setEntries(unsigned Entries);
  /// Replaces the counts of another entry, or the sums over several ones.
  /// \param Entries number of entries whose counts are included.
  void setPeerReport(const std::string &Peer, ClassReport Report,
                     base::Millis ReportedAt, unsigned Entries = 1);
  /// Removes the report of another entry.
  void removePeer(const std::string &Peer);
  /// Removes all reports but that of \p Peer.
  void keepOnlyPeer(const std::string &Peer);

  /// Returns the counts of this entry, at most MaxClasses for each service.
  [[nodiscard]] ClassReport localReport(base::Millis Now);

  /// Capacity and use of a service, as the pool reports them.
  struct Usage {
    double m_Capacity = 0;
    double m_InFlight = 0;
  };

  /// One class of a service over all entries, in slots unless stated otherwise.
  struct Share {
    int m_Class = 0;
    double m_InFlight = 0;
    double m_Waiting = 0;
    /// Per second.
    double m_Arrivals = 0;
    double m_Refused = 0;
    double m_HoldSeconds = 0;
    /// Slots that its present arrivals need.
    double m_Need = 0;
    /// Slots that it gets however urgent the others are.
    double m_Minimum = 0;
    /// Slots that are allocated to it; 0 if the capacity suffices for all.
    double m_Allocated = 0;
    /// Allocated slots that it does not use at present.
    double m_Reserved = 0;
  };
  /// Classes in the order of urgency.
  using Shares = std::vector<Share>;
  [[nodiscard]] Shares shares(const std::string &Service, Usage Given,
                              base::Millis Now);

  /// Returns whether \p Service has requests of more than one class.
  [[nodiscard]] bool isShared(const std::string &Service, base::Millis Now);

  /// Returns whether the classes in \p All need more than the capacity.
  static bool isOverloaded(const Shares &All);

  /// Returns whether a request of \p Class may take one of the free slots.
  static bool mayStart(const Shares &All, int Class, Usage Given);

  /// Returns the time until a further request of \p Class can start, after
  /// those that wait at all entries; none if it is unknown.
  static std::optional<base::Millis> expectedWait(const Shares &All, int Class);

  /// Returns the time after which a refused request of \p Class can be served.
  /// Successive requests get successive times, so that callers return in the
  /// order in which they were refused and not all together.
  /// \param Spread random number in [0, 1).
  base::Millis retryAfter(const std::string &Service, const Shares &All,
                          int Class, double Spread, base::Millis Now);

private:
  /// Number of events in the last second.
  class Window {
  public:
    void add(base::Millis Now);
    [[nodiscard]] unsigned count(base::Millis Now);

  private:
    static constexpr std::size_t Buckets = 10;
    void advance(base::Millis Now);

    std::array<unsigned, Buckets> m_Counts{};
    std::int64_t m_Last = 0;
    unsigned m_Sum = 0;
  };
  struct LocalClass {
    unsigned m_InFlight = 0;
    unsigned m_Waiting = 0;
    Window m_Arrivals;
    Window m_Refused;
    /// In milliseconds; 0 if unknown.
    double m_HoldTime = 0;
    base::Millis m_LastArrival{};
    /// When the caller that was refused last may return.
    base::Millis m_LastReturn{};
  };
  struct PeerReport {
    ClassReport m_Report;
    base::Millis m_ReportedAt{};
    unsigned m_Entries = 0;
  };

  /// Sums over the reports of several entries.
  struct Sum {
    unsigned m_Reports = 0;
    std::int64_t m_InFlight = 0;
    std::int64_t m_Arrivals = 0;
    std::int64_t m_Refused = 0;
    std::int64_t m_Waiting = 0;
    /// Sum of the hold times in milliseconds, weighted with the arrivals, and
    /// of the weights.
    std::int64_t m_HoldTimes = 0;
    std::int64_t m_HoldWeights = 0;

    /// Adds the counts of an entry, or removes them if \p Sign is negative.
    void add(const ClassCounts &Added, int Sign = 1);
    [[nodiscard]] ClassCounts counts() const;
  };

  LocalClass &local(const std::string &Service, int Class);
  [[nodiscard]] ClassCounts counts(LocalClass &Counted, base::Millis Now) const;
  void dropExpired(base::Millis Now);
  /// Adds a report to the sums, or removes it if \p Sign is negative.
  void countReport(const PeerReport &Report, int Sign);
  static void allocate(Shares &All, double Capacity, double ReactionSeconds,
                       double MinServedShare);

  const ClassSharesSettings m_Settings;
  std::map<std::string, std::map<int, LocalClass>> m_Local;
  std::map<std::string, PeerReport> m_Peers;
  /// Sums over m_Peers, so that a decision does not read each report.
  std::map<std::string, std::map<int, Sum>> m_PeerSums;
  unsigned m_ReportingEntries = 0;
  unsigned m_Entries = 1;
  base::Millis m_NextExpiry{};
};

} // namespace corneldeck::direct

#endif
