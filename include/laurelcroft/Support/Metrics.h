//===-- Support/Metrics.h - counters, gauges and histograms -----*- C++ -*-===//
//
// The metrics of one process, exported in the Prometheus text format.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_METRICS_H
#define LAURELCROFT_SUPPORT_METRICS_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Histogram of durations with logarithmic bins from 10 microseconds to 1000 seconds.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;

    void record(std::chrono::nanoseconds value);

    /// \param share the quantile to estimate, in [0, 1].
    /// \returns the upper edge of the bin that contains the quantile; 0 for an empty histogram.
    std::chrono::nanoseconds quantile(double share) const;
    std::uint64_t count() const;
    std::chrono::nanoseconds sum() const;
    void merge(const latency_histogram &other);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// All metrics of a process. Thread-safe.
class metric_registry
{
public:
    metric_registry();
    ~metric_registry();

    /// Adds \p amount to a counter.
    /// \param series metric name with its labels, such as `requests_total{code="200"}`.
    void add(std::string_view series, std::uint64_t amount = 1);

    /// Sets a gauge to \p value.
    void set(std::string_view series, double value);

    /// Records \p value in the histogram \p name.
    void record(std::string_view name, std::chrono::nanoseconds value);

    /// \returns all metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// \returns the resident set size of this process in bytes.
std::uint64_t residentBytes();

} // namespace laurelcroft

#endif
