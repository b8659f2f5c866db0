#ifndef CORNELDECK_ADMISSION_ADMISSIONCONTROL_H
#define CORNELDECK_ADMISSION_ADMISSIONCONTROL_H

#include "Admission/DrainRate.h"
#include "Admission/FairQueue.h"
#include "Base/Error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::admission {

/// Settings of the admission queue of one entry for one service.
struct AdmissionSettings {
  std::size_t m_MaxQueued = 2'000;
  /// Drain rate, in work per second, assumed before it has been measured.
  double m_InitialWorkRate = 100'000;
  base::Millis m_RateWindow{2'000};
  /// Minimum fraction of the drain rate assumed for a lower class.
  double m_MinClassShare = 0.05;
  base::Millis m_MinRetryAfter{20};
  base::Millis m_MaxRetryAfter = base::seconds(60);
};

/// The refusal of a request, which is its final answer.
struct Refusal {
  std::string m_Request;
  /// The code is Overloaded or DeadlineTooShort; the retry delay is set.
  base::Error m_Error;
};

/// Result of queueing a request.
struct EnqueueResult {
  /// Set if the request was refused; otherwise it is queued.
  std::optional<base::Error> m_Refusal;
  /// Requests of a lower class, or of a customer with more queued work, that
  /// were removed from the full queue to admit this one.
  std::vector<Refusal> m_Displaced;
};

/// Queues an entry's requests for one service and refuses those that are
/// predicted to miss their deadlines.
///
/// Classes are served in strict priority order, customers of a class by fair
/// shares of work. The wait is predicted from the work ahead and the measured
/// drain rate. The class has no clock and no thread; the caller passes the
/// time.
class AdmissionControl {
public:
  explicit AdmissionControl(const AdmissionSettings &Settings);

  /// Queues a request or refuses it.
  EnqueueResult enqueue(base::Millis Now, QueuedRequest New);

  /// \returns up to \p Count requests in the order of service, without removing
  /// them. Valid until the next call that changes the queue.
  [[nodiscard]] std::vector<const QueuedRequest *>
  peek(std::size_t Count) const;

  /// Removes a queued request that is dispatched now and charges its customer.
  /// \returns nullopt if it is not queued.
  std::optional<QueuedRequest> dequeue(base::Millis Now,
                                       const std::string &Request);

  /// Removes a queued request whose caller has disconnected.
  /// \returns false if it is not queued.
  bool cancel(base::Millis Now, const std::string &Request);

  /// Removes and refuses the queued requests that are predicted to miss their
  /// deadlines. Must be called several times per second.
  std::vector<Refusal> expire(base::Millis Now);

  /// \returns the predicted wait of a request of this class and customer.
  [[nodiscard]] base::Millis predictWait(base::Millis Now, std::uint32_t Class,
                                         const std::string &Customer,
                                         double Work) const;

  [[nodiscard]] std::size_t size() const { return m_Positions.size(); }
  /// \returns the work of all queued requests.
  [[nodiscard]] double queuedWork() const;

private:
  struct QueuePosition {
    std::uint32_t m_Class = 0;
    std::string m_Customer;
  };

  [[nodiscard]] double workAhead(std::uint32_t Class) const;
  [[nodiscard]] base::Millis timeToDrain(base::Millis Now, std::uint32_t Class,
                                         double Work) const;
  base::Error makeRefusal(base::Millis Now, const QueuedRequest &Request,
                          base::Millis Wait);
  void decayRetryWork(base::Millis Now);
  std::optional<QueuedRequest> displace(const QueuedRequest &New);
  void onRemoved(base::Millis Now, const QueuedRequest &Removed);

  AdmissionSettings m_Settings;
  DrainRate m_DrainRate;
  /// The queue and the arrival rate of one class.
  struct ClassQueue {
    FairQueue m_Queue;
    ArrivalRate m_Arrivals;
  };

  ClassQueue &classQueue(std::uint32_t Class);
  [[nodiscard]] double rateFor(base::Millis Now, std::uint32_t Class) const;

  std::map<std::uint32_t, ClassQueue> m_Classes;
  std::map<std::string, QueuePosition> m_Positions;
  /// Refused work whose retry is expected, decayed by the drain rate.
  double m_ExpectedRetryWork = 0;
  base::Millis m_RetryWorkUpdatedAt{};
};

} // namespace corneldeck::admission

#endif
