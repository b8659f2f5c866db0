#ifndef CORNELDECK_BENCH_CLASSMODEL_H
#define CORNELDECK_BENCH_CLASSMODEL_H

#include "Direct/AdmissionQueue.h"
#include "Fakes/VirtualTime.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// Who admits the requests.
enum class ClassMode {
  Shared,              ///< The product.
  CompleteInformation, ///< One scheduler that knows all at once.
  NoReservation,       ///< Planted: each entry counts its own requests only.
  NoCustomers,         ///< Planted: all requests have the same customer.
  NoReports            ///< All entries are of a release without reports.
};

/// A time in which a class arrives at a multiple of its rate.
struct ClassBurst {
  std::size_t m_Class = 0;
  base::Millis m_Begin{};
  base::Millis m_Duration{};
  double m_Factor = 1;
};

/// Settings of ClassModel.
struct ClassModelOptions {
  std::size_t m_Entries = 33;
  unsigned m_Capacity = 480;
  base::Millis m_HoldTime = base::seconds(2);
  /// Requests a second by class.
  std::vector<double> m_Rates;
  std::size_t m_Customers = 24;
  /// Exponent of the customers' Zipf distribution.
  double m_Skew = 1.2;
  /// A customer with a multiple of its usual requests.
  std::optional<std::size_t> m_LargeCustomer;
  double m_LargeFactor = 1;
  std::vector<ClassBurst> m_Bursts;
  /// Whether refused callers return once, after their retry-after time.
  bool m_CallersReturn = false;
  ClassMode m_Mode = ClassMode::Shared;
  std::uint64_t m_Seed = 1;
};

/// Entries before the servers of one service with several classes of requests,
/// on virtual time. Runs the product's admission queue; the reports of an entry
/// arrive at the others 20 to 200 ms after they were sent, every 200 ms.
class ClassModel {
public:
  explicit ClassModel(ClassModelOptions Options);

  void runFor(base::Millis Duration);

  struct Tally {
    std::uint64_t m_Offered = 0;
    std::uint64_t m_Served = 0;

    [[nodiscard]] double ratio() const {
      return m_Offered == 0 ? 1
                            : static_cast<double>(m_Served) /
                                  static_cast<double>(m_Offered);
    }
  };
  struct ClassOutcome {
    Tally m_All;
    /// The requests with the most prompt tokens, a tenth of all.
    Tally m_Large;
    /// Requests that were refused once and returned.
    Tally m_Returned;
    std::vector<Tally> m_Customers;
  };
  /// Returns the outcomes by class since the last reset.
  [[nodiscard]] const std::vector<ClassOutcome> &outcomes() const {
    return m_Outcomes;
  }
  void resetOutcomes();
  /// Returns the mean requests in flight, and the mean excess over the
  /// capacity, since the last reset, as fractions of the capacity.
  [[nodiscard]] double utilization() const;
  [[nodiscard]] double excess() const;

private:
  struct Request {
    std::uint64_t m_Token = 0;
    std::size_t m_Class = 0;
    std::size_t m_Customer = 0;
    bool m_IsLarge = false;
    bool m_HasReturned = false;
    std::size_t m_Entry = 0;
    base::Millis m_WaitsUntil{};
  };
  struct Entry {
    direct::AdmissionQueue m_Queue;
    unsigned m_InFlight = 0;
    std::vector<unsigned> m_Reported;
    unsigned m_ReportedSum = 0;
    std::map<std::uint64_t, Request> m_Waiting;
    bool m_TimerArmed = false;
  };
  /// The scheduler with complete information.
  struct Scheduler {
    std::vector<std::vector<Request>> m_Waiting;
    /// Recent requests by class, and starts by class and customer; older ones
    /// count less.
    std::vector<double> m_Arrivals;
    std::vector<double> m_Starts;
    std::vector<std::vector<double>> m_CustomerStarts;
    base::Millis m_DecayedAt{};
  };

  void scheduleArrival(std::size_t Class);
  [[nodiscard]] std::size_t drawCustomer();
  void arrive(Request New);
  void admitAtEntry(const Request &New);
  void processQueue(std::size_t Index);
  void armTimer(std::size_t Index);
  void start(const Request &Started);
  void end(const Request &Ended);
  void refused(const Request &Refused);
  void sendReport(std::size_t Index);
  [[nodiscard]] direct::ServerPool::ServiceUsage usage(const Entry &At) const;
  void schedule();
  /// Returns the class that the scheduler serves next, or none.
  [[nodiscard]] std::optional<std::size_t> nextClass() const;
  void count(const Request &Counted, bool IsServed);
  void changeInFlight(int Change);

  const ClassModelOptions m_Options;
  fakes::VirtualTime m_Time;
  base::Random m_Random;
  std::vector<double> m_CustomerWeights;
  std::vector<std::unique_ptr<Entry>> m_Entries;
  Scheduler m_Scheduler;
  std::uint64_t m_NextToken = 1;
  unsigned m_InFlight = 0;
  base::Millis m_ChangedAt{};
  base::Millis m_ResetAt{};
  double m_InFlightTime = 0;
  double m_ExcessTime = 0;
  std::vector<ClassOutcome> m_Outcomes;
};

} // namespace corneldeck::bench

#endif
