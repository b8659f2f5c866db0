#ifndef CORNELDECK_METRICS_REGISTRY_H
#define CORNELDECK_METRICS_REGISTRY_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::metrics {

/// The labels of one time series, such as {{"class", "interactive"}}.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// A monotonically increasing counter. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Count = 1) {
    m_Value.fetch_add(Count, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const {
    return m_Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> m_Value{0};
};

/// A value that can go up and down. Thread-safe.
class Gauge {
public:
  void set(double Value) { m_Value.store(Value, std::memory_order_relaxed); }
  [[nodiscard]] double value() const {
    return m_Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<double> m_Value{0};
};

/// A histogram of values. Thread-safe.
class Histogram {
public:
  /// \param Bounds the upper bounds of the buckets, ascending, at least one.
  /// Values above the last bound are counted in an additional bucket.
  explicit Histogram(const std::vector<double> &Bounds);
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  /// Adds a value. Ignores infinities and NaN.
  void record(double Value);

  /// A bucket: its upper bound and the number of values up to that bound.
  struct Bucket {
    double m_Bound = 0;
    std::uint64_t m_Count = 0;
  };
  /// \returns the buckets with cumulative counts; the last bound is infinite.
  [[nodiscard]] std::vector<Bucket> buckets() const;
  [[nodiscard]] double sum() const;
  /// \returns the upper bound of the bucket that contains the given quantile; 0
  /// if there are no values.
  /// \param Quantile between 0 and 1, such as 0.99.
  [[nodiscard]] double quantile(double Quantile) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// \returns the bucket bounds for latencies in milliseconds, from 0.1 ms to 60
/// s.
const std::vector<double> &latencyBounds();

/// All metrics of one process, exported in the Prometheus text format.
///
/// A series is created at its first use and lives as long as the registry, so
/// the returned references stay valid. Label values must come from a bounded
/// set.
class Registry {
public:
  Registry();
  ~Registry();
  Registry(const Registry &) = delete;
  Registry &operator=(const Registry &) = delete;

  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &SeriesLabels = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &SeriesLabels = {});
  Histogram &histogram(const std::string &Name, const std::string &Help,
                       const std::vector<double> &Bounds,
                       const Labels &SeriesLabels = {});
  /// Adds a gauge whose value \p Read returns at each scrape.
  void gauge(const std::string &Name, const std::string &Help,
             std::function<double()> Read);

  /// \returns all series in the Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string expose() const;

private:
  struct Family;
  Family &family(const std::string &Name, const std::string &Help,
                 const char *Type);

  mutable std::mutex m_Mutex;
  std::map<std::string, std::unique_ptr<Family>> m_Families;
};

} // namespace corneldeck::metrics

#endif
