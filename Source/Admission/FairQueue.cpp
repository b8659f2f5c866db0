#include "Admission/FairQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace corneldeck::admission {
namespace {

/// The fluid model of the queue: how much all customers together are served
/// until one of them has had a given amount.
class ShareCurve {
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
  [[nodiscard]] double servedInAll(double Served) const {
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
  Line &Own = m_Lines[New.m_Customer];
  if (Own.m_Waiting.empty())
    Own.m_Served = std::max(Own.m_Served, m_Level);
  Own.m_Work += New.m_Work;
  m_Work += New.m_Work;
  ++m_Size;
  Own.m_Waiting.push_back(std::move(New));
}

std::vector<const QueuedRequest *> FairQueue::peek(std::size_t Count) const {
  /// A customer's place in the order of service after some of its requests.
  struct Turn {
    double m_Served = 0;
    const Line *m_Line = nullptr;
    std::size_t m_Index = 0;
  };
  const auto Later = [](const Turn &Left, const Turn &Right) {
    return Left.m_Served > Right.m_Served;
  };
  std::vector<Turn> Turns;
  for (const auto &[Name, Item] : m_Lines)
    if (!Item.m_Waiting.empty())
      Turns.push_back({Item.m_Served, &Item, 0});
  std::make_heap(Turns.begin(), Turns.end(), Later);
  std::vector<const QueuedRequest *> Order;
  while (!Turns.empty() && Order.size() < Count) {
    std::pop_heap(Turns.begin(), Turns.end(), Later);
    Turn First = Turns.back();
    Turns.pop_back();
    const QueuedRequest &Each = First.m_Line->m_Waiting[First.m_Index];
    Order.push_back(&Each);
    First.m_Served += Each.m_Work;
    ++First.m_Index;
    if (First.m_Index == First.m_Line->m_Waiting.size())
      continue;
    Turns.push_back(First);
    std::push_heap(Turns.begin(), Turns.end(), Later);
  }
  return Order;
}

std::optional<QueuedRequest> FairQueue::dequeue(const std::string &Request,
                                                const std::string &Customer) {
  const auto Own = m_Lines.find(Customer);
  if (Own == m_Lines.end())
    return std::nullopt;
  const double Before = Own->second.m_Served;
  const double Work = workOf(Request, Own->second);
  if (Work <= 0)
    return std::nullopt;
  // Requests may be served out of turn, so the level never goes back.
  m_Level = std::max(m_Level, leastServed());
  Own->second.m_Served = Before + Work;
  return remove(Request, Customer);
}

double FairQueue::workOf(const std::string &Request, const Line &In) {
  for (const QueuedRequest &Each : In.m_Waiting)
    if (Each.m_Request == Request)
      return Each.m_Work;
  return 0;
}

double FairQueue::leastServed() const {
  double Least = std::numeric_limits<double>::max();
  for (const auto &[Name, Item] : m_Lines)
    if (!Item.m_Waiting.empty())
      Least = std::min(Least, Item.m_Served);
  return Least;
}

void FairQueue::shrink(Lines::iterator From, double Work) {
  From->second.m_Work -= Work;
  m_Work -= Work;
  --m_Size;
  // Idle customers are forgotten once the others have caught up with them.
  std::erase_if(m_Lines, [this](const auto &Item) {
    return Item.second.m_Waiting.empty() && Item.second.m_Served <= m_Level;
  });
  if (m_Size == 0) {
    m_Lines.clear();
    m_Level = 0;
    m_Work = 0;
  }
}

std::optional<QueuedRequest> FairQueue::remove(const std::string &Request,
                                               const std::string &Customer) {
  const auto Own = m_Lines.find(Customer);
  if (Own == m_Lines.end())
    return std::nullopt;
  std::deque<QueuedRequest> &Waiting = Own->second.m_Waiting;
  const auto Item = std::find_if(
      Waiting.begin(), Waiting.end(),
      [&](const QueuedRequest &Each) { return Each.m_Request == Request; });
  if (Item == Waiting.end())
    return std::nullopt;
  QueuedRequest Found = std::move(*Item);
  Waiting.erase(Item);
  shrink(Own, Found.m_Work);
  return Found;
}

std::optional<QueuedRequest> FairQueue::removeLastOfLargest() {
  const auto Largest = std::max_element(
      m_Lines.begin(), m_Lines.end(), [](const auto &Left, const auto &Right) {
        return Left.second.m_Work < Right.second.m_Work;
      });
  if (Largest == m_Lines.end() || Largest->second.m_Waiting.empty())
    return std::nullopt;
  QueuedRequest Last = std::move(Largest->second.m_Waiting.back());
  Largest->second.m_Waiting.pop_back();
  shrink(Largest, Last.m_Work);
  return Last;
}

double FairQueue::workOf(const std::string &Customer) const {
  const auto Own = m_Lines.find(Customer);
  return Own == m_Lines.end() ? 0 : Own->second.m_Work;
}

double FairQueue::largestWork() const {
  double Most = 0;
  for (const auto &[Name, Item] : m_Lines)
    Most = std::max(Most, Item.m_Work);
  return Most;
}

double FairQueue::workUntilServed(const std::string &Customer,
                                  double Work) const {
  const double Mine = Work + workOf(Customer);
  double Sum = Mine;
  for (const auto &[Name, Item] : m_Lines)
    if (Name != Customer)
      Sum += std::min(Item.m_Work, Mine);
  return Sum;
}

std::vector<QueuedRequest> FairQueue::removeIf(
    const std::function<bool(const QueuedRequest &, double)> &Drop) {
  ShareCurve Curve;
  for (const auto &[Name, Item] : m_Lines)
    Curve.add(Item.m_Work);
  Curve.finish();
  std::vector<QueuedRequest> Dropped;
  for (const auto &[Name, Item] : m_Lines) {
    double Mine = 0;
    for (const QueuedRequest &Each : Item.m_Waiting) {
      const double Through = Curve.servedInAll(Mine + Each.m_Work);
      if (Drop(Each, Through))
        Dropped.push_back(Each);
      else
        Mine += Each.m_Work;
    }
  }
  for (const QueuedRequest &Each : Dropped)
    remove(Each.m_Request, Each.m_Customer);
  return Dropped;
}

} // namespace corneldeck::admission
