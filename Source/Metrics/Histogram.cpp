#include "Metrics/Registry.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>

namespace corneldeck::metrics {

namespace bh = boost::histogram;

namespace {

using Axis =
    bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Storage = bh::dense_storage<Cell>;
using Counts = bh::histogram<std::tuple<Axis>, Storage>;

/// \returns the bin edges of the axis. A bin includes its lower edge, but a
/// Prometheus bucket includes its upper bound, so each edge is the next
/// representable number above the bound.
std::vector<double> edges(const std::vector<double> &Bounds) {
  std::vector<double> Edges{std::numeric_limits<double>::lowest()};
  for (const double Bound : Bounds)
    Edges.push_back(
        std::nextafter(Bound, std::numeric_limits<double>::infinity()));
  return Edges;
}

} // namespace

struct Histogram::Impl {
  explicit Impl(const std::vector<double> &Bounds)
      : m_Bounds(Bounds), m_Counts(Axis(edges(Bounds))) {}

  const std::vector<double> m_Bounds;
  Counts m_Counts;
  std::atomic<double> m_Sum{0};
};

Histogram::Histogram(const std::vector<double> &Bounds)
    : m_Impl(std::make_unique<Impl>(Bounds)) {}

Histogram::~Histogram() = default;

void Histogram::record(double Value) {
  if (!std::isfinite(Value))
    return;
  m_Impl->m_Counts(Value);
  m_Impl->m_Sum.fetch_add(Value, std::memory_order_relaxed);
}

std::vector<Histogram::Bucket> Histogram::buckets() const {
  std::vector<Bucket> Buckets;
  std::uint64_t Total = 0;
  const std::size_t Count = m_Impl->m_Bounds.size() + 1;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Total += m_Impl->m_Counts.at(static_cast<int>(Index)).value();
    const bool Last = Index + 1 == Count;
    Buckets.push_back({Last ? std::numeric_limits<double>::infinity()
                            : m_Impl->m_Bounds[Index],
                       Total});
  }
  return Buckets;
}

double Histogram::sum() const {
  return m_Impl->m_Sum.load(std::memory_order_relaxed);
}

double Histogram::quantile(double Quantile) const {
  const std::vector<Bucket> Buckets = buckets();
  const std::uint64_t Total = Buckets.back().m_Count;
  if (Total == 0)
    return 0;
  const double Rank = Quantile * static_cast<double>(Total);
  for (const Bucket &Item : Buckets)
    if (static_cast<double>(Item.m_Count) >= Rank)
      return Item.m_Bound;
  return Buckets.back().m_Bound;
}

const std::vector<double> &latencyBounds() {
  static const std::vector<double> Bounds{
      0.1, 0.2, 0.3,  0.5,  0.7,  1,     1.5,   2,    3,   5,
      7,   10,  15,   20,   30,   50,    70,    100,  150, 200,
      300, 500, 1000, 2000, 5000, 10000, 30000, 60000};
  return Bounds;
}

} // namespace corneldeck::metrics
