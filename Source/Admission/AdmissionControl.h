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

/// Bounds of one entry's queue for one service.
struct AdmissionSettings {
  std::size_t m_MaxQueued = 2'000;
  /// Work a second that is assumed before any was measured.
  double m_InitialWorkRate = 100'000;
  base::Millis m_RateWindow{2'000};
  /// The least part of the rate that is counted on for the lower classes.
  double m_MinClassShare = 0.05;
  base::Millis m_MinRetryAfter{20};
  base::Millis m_MaxRetryAfter = base::seconds(60);
};

/// The final answer to a request that is not run.
struct Refusal {
  std::string m_Request;
  /// Its code is Overloaded or DeadlineTooShort, with a time to come back.
  base::Error m_Error;
};

/// What became of an offered request.
struct EnqueueResult {
  /// Set if the request was refused; it is queued otherwise.
  std::optional<base::Error> m_Refusal;
  /// Requests of a lower class, or of a customer with more queued, that were
  /// given up to make room.
  std::vector<Refusal> m_Displaced;
};

/// Queues an entry's requests for one service and refuses early those that
/// can't meet their deadlines.
///
/// Classes are served in strict order, customers of a class by fair shares of
/// work. The wait is predicted from the work ahead and the measured rate at
/// which work leaves. Pure: it owns no clock and no thread.
class AdmissionControl {
public:
  explicit AdmissionControl(const AdmissionSettings &Settings);

  /// Queues a request or refuses it.
  EnqueueResult enqueue(base::Millis Now, QueuedRequest New);

  /// \returns the next \p Count requests in the order of service. Valid until
  /// the next call that changes the queue.
  [[nodiscard]] std::vector<const QueuedRequest *>
  peek(std::size_t Count) const;

  /// Takes a queued request out, to be dispatched at once.
  /// \returns nothing if it isn't queued.
  std::optional<QueuedRequest> dequeue(base::Millis Now,
                                       const std::string &Request);

  /// Forgets a queued request whose caller has gone.
  /// \returns false if it isn't queued.
  bool cancel(base::Millis Now, const std::string &Request);

  /// Gives up the queued requests that are no longer predicted to meet their
  /// deadlines. To be called several times a second.
  std::vector<Refusal> expire(base::Millis Now);

  /// \returns the time that a request of this class and customer would wait.
  [[nodiscard]] base::Millis predictWait(base::Millis Now, std::uint32_t Class,
                                         const std::string &Customer,
                                         double Work) const;

  [[nodiscard]] std::size_t size() const { return m_Positions.size(); }
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
  void onRemoved(const QueuedRequest &Removed);

  AdmissionSettings m_Settings;
  DrainRate m_DrainRate;
  /// The requests of one class.
  struct ClassQueue {
    FairQueue m_Queue;
    ArrivalRate m_Arrivals;
  };

  ClassQueue &classQueue(std::uint32_t Class);
  [[nodiscard]] double rateFor(base::Millis Now, std::uint32_t Class) const;

  std::map<std::uint32_t, ClassQueue> m_Classes;
  std::map<std::string, QueuePosition> m_Positions;
  /// Refused work that was told to come back and has not had its turn yet.
  double m_ExpectedRetryWork = 0;
  base::Millis m_RetryWorkUpdatedAt{};
};

} // namespace corneldeck::admission

#endif
