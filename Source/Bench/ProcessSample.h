#ifndef CORNELDECK_BENCH_PROCESSSAMPLE_H
#define CORNELDECK_BENCH_PROCESSSAMPLE_H

#include <string>

namespace corneldeck::bench {

/// What a process has used so far.
struct ProcessSample {
  double m_CpuSeconds = 0;
  double m_MemoryMb = 0;
  /// Bytes of control traffic, from the process's metrics.
  double m_Bytes = 0;
};

/// Reads what a process has used from the system and from its /metrics page.
///
/// \param Http where the process serves its pages, "ip:port".
/// \throws std::runtime_error if the process is gone.
ProcessSample sampleProcess(int Pid, const std::string &Http);

} // namespace corneldeck::bench

#endif
