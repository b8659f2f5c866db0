#ifndef CORNELDECK_BENCH_HTTPLOAD_H
#define CORNELDECK_BENCH_HTTPLOAD_H

#include "Net/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace corneldeck::bench {

/// What a load run gave.
struct LoadResult {
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Bytes = 0;
  double m_Seconds = 0;
  /// Milliseconds from when each request was due to its whole answer.
  std::vector<double> m_Latencies;

  /// \returns the latency at \p Share, such as 0.99, in milliseconds.
  [[nodiscard]] double percentile(double Share) const;
};

/// Keeps \p Parallel requests in flight for a time.
LoadResult runClosedLoop(const net::HttpCall &Call, std::uint32_t Parallel,
                         std::chrono::milliseconds Duration);

/// Sends requests at an even rate, whether or not earlier ones were answered.
LoadResult runOpenLoop(const net::HttpCall &Call, double PerSecond,
                       std::chrono::milliseconds Duration);

} // namespace corneldeck::bench

#endif
