#ifndef CORNELDECK_DIRECT_CLASSUSAGEREPORT_H
#define CORNELDECK_DIRECT_CLASSUSAGEREPORT_H

#include "Direct/AdmissionQueue.h"
#include "Metrics/Registry.h"

#include <set>
#include <string>
#include <utility>

namespace corneldeck::direct {

/// Reports the division of a service's capacity between classes of requests in
/// the metrics and in the log lines of refused requests.
class ClassUsageReport {
public:
  ClassUsageReport(AdmissionQueue &Queue, metrics::Registry &Metrics)
      : m_Queue(Queue), m_Metrics(Metrics) {}

  /// Counts a refused request.
  /// \returns for its log line, the use of the service by all classes: the
  /// requests in flight and, under overload, the allocated capacity, such as
  /// "0:140/170,2:340/330".
  std::string recordRefusal(const std::string &Service, int Class,
                            const ServerPool::ServiceUsage &Usage,
                            base::Millis Now);

  /// Updates the gauges of \p Service.
  void update(const std::string &Service, const ServerPool::ServiceUsage &Usage,
              base::Millis Now);

private:
  AdmissionQueue &m_Queue;
  metrics::Registry &m_Metrics;
  /// Services and classes that have gauges.
  std::set<std::pair<std::string, int>> m_Known;
};

} // namespace corneldeck::direct

#endif
