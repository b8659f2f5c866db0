#include "Admission/FairQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace corneldeck::admission {
namespace {

/// Fluid model of fair sharing: the total work served to all customers by the
/// time one of them has been served a given amount.
class ServiceCurve {
public:
  void add(double Queued) { m_Queued.push_back(Queued); }

  void finish() {
    std::sort(m_Queued.begin(), m_Queued.end());
    double Sum = 0;
    m_Sums.push_back(Sum);
    for (const double Queued : m_Queued)
      m_Sums.push_back(Sum += Queued);
  }

  /// \returns the sum over the customers of min(queued, \p Served).
  [[nodiscard]] double totalServed(double Served) const {
    const auto Bound =
        std::upper_bound(m_Queued.begin(), m_Queued.end(), Served);
    const auto Below = static_cast<std::size_t>(Bound - m_Queued.begin());
    const auto Above = static_cast<double>(m_Queued.size() - Below);
    return m_Sums[Below] + Above * Served;
  }

private:
  std::vector<double> m_Queued;
  std::vector<double> m_Sums;
};

} // namespace

void FairQueue::push(QueuedRequest New) {
  CustomerQueue &OwnQueue = m_Customers[New.m_Customer];
  if (OwnQueue.m_Requests.empty())
    OwnQueue.m_ServedWork = std::max(OwnQueue.m_ServedWork, m_MinServedWork);
  OwnQueue.m_Work += New.m_Work;
  m_Work += New.m_Work;
  ++m_Size;
  OwnQueue.m_Requests.push_back(std::move(New));
}

std::vector<const QueuedRequest *> FairQueue::peek(std::size_t Count) const {
  /// A customer's next request and its served work before that request.
  struct Cursor {
    double m_ServedWork = 0;
    const CustomerQueue *m_Customer = nullptr;
    std::size_t m_Index = 0;
  };
  const auto Later = [](const Cursor &Left, const Cursor &Right) {
    return Left.m_ServedWork > Right.m_ServedWork;
  };
  std::vector<Cursor> Cursors;
  for (const auto &[Name, Item] : m_Customers)
    if (!Item.m_Requests.empty())
      Cursors.push_back({Item.m_ServedWork, &Item, 0});
  std::make_heap(Cursors.begin(), Cursors.end(), Later);
  std::vector<const QueuedRequest *> Order;
  while (!Cursors.empty() && Order.size() < Count) {
    std::pop_heap(Cursors.begin(), Cursors.end(), Later);
    Cursor First = Cursors.back();
    Cursors.pop_back();
    const QueuedRequest &Each = First.m_Customer->m_Requests[First.m_Index];
    Order.push_back(&Each);
    First.m_ServedWork += Each.m_Work;
    ++First.m_Index;
    if (First.m_Index == First.m_Customer->m_Requests.size())
      continue;
    Cursors.push_back(First);
    std::push_heap(Cursors.begin(), Cursors.end(), Later);
  }
  return Order;
}

std::optional<QueuedRequest> FairQueue::dequeue(const std::string &Request,
                                                const std::string &Customer) {
  const auto OwnQueue = m_Customers.find(Customer);
  if (OwnQueue == m_Customers.end())
    return std::nullopt;
  const double Before = OwnQueue->second.m_ServedWork;
  const double Work = workOf(Request, OwnQueue->second);
  if (Work <= 0)
    return std::nullopt;
  // Requests may be dequeued out of order, so the minimum must not decrease.
  m_MinServedWork = std::max(m_MinServedWork, minServedWork());
  OwnQueue->second.m_ServedWork = Before + Work;
  return remove(Request, Customer);
}

double FairQueue::workOf(const std::string &Request, const CustomerQueue &In) {
  for (const QueuedRequest &Each : In.m_Requests)
    if (Each.m_Request == Request)
      return Each.m_Work;
  return 0;
}

double FairQueue::minServedWork() const {
  double Least = std::numeric_limits<double>::max();
  for (const auto &[Name, Item] : m_Customers)
    if (!Item.m_Requests.empty())
      Least = std::min(Least, Item.m_ServedWork);
  return Least;
}

void FairQueue::onRemoved(CustomerQueues::iterator From, double Work) {
  From->second.m_Work -= Work;
  m_Work -= Work;
  --m_Size;
  // An idle customer is removed once the others have been served as much work.
  std::erase_if(m_Customers, [this](const auto &Item) {
    return Item.second.m_Requests.empty() &&
           Item.second.m_ServedWork <= m_MinServedWork;
  });
  if (m_Size == 0) {
    m_Customers.clear();
    m_MinServedWork = 0;
    m_Work = 0;
  }
}

std::optional<QueuedRequest> FairQueue::remove(const std::string &Request,
                                               const std::string &Customer) {
  const auto OwnQueue = m_Customers.find(Customer);
  if (OwnQueue == m_Customers.end())
    return std::nullopt;
  std::deque<QueuedRequest> &Waiting = OwnQueue->second.m_Requests;
  const auto Item = std::find_if(
      Waiting.begin(), Waiting.end(),
      [&](const QueuedRequest &Each) { return Each.m_Request == Request; });
  if (Item == Waiting.end())
    return std::nullopt;
  QueuedRequest Found = std::move(*Item);
  Waiting.erase(Item);
  onRemoved(OwnQueue, Found.m_Work);
  return Found;
}

std::optional<QueuedRequest> FairQueue::removeLastOfLargest() {
  const auto Largest =
      std::max_element(m_Customers.begin(), m_Customers.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.m_Work < Right.second.m_Work;
                       });
  if (Largest == m_Customers.end() || Largest->second.m_Requests.empty())
    return std::nullopt;
  QueuedRequest Last = std::move(Largest->second.m_Requests.back());
  Largest->second.m_Requests.pop_back();
  onRemoved(Largest, Last.m_Work);
  return Last;
}

double FairQueue::workOf(const std::string &Customer) const {
  const auto OwnQueue = m_Customers.find(Customer);
  return OwnQueue == m_Customers.end() ? 0 : OwnQueue->second.m_Work;
}

double FairQueue::largestWork() const {
  double Most = 0;
  for (const auto &[Name, Item] : m_Customers)
    Most = std::max(Most, Item.m_Work);
  return Most;
}

double FairQueue::workUntilServed(const std::string &Customer,
                                  double Work) const {
  const double OwnWork = Work + workOf(Customer);
  double Sum = OwnWork;
  for (const auto &[Name, Item] : m_Customers)
    if (Name != Customer)
      Sum += std::min(Item.m_Work, OwnWork);
  return Sum;
}

std::vector<QueuedRequest> FairQueue::removeIf(
    const std::function<bool(const QueuedRequest &, double)> &Drop) {
  ServiceCurve Curve;
  for (const auto &[Name, Item] : m_Customers)
    Curve.add(Item.m_Work);
  Curve.finish();
  std::vector<QueuedRequest> Dropped;
  for (const auto &[Name, Item] : m_Customers) {
    double OwnWork = 0;
    for (const QueuedRequest &Each : Item.m_Requests) {
      const double WorkThrough = Curve.totalServed(OwnWork + Each.m_Work);
      if (Drop(Each, WorkThrough))
        Dropped.push_back(Each);
      else
        OwnWork += Each.m_Work;
    }
  }
  for (const QueuedRequest &Each : Dropped)
    remove(Each.m_Request, Each.m_Customer);
  return Dropped;
}

} // namespace corneldeck::admission
