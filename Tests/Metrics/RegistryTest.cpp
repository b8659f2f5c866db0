#include "Metrics/Registry.h"

#include <gtest/gtest.h>

namespace corneldeck::metrics {

namespace {

TEST(RegistryTest, ExposesAllKinds) {
  Registry Metrics;
  Metrics.counter("requests_total", "Requests.", {{"code", "0"}}).add(3);
  Metrics.counter("requests_total", "Requests.", {{"code", "a\"b"}}).add();
  Metrics.gauge("depth", "Depth.").set(1.5);
  Metrics.gauge("age", "Age.", [] { return 7.0; });
  Histogram &Latency = Metrics.histogram("latency_ms", "Latency.", {1, 10});
  for (const double Value : {-1.0, 1.0, 1.5, 10.0, 11.0})
    Latency.record(Value);
  EXPECT_EQ(Metrics.expose(), "# HELP age Age.\n"
                              "# TYPE age gauge\n"
                              "age 7\n"
                              "# HELP depth Depth.\n"
                              "# TYPE depth gauge\n"
                              "depth 1.5\n"
                              "# HELP latency_ms Latency.\n"
                              "# TYPE latency_ms histogram\n"
                              "latency_ms_bucket{le=\"1\"} 2\n"
                              "latency_ms_bucket{le=\"10\"} 4\n"
                              "latency_ms_bucket{le=\"+Inf\"} 5\n"
                              "latency_ms_sum 22.5\n"
                              "latency_ms_count 5\n"
                              "# HELP requests_total Requests.\n"
                              "# TYPE requests_total counter\n"
                              "requests_total{code=\"0\"} 3\n"
                              "requests_total{code=\"a\\\"b\"} 1\n");
}

TEST(RegistryTest, ReturnsSameSeriesForSameLabels) {
  Registry Metrics;
  Counter &First = Metrics.counter("a", "A.", {{"x", "1"}});
  EXPECT_EQ(&First, &Metrics.counter("a", "A.", {{"x", "1"}}));
  EXPECT_NE(&First, &Metrics.counter("a", "A.", {{"x", "2"}}));
}

TEST(RegistryTest, EstimatesQuantiles) {
  Histogram Latency(latencyBounds());
  EXPECT_EQ(Latency.quantile(0.5), 0);
  for (int Value = 1; Value <= 100; ++Value)
    Latency.record(Value);
  EXPECT_EQ(Latency.quantile(0.5), 50);
  EXPECT_EQ(Latency.quantile(0.99), 100);
}

} // namespace

} // namespace corneldeck::metrics
