//===-- Metrics.cpp - counters and latency histograms -----------------------===//
//
// A decade has 48 histogram bins, each about 5% wide, so that an estimated quantile is at most 5%
// too high.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Metrics.h"

#include <boost/histogram.hpp>

#include <unistd.h>

#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

namespace bh = boost::histogram;
using namespace laurelcroft;

namespace {

constexpr double minSeconds = 1e-5;
constexpr double maxSeconds = 1e3;
constexpr unsigned binsPerDecade = 48;
constexpr unsigned decades = 8;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = decltype(bh::make_histogram(log_axis()));

} // namespace

struct latency_histogram::state
{
    histogram_type bins
            = bh::make_histogram(log_axis(binsPerDecade * decades, minSeconds, maxSeconds));
    std::uint64_t count = 0;
    std::chrono::nanoseconds sum{0};
};

latency_histogram::latency_histogram()
    : m_state(std::make_unique<state>())
{
}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::record(std::chrono::nanoseconds value)
{
    m_state->bins(std::chrono::duration<double>(value).count());
    m_state->count += 1;
    m_state->sum += value;
}

std::chrono::nanoseconds latency_histogram::quantile(double share) const
{
    if (m_state->count == 0)
        return std::chrono::nanoseconds(0);
    const double rank = share * static_cast<double>(m_state->count);
    double seen = 0;
    for (auto &&bin : bh::indexed(m_state->bins, bh::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (seen < rank || seen == 0)
            continue;
        const double edge = std::min(bin.bin(0).upper(), maxSeconds);
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>(edge));
    }
    return std::chrono::seconds(static_cast<std::int64_t>(maxSeconds));
}

std::uint64_t latency_histogram::count() const
{
    return m_state->count;
}

std::chrono::nanoseconds latency_histogram::sum() const
{
    return m_state->sum;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_state->bins += other.m_state->bins;
    m_state->count += other.m_state->count;
    m_state->sum += other.m_state->sum;
}

struct metric_registry::state
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, latency_histogram, std::less<>> histograms;
};

metric_registry::metric_registry()
    : m_state(std::make_unique<state>())
{
}
metric_registry::~metric_registry() = default;

void metric_registry::add(std::string_view series, std::uint64_t amount)
{
    const std::lock_guard lock(m_state->mutex);
    const auto it = m_state->counters.find(series);
    if (it != m_state->counters.end())
        it->second += amount;
    else
        m_state->counters.emplace(series, amount);
}

void metric_registry::set(std::string_view series, double value)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->gauges.insert_or_assign(std::string(series), value);
}

void metric_registry::record(std::string_view name, std::chrono::nanoseconds value)
{
    const std::lock_guard lock(m_state->mutex);
    const auto it = m_state->histograms.find(name);
    if (it != m_state->histograms.end())
        it->second.record(value);
    else
        m_state->histograms[std::string(name)].record(value);
}

std::string metric_registry::prometheusText() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream out;
    for (const auto &[series, value] : m_state->counters)
        out << "laurelcroft_" << series << " " << value << "\n";
    for (const auto &[series, value] : m_state->gauges)
        out << "laurelcroft_" << series << " " << value << "\n";
    for (const auto &[name, histogram] : m_state->histograms) {
        for (const double share : {0.5, 0.95, 0.99}) {
            const std::chrono::duration<double> value = histogram.quantile(share);
            out << "laurelcroft_" << name << "{quantile=\"" << share << "\"} " << value.count()
                << "\n";
        }
        const std::chrono::duration<double> sum = histogram.sum();
        out << "laurelcroft_" << name << "_sum " << sum.count() << "\n";
        out << "laurelcroft_" << name << "_count " << histogram.count() << "\n";
    }
    return out.str();
}

std::uint64_t laurelcroft::residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}
