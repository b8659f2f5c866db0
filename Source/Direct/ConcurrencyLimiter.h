#ifndef CORNELDECK_DIRECT_CONCURRENCYLIMITER_H
#define CORNELDECK_DIRECT_CONCURRENCYLIMITER_H

#include "Direct/Configuration.h"
#include "Direct/RankGroups.h"
#include "Direct/RatioHistogram.h"

#include <map>
#include <string>

namespace corneldeck::direct {

/// How ConcurrencyLimiter estimates the pass time ratio.
enum class PassTimeEstimate {
  Smoothed,    ///< Mean and deviation over about a thousand intervals.
  Distribution ///< Distributions of recent intervals and of recent streams.
};

/// Settings of ConcurrencyLimiter.
struct ConcurrencyLimiterSettings {
  PassTimeEstimate m_Estimate = PassTimeEstimate::Smoothed;
  /// Time after which an interval counts 1/e in the distribution. If passes
  /// become longer for good, the limit follows within half a second; in the
  /// second that an expert map takes to follow a shift, it falls little.
  base::Millis m_IntervalTime = base::seconds(2);
  /// Time after which a stream counts 1/e in the distribution. Covers several
  /// shifts of experts, which come every 1 to 4 s; with 4 s the limit rose just
  /// before the next shift.
  base::Millis m_StreamTime = base::seconds(12);
  /// Exponent of the limit in the comparison of limits. Below 1, since demand
  /// does not always use a higher limit, and a late stream costs more than a
  /// refused one. With 1, groups took turns at the highest limit.
  double m_LimitExponent = 0.4;
  /// With fewer intervals in the distributions of all entries, the smoothed
  /// estimate is used. A stream has about 23 intervals.
  double m_MinIntervals = 23;
  /// Fewer streams in the distributions of all entries are ignored.
  double m_MinStreams = 4;
  /// Smoothing factor of the mean and variance. The average covers about a
  /// thousand intervals, some seconds of an entry's streams, which is longer
  /// than expert popularity stays the same.
  double m_SmoothingFactor = 0.001;
  /// Standard deviations above the mean that have to stay within the target. A
  /// single late interval makes a stream late.
  double m_MarginDeviations = 2;
  /// Fraction of the target interval that is used.
  double m_TargetFraction = 0.95;
  /// Lower bound of the limit, as a fraction of the engine's capacity.
  double m_MinUtilization = 0.5;
  /// Pass time ratio assumed before the first interval is measured.
  double m_InitialRatio = 1.6;
  /// Time without intervals after which the estimate of one group of several is
  /// discarded. Streams last about 2 s, so a group without intervals for this
  /// long has been avoided and has to be measured again.
  base::Millis m_EstimateLifetime = base::seconds(10);
};

/// Limits the number of concurrent requests for each engine of a rank group, so
/// that the interval between two events of a stream stays within its target.
///
/// Each request that an engine generates tokens for lengthens the passes of all
/// ranks. The engine profile gives the duration of a pass with evenly loaded
/// ranks. Actual passes take longer, because of unevenly loaded experts and
/// prompt processing; the ratio is estimated from the event intervals that all
/// entries measure. The entries share their estimates, because an entry with a
/// higher limit would use up the capacity that the others leave free.
///
/// Pattern: newsvendor. A higher limit lets more streams run, a lower one lets
/// more of them be in time; the limit with the best product of both is used.
/// Two distributions say how many are in time: of the largest ratio of each
/// stream, since one long interval makes a stream late, and of the recent
/// ratios, so that a lasting change counts before the streams that it meets
/// have ended. If passes are so long, because experts have just shifted, that
/// no limit keeps them within the target, all limits lose the same and the
/// highest one remains.
///
/// The estimates of other entries without the name of a group are of a whole
/// service: these entries know no groups.
class ConcurrencyLimiter {
public:
  /// Ratio of the actual duration of a pass to its duration with evenly loaded
  /// ranks.
  struct PassTimeRatio {
    double m_Mean = 0;
    double m_Variance = 0;
    /// Number of entries of which it is the mean.
    unsigned m_Entries = 1;
    /// Distribution of recent ratios, over all intervals of these entries, and
    /// of the largest ratio of each recent stream. Empty for entries of earlier
    /// releases.
    RatioHistogram m_Recent{};
    RatioHistogram m_Streams{};
  };
  /// Ratios by rank group.
  using PassTimeRatios = std::map<RankGroup, PassTimeRatio>;

  explicit ConcurrencyLimiter(ConcurrencyLimiterSettings Settings = {});

  /// Records the interval between two events of a stream.
  /// \param InFlight mean number of requests per engine of the group at that
  /// time.
  /// \returns the pass time ratio; 0 if the interval does not count.
  double recordInterval(const RankGroup &Group, const EngineProfile &Engine,
                        base::Millis Interval, double InFlight,
                        base::Millis Now);

  /// Records the largest ratio of the intervals of a stream that has ended.
  void recordStream(const RankGroup &Group, double LargestRatio);

  /// Returns the maximum number of concurrent requests for one engine.
  /// \param TargetInterval the target of the route; zero if it has none.
  [[nodiscard]] double limit(const RankGroup &Group,
                             const EngineProfile &Engine,
                             base::Millis TargetInterval) const;

  /// Returns the expected mean duration of a pass in milliseconds.
  /// \param InFlight mean number of requests per engine of the group.
  [[nodiscard]] double passMillis(const RankGroup &Group,
                                  const EngineProfile &Engine,
                                  double InFlight) const;

  /// Lets the distributions of this entry decay, and discards its estimates for
  /// groups whose streams it has not seen for some time, while it has seen
  /// those of another group of the service. Called several times a second.
  void advance(base::Millis Now);

  /// Returns the estimates of this entry.
  [[nodiscard]] const PassTimeRatios &localRatios() const {
    return m_LocalRatios;
  }

  /// Replaces the estimates of another entry.
  void setPeerRatios(const std::string &Peer, PassTimeRatios Ratios);
  /// Removes the estimates of another entry.
  void removePeer(const std::string &Peer);
  /// Removes the estimates of all other entries but \p Peer.
  void keepOnlyPeer(const std::string &Peer);

private:
  struct Sum {
    double m_Mean = 0;
    double m_Variance = 0;
    double m_Count = 0;
    RatioHistogram m_Recent;
    RatioHistogram m_Streams;

    void add(const PassTimeRatio &Estimate);
  };
  /// Returns whether the distribution is used.
  [[nodiscard]] bool usesDistribution(const Sum &Known) const;
  [[nodiscard]] double smoothedLimit(const Sum &Known,
                                     const EngineProfile &Engine,
                                     base::Millis TargetInterval) const;
  /// Returns the limit with which most streams are expected in time.
  [[nodiscard]] double bestLimit(const Sum &Known, const EngineProfile &Engine,
                                 base::Millis TargetInterval) const;
  void discardUnused(base::Millis Now);
  /// Adds the estimates that apply to \p Group.
  [[nodiscard]] Sum sumOf(const RankGroup &Group) const;

  ConcurrencyLimiterSettings m_Settings;
  PassTimeRatios m_LocalRatios;
  /// When the estimates of this entry were last updated.
  std::map<RankGroup, base::Millis> m_UpdatedAt;
  /// Until when the distributions of this entry have decayed.
  base::Millis m_DecayedAt{};
  std::map<std::string, PassTimeRatios> m_PeerRatios;
};

} // namespace corneldeck::direct

#endif
