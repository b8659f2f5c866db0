#ifndef CORNELDECK_DIRECT_CONCURRENCYLIMITER_H
#define CORNELDECK_DIRECT_CONCURRENCYLIMITER_H

#include "Direct/Configuration.h"

#include <map>
#include <string>

namespace corneldeck::direct {

/// Settings of ConcurrencyLimiter.
struct ConcurrencyLimiterSettings {
  /// Weight of one pause in the averages: a thousand pauses, some seconds of an
  /// entry's streams, which is longer than popularity stays the same.
  double m_SmoothingFactor = 0.001;
  /// Deviations above the mean that still have to be on time: a stream is late
  /// by one late pause of many.
  double m_MarginDeviations = 2;
  /// The part of the target pause that is aimed at.
  double m_TargetFraction = 0.95;
  /// The least part of an engine's places that is used.
  double m_MinUtilization = 0.5;
  /// The stretch of passes that is assumed before any pause was seen.
  double m_InitialRatio = 1.6;
};

/// How many requests each engine of a service may run at once, so that the
/// pauses between two events of a stream stay within their target.
///
/// Answers more streams than the passes of a rank group have time for: every
/// request that an engine writes lengthens each pass of all ranks, and one late
/// pause makes a stream late. The engine's published times say how long a pass
/// takes with evenly loaded ranks; how much longer passes are, from uneven
/// experts and prompts that are read, is learnt from the pauses that all
/// entries see, since an entry that thought otherwise would fill the places of
/// the rest.
class ConcurrencyLimiter {
public:
  /// How much longer than evenly loaded passes are.
  struct PassTimeRatio {
    double m_Mean = 0;
    double m_Variance = 0;
  };
  using PassTimeRatios = std::map<std::string, PassTimeRatio>;

  explicit ConcurrencyLimiter(ConcurrencyLimiterSettings Settings = {});

  /// Takes a pause between two events of a stream.
  /// \param InFlight requests for each engine of the service at that time.
  void recordInterval(const std::string &Service, const EngineProfile &Engine,
                      base::Millis Interval, double InFlight);

  /// \param TargetInterval the longest pause that is on time.
  /// \returns the requests that one engine may have at once.
  [[nodiscard]] double limit(const std::string &Service,
                             const EngineProfile &Engine,
                             base::Millis TargetInterval) const;

  /// \returns what this entry sees, by service.
  [[nodiscard]] const PassTimeRatios &localRatios() const {
    return m_LocalRatios;
  }

  /// Takes what another entry sees.
  void setPeerRatios(const std::string &Peer, PassTimeRatios Seen);
  void removePeer(const std::string &Peer);

private:
  const ConcurrencyLimiterSettings m_Settings;
  PassTimeRatios m_LocalRatios;
  std::map<std::string, PassTimeRatios> m_PeerRatios;
};

} // namespace corneldeck::direct

#endif
