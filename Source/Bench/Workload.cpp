#include "Bench/Workload.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::bench {
namespace {

constexpr double OutputDeviation = 0.45;
constexpr double BurstFactor = 1.5;
constexpr double BurstMillis = 1'000;
constexpr double CalmMillis = 9'000;
/// Three customers have six tenths of the requests.
const std::vector<double> CustomerShares = {0.25, 0.20, 0.15, 0.06, 0.06,
                                            0.06, 0.06, 0.06, 0.05, 0.05};

FleetSpec vakif() {
  FleetSpec Spec;
  Spec.m_Name = "vakif";
  Spec.m_Zones = {"kadikoy", "besiktas", "uskudar"};
  Spec.m_Subjects = 240;
  Spec.m_SubjectSkew = 0.9;
  Spec.m_Tasks = {
      {"lot-description", 0.5, 0, 512, 1'024, 32, 192, 110, 400,
       base::seconds(6)},
      {"provenance-note", 0.2, 1, 640, 1'024, 64, 256, 160, 400,
       base::seconds(12)},
      {"condition-summary", 0.3, 1, 384, 1'024, 32, 128, 80, 400,
       base::seconds(10)},
  };
  return Spec;
}

FleetSpec ajoke() {
  FleetSpec Spec;
  Spec.m_Name = "ajoke";
  Spec.m_Zones = {"ikeja", "lekki", "yaba"};
  Spec.m_Subjects = 160;
  Spec.m_SubjectSkew = 1.0;
  Spec.m_Tasks = {
      {"enrolment-notice", 0.35, 1, 640, 1'536, 64, 256, 150, 400,
       base::seconds(12)},
      {"explain-split", 0.4, 0, 512, 1'536, 32, 160, 90, 400, base::seconds(6)},
      {"nominee-summary", 0.25, 1, 448, 1'536, 128, 384, 80, 400,
       base::seconds(10)},
  };
  return Spec;
}

std::vector<double> cumulate(const std::vector<double> &Shares) {
  std::vector<double> Sums;
  Sums.reserve(Shares.size());
  double Sum = 0;
  for (const double Share : Shares)
    Sums.push_back(Sum += Share);
  for (double &Each : Sums)
    Each /= Sum;
  return Sums;
}

std::uint64_t blockHash(const std::string &Owner, std::uint32_t Index) {
  return base::hash64(Owner, Index);
}

} // namespace

FleetSpec fleetSpec(const std::string &Name) {
  FleetSpec Spec = Name == "ajoke" ? ajoke() : vakif();
  Spec.m_Customers = CustomerShares;
  return Spec;
}

FleetSpec serviceSpec(const std::string &Name) {
  FleetSpec Spec = fleetSpec(Name);
  Spec.m_Replicas = Spec.m_ServiceReplicas;
  Spec.m_Subjects = 1;
  Spec.m_Engine.m_CacheBlocks = 0;
  Spec.m_Tasks = {
      {"status-call", 1.0, 0, 0, 0, 16, 64, 1, 1, base::seconds(1)},
  };
  return Spec;
}

Workload::Workload(const FleetSpec &Spec, std::uint64_t Seed)
    : m_Spec(Spec), m_Random(Seed) {
  std::vector<double> Tasks;
  for (const TaskSpec &Task : Spec.m_Tasks)
    Tasks.push_back(Task.m_Share);
  m_TaskShares = cumulate(Tasks);
  std::vector<double> Subjects;
  for (std::uint32_t Rank = 1; Rank <= Spec.m_Subjects; ++Rank)
    Subjects.push_back(std::pow(Rank, -Spec.m_SubjectSkew));
  m_SubjectShares = cumulate(Subjects);
  m_CustomerShares = cumulate(Spec.m_Customers);
}

std::size_t Workload::pick(const std::vector<double> &Cumulative) {
  const auto Found = std::upper_bound(Cumulative.begin(), Cumulative.end(),
                                      m_Random.uniform());
  const auto Index = static_cast<std::size_t>(Found - Cumulative.begin());
  return std::min(Index, Cumulative.size() - 1);
}

void Workload::addBlocks(TrafficItem &To, std::size_t Task, std::size_t Subject,
                         std::uint32_t OwnTokens) {
  const TaskSpec &Spec = m_Spec.m_Tasks[Task];
  const std::uint32_t Size = m_Spec.m_Engine.m_BlockTokens;
  const std::uint32_t System = Spec.m_SystemTokens / Size;
  const std::uint32_t Shared = System + Spec.m_SubjectTokens / Size;
  const std::uint32_t All = Shared + OwnTokens / Size;
  const std::string TaskName = Spec.m_Name;
  const std::string SubjectName = TaskName + '/' + std::to_string(Subject);
  const std::string OwnName = SubjectName + '/' + std::to_string(m_Drawn);
  for (std::uint32_t Index = 0; Index < All; ++Index) {
    const std::string &Owner = Index < System   ? TaskName
                               : Index < Shared ? SubjectName
                                                : OwnName;
    To.m_Blocks.push_back(blockHash(Owner, Index));
  }
}

TrafficItem Workload::draw(base::Millis At) {
  return drawFor(At, static_cast<std::uint32_t>(pick(m_CustomerShares)));
}

TrafficItem Workload::drawFor(base::Millis At, std::uint32_t Customer) {
  TrafficItem New;
  New.m_At = At;
  New.m_Customer = Customer;
  const std::size_t Task = pick(m_TaskShares);
  const TaskSpec &Spec = m_Spec.m_Tasks[Task];
  const std::size_t Subject = pick(m_SubjectShares);
  const auto Own = static_cast<std::uint32_t>(
      Spec.m_LeastOwnTokens +
      m_Random.below(Spec.m_MostOwnTokens - Spec.m_LeastOwnTokens + 1));
  New.m_Class = Spec.m_Class;
  New.m_Deadline = At + Spec.m_Deadline;
  New.m_PromptTokens = Spec.m_SystemTokens + Spec.m_SubjectTokens + Own;
  const double Length =
      Spec.m_MedianOutput * std::exp(m_Random.normal(0, OutputDeviation));
  New.m_OutputTokens =
      std::clamp(static_cast<std::uint32_t>(Length), 1U, Spec.m_MostOutput);
  ++m_Drawn;
  addBlocks(New, Task, Subject, Own);
  return New;
}

std::vector<TrafficItem> Workload::arrivals(double PerSecond,
                                            base::Millis Span) {
  const double CalmShare = CalmMillis / (CalmMillis + BurstMillis);
  const double Calm =
      PerSecond / (CalmShare + (1 - CalmShare) * BurstFactor) / 1'000;
  std::vector<TrafficItem> Items;
  double Now = 0;
  double PhaseEnd = m_Random.exponential(CalmMillis);
  bool InBurst = false;
  const auto End = static_cast<double>(Span.count());
  while (Now < End) {
    const double Rate = InBurst ? Calm * BurstFactor : Calm;
    const double Next = Now + m_Random.exponential(1 / Rate);
    if (Next > PhaseEnd) {
      // The exponential has no memory, so the draw starts anew at the change.
      Now = PhaseEnd;
      InBurst = !InBurst;
      PhaseEnd += m_Random.exponential(InBurst ? BurstMillis : CalmMillis);
      continue;
    }
    Now = Next;
    if (Now >= End)
      break;
    Items.push_back(draw(base::Millis(static_cast<std::int64_t>(Now))));
  }
  return Items;
}

} // namespace corneldeck::bench
