#include "Direct/ClassUsageReport.h"

#include <cmath>

namespace corneldeck::direct {

namespace {

std::string rounded(double Value) { return std::to_string(std::lround(Value)); }

metrics::Labels labels(const std::string &Service, int Class) {
  return {{"service", Service}, {"class", std::to_string(Class)}};
}

} // namespace

std::string
ClassUsageReport::recordRefusal(const std::string &Service, int Class,
                                const ServerPool::ServiceUsage &Usage,
                                base::Millis Now) {
  m_Metrics
      .counter("corneldeck_class_refused_total",
               "Requests of a class that this entry refused.",
               labels(Service, Class))
      .add();
  std::string Use;
  for (const ClassShares::Share &Each : m_Queue.shares(Service, Usage, Now)) {
    Use += (Use.empty() ? "" : ",") + std::to_string(Each.m_Class) + ":" +
           rounded(Each.m_InFlight);
    if (Each.m_Allocated > 0)
      Use += "/" + rounded(Each.m_Allocated);
  }
  return Use;
}

void ClassUsageReport::update(const std::string &Service,
                              const ServerPool::ServiceUsage &Usage,
                              base::Millis Now) {
  const ClassShares::Shares All = m_Queue.shares(Service, Usage, Now);
  for (const ClassShares::Share &Each : All)
    m_Known.emplace(Service, Each.m_Class);
  for (const auto &[Known, Class] : m_Known) {
    if (Known != Service)
      continue;
    // A class that has no requests any more has zeros.
    ClassShares::Share Shown;
    for (const ClassShares::Share &Each : All)
      if (Each.m_Class == Class)
        Shown = Each;
    const metrics::Labels Series = labels(Service, Class);
    m_Metrics
        .gauge("corneldeck_class_in_flight",
               "Requests of a class in flight over all entries.", Series)
        .set(Shown.m_InFlight);
    m_Metrics
        .gauge("corneldeck_class_waiting",
               "Requests of a class that wait at all entries.", Series)
        .set(Shown.m_Waiting);
    m_Metrics
        .gauge("corneldeck_class_reserved",
               "Capacity that is allocated to a class and not in use.", Series)
        .set(Shown.m_Reserved);
  }
}

} // namespace corneldeck::direct
