#ifndef CORNELDECK_DIRECT_ADMISSIONGATE_H
#define CORNELDECK_DIRECT_ADMISSIONGATE_H

#include "Base/Error.h"
#include "Direct/ServerPool.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Settings of AdmissionGate.
struct AdmissionSettings {
  /// Requests in flight over all entries for each place of a service. Every
  /// pass of a rank group waits for its slowest rank, so places are not
  /// overbooked.
  double m_FillRatio = 1.0;
  /// The part of a route's target latency that a request may wait here; the
  /// rest is for the server's first byte.
  double m_WaitShare = 0.5;
  /// Weight of the newest second in the rate of completions.
  double m_NewestRate = 0.4;
  /// Bounds of the time to come back.
  base::Millis m_LeastRetryAfter{400};
  base::Millis m_MostRetryAfter{2500};
};

/// Decides which requests of a service go out at once, which wait at this
/// entry and which are refused with a time to come back.
///
/// Answers these loads: more callers than the backend servers have places for,
/// seen over all entries by their reports; herds that come back at once (the
/// times to come back are spread); urgent requests beside others (lower
/// priorities wait longer). Requests of one priority go in the order in which
/// they came, so large ones are not passed over.
class AdmissionGate {
public:
  explicit AdmissionGate(AdmissionSettings Settings = {});

  /// A request that waits.
  struct Waiting {
    std::uint64_t m_Token = 0;
    int m_Priority = 0;
    /// When it has to go out or be refused.
    base::Millis m_Until{};
  };

  enum class Verdict { Go, Wait, Refuse };

  /// \param Room the service's places and what is in flight, of all entries.
  /// \param Target the route's target latency.
  /// \returns whether the request \p Token goes, waits or is refused.
  Verdict arrive(const std::string &Service, std::uint64_t Token, int Priority,
                 base::Millis Target, const ServerPool::ServiceRoom &Room,
                 base::Millis Now);

  /// The request left the line by itself, as its caller has gone.
  void leave(const std::string &Service, std::uint64_t Token);

  /// An answer of the service ended here.
  void completed(const std::string &Service, base::Millis Now);

  /// What became of waiting requests.
  struct Moves {
    std::vector<std::uint64_t> m_Go;
    std::vector<std::uint64_t> m_Refuse;
  };
  /// Takes out of the line what may go now and what has waited too long.
  Moves advance(const std::string &Service, ServerPool::ServiceRoom Room,
                base::Millis Now);

  /// Takes all out of the line, as the service can't serve them.
  std::vector<std::uint64_t> clear(const std::string &Service);

  /// \returns when a refused request should come back.
  base::Millis retryAfter(const std::string &Service, base::Random &Draw) const;

  [[nodiscard]] std::size_t waiting(const std::string &Service) const;
  [[nodiscard]] std::vector<std::string> services() const;

private:
  struct Line {
    std::vector<Waiting> m_Waiting;
    /// Completions a second, averaged, and those of the current second.
    double m_Rate = 0;
    unsigned m_Count = 0;
    base::Millis m_CountSince{};
  };
  [[nodiscard]] bool hasRoom(const ServerPool::ServiceRoom &Room) const;
  void roll(Line &Of, base::Millis Now) const;

  const AdmissionSettings m_Settings;
  std::map<std::string, Line> m_Lines;
};

} // namespace corneldeck::direct

#endif
