#ifndef CORNELDECK_BENCH_WORKLOAD_H
#define CORNELDECK_BENCH_WORKLOAD_H

#include "Base/Millis.h"
#include "Base/Random.h"
#include "Fakes/EngineModel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// One kind of request of an application.
struct TaskSpec {
  std::string m_Name;
  /// Share of the requests.
  double m_Share = 0;
  /// 0 is refused last.
  std::uint32_t m_Class = 0;
  /// Prompt tokens that all requests of the task have in common.
  std::uint32_t m_SystemTokens = 0;
  /// Prompt tokens of the subject: a lot's or an employer's documents.
  std::uint32_t m_SubjectTokens = 0;
  /// Bounds of the prompt tokens that only one request has.
  std::uint32_t m_LeastOwnTokens = 0;
  std::uint32_t m_MostOwnTokens = 0;
  /// Median tokens of the answer; lengths are log-normal.
  double m_MedianOutput = 0;
  std::uint32_t m_MostOutput = 0;
  /// Time from the request to the end of the answer that still is in time.
  base::Millis m_Deadline{};
};

/// A fleet of the brief with its applications' traffic.
struct FleetSpec {
  std::string m_Name;
  std::vector<std::string> m_Zones;
  std::uint32_t m_Entries = 9;
  std::uint32_t m_Replicas = 12;
  base::Millis m_ClientDelay{1};
  /// One way between zones; the brief's half millisecond is rounded up.
  base::Millis m_ZoneDelay{1};
  fakes::EngineSettings m_Engine;
  std::vector<TaskSpec> m_Tasks;
  /// Lots or employers whose requests are made now.
  std::uint32_t m_Subjects = 0;
  /// Exponent of the subjects' popularity by rank.
  double m_SubjectSkew = 0;
  /// Share of the requests of each customer; a few are large.
  std::vector<double> m_Customers;
  /// The service replicas beside the model.
  std::uint32_t m_ServiceReplicas = 3;
};

/// \returns the fleet of the brief named "vakif" or "ajoke".
FleetSpec fleetSpec(const std::string &Name);

/// \returns the same fleet's plain service as a fleet of its own: short calls
/// without a shared prompt, at the service replicas.
FleetSpec serviceSpec(const std::string &Name);

/// One request of the traffic.
struct TrafficItem {
  base::Millis m_At{};
  std::uint32_t m_Customer = 0;
  std::uint32_t m_Class = 0;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 1;
  base::Millis m_Deadline{};
  std::vector<std::uint64_t> m_Blocks;
};

/// Draws the requests of a fleet: an open loop of Poisson arrivals with bursts.
///
/// Bursts of BurstFactor times the other times' rate come at random, about one
/// second long and ten seconds apart; the mean rate stays as asked.
class Workload {
public:
  Workload(const FleetSpec &Spec, std::uint64_t Seed);

  /// \returns the requests from 0 to \p Span at \p PerSecond on average.
  std::vector<TrafficItem> arrivals(double PerSecond, base::Millis Span);

  /// \returns one request, as the next of a closed loop.
  TrafficItem draw(base::Millis At);

  /// \returns one request of a given customer.
  TrafficItem drawFor(base::Millis At, std::uint32_t Customer);

private:
  std::size_t pick(const std::vector<double> &Cumulative);
  void addBlocks(TrafficItem &To, std::size_t Task, std::size_t Subject,
                 std::uint32_t OwnTokens);

  FleetSpec m_Spec;
  base::Random m_Random;
  std::vector<double> m_TaskShares;
  std::vector<double> m_SubjectShares;
  std::vector<double> m_CustomerShares;
  std::uint64_t m_Drawn = 0;
};

} // namespace corneldeck::bench

#endif
