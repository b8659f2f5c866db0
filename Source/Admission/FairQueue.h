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
  /// Priority class; 0 is the highest and is refused last.
  std::uint32_t m_Class = 0;
  /// Size in the unit that is shared fairly, such as tokens; must be above 0.
  double m_Work = 1;
  /// Time by which the whole answer is due.
  base::Millis m_Deadline{};
  /// Predicted duration from dispatch to the whole answer.
  base::Millis m_ExpectedRunTime{};
  /// Arrival time; set by AdmissionControl.
  base::Millis m_EnqueuedAt{};
};

/// Queues the requests of one class and shares service fairly between customers
/// by work.
///
/// The customer with the least served work is served next. A customer that was
/// idle starts with the served work of the least served customer, so idle time
/// earns no credit.
class FairQueue {
public:
  /// Adds a request after the others of its customer.
  void push(QueuedRequest New);

  /// \returns up to \p Count requests in the order of service, without removing
  /// them. Valid until the next change of the queue.
  [[nodiscard]] std::vector<const QueuedRequest *>
  peek(std::size_t Count) const;

  /// Removes a request to be served and charges its customer.
  std::optional<QueuedRequest> dequeue(const std::string &Request,
                                       const std::string &Customer);

  /// Removes a request without charging its customer.
  std::optional<QueuedRequest> remove(const std::string &Request,
                                      const std::string &Customer);

  /// Removes the last request of the customer with the most queued work.
  std::optional<QueuedRequest> removeLastOfLargest();

  /// \returns the work served until a request of \p Customer that arrives now
  /// has been served, including its own \p Work.
  [[nodiscard]] double workUntilServed(const std::string &Customer,
                                       double Work) const;

  /// Removes the requests for which \p Drop returns true. \p Drop receives each
  /// request with the work served until it has been served, including its own.
  /// A removed request does not count for the later ones of its customer.
  /// \returns the removed requests.
  std::vector<QueuedRequest>
  removeIf(const std::function<bool(const QueuedRequest &, double WorkThrough)>
               &Drop);

  /// \returns the queued work of all customers.
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
    /// Work served, comparable with m_MinServedWork.
    double m_ServedWork = 0;
  };
  using CustomerQueues = std::map<std::string, CustomerQueue>;

  static double workOf(const std::string &Request, const CustomerQueue &In);
  [[nodiscard]] double minServedWork() const;
  void onRemoved(CustomerQueues::iterator From, double Work);

  CustomerQueues m_Customers;
  /// Served work of the least served customer with queued requests, at the last
  /// dequeue.
  double m_MinServedWork = 0;
  double m_Work = 0;
  std::size_t m_Size = 0;
};

} // namespace corneldeck::admission

#endif
