#ifndef CORNELDECK_ADMISSION_FAIRQUEUE_H
#define CORNELDECK_ADMISSION_FAIRQUEUE_H

#include "Base/Millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::admission {

/// A request that waits for a backend server.
struct QueuedRequest {
  std::string m_Request;
  std::string m_Customer;
  /// 0 is the class that is refused last.
  std::uint32_t m_Class = 0;
  /// Size in the unit in which customers share, such as tokens; above 0.
  double m_Work = 1;
  /// Point in time by which the whole answer is due.
  base::Millis m_Deadline{};
  /// Predicted time from dispatch to the whole answer.
  base::Millis m_ExpectedRunTime{};
  /// Set by the queue: when the request came.
  base::Millis m_EnqueuedAt{};
};

/// The requests of one class, shared fairly between customers by work.
///
/// Customers are served in the order of the work that they have had. One that
/// was idle starts level with the least served, so it can't save up a claim.
class FairQueue {
public:
  /// Adds a request behind the others of its customer.
  void push(QueuedRequest New);

  /// \returns the next \p Count requests in the order of service; they stay
  /// queued. Valid until the next change.
  [[nodiscard]] std::vector<const QueuedRequest *>
  peek(std::size_t Count) const;

  /// Takes a request out to be served and charges its customer.
  std::optional<QueuedRequest> dequeue(const std::string &Request,
                                       const std::string &Customer);

  /// Takes a request out without a charge.
  std::optional<QueuedRequest> remove(const std::string &Request,
                                      const std::string &Customer);

  /// Takes out the last request of the customer with the most queued work.
  std::optional<QueuedRequest> removeLastOfLargest();

  /// \returns the work served before a request of \p Customer that came now,
  /// of \p Work, and itself.
  [[nodiscard]] double workUntilServed(const std::string &Customer,
                                       double Work) const;

  /// Visits all requests with the work served up to and with each one, and
  /// takes out those for which \p Drop returns true. A dropped request no
  /// longer counts for the ones behind it.
  std::vector<QueuedRequest>
  removeIf(const std::function<bool(const QueuedRequest &, double WorkThrough)>
               &Drop);

  [[nodiscard]] double work() const { return m_Work; }

  /// \returns the queued work of one customer.
  [[nodiscard]] double workOf(const std::string &Customer) const;

  /// \returns the queued work of the customer with the most of it.
  [[nodiscard]] double largestWork() const;

  [[nodiscard]] std::size_t size() const { return m_Size; }

private:
  struct CustomerQueue {
    std::deque<QueuedRequest> m_Requests;
    double m_Work = 0;
    /// Work served, on the scale of m_MinServedWork.
    double m_ServedWork = 0;
  };
  using CustomerQueues = std::map<std::string, CustomerQueue>;

  static double workOf(const std::string &Request, const CustomerQueue &In);
  [[nodiscard]] double minServedWork() const;
  void onRemoved(CustomerQueues::iterator From, double Work);

  CustomerQueues m_Customers;
  /// Work served to the least served waiting customer at the last service.
  double m_MinServedWork = 0;
  double m_Work = 0;
  std::size_t m_Size = 0;
};

} // namespace corneldeck::admission

#endif
