/**
 * @file metrics_base.h
 * Counters and histograms of one thread, and their way to the control thread. Metrics of several threads or processes
 * are merged by addition.
 */
#pragma once

#include "metrics_type.h"

#include <array>
#include <boost/histogram.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Counters and histograms. A plain value, owned by one thread. */
class Metrics {
public:
    Metrics();

    /** Adds to a counter. */
    void add(Counter counter, std::uint64_t amount = 1) { m_counters[static_cast<std::size_t>(counter)] += amount; }

    /** Records a value of a distribution in its unit. */
    void record(Distribution distribution, double value)
    {
        m_histograms[static_cast<std::size_t>(distribution)](value);
    }

    /** Adds the counts of other metrics. */
    void merge(const Metrics& other);

    std::uint64_t count(Counter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

    /** @return Number of recorded values. */
    std::uint64_t count(Distribution distribution) const;

    /**
     * Estimates a quantile.
     * @param distribution The distribution.
     * @param share From 0 to 1, such as 0.99.
     * @return Upper end of the bin that holds the quantile, in the distribution's unit; the end of the axis for values
     * above it, and zero when nothing is recorded.
     */
    double quantile(Distribution distribution, double share) const;

    /** @return One line per counter, "NAME VALUE", and per distribution, "NAME count=N p50=X p90=X p99=X p999=X". */
    std::string text() const;

    /**
     * Formats everything, for another process to merge.
     * @return JSON: {"counters": {NAME: N}, "histograms": {NAME: {"count", "p50", "p90", "p99", "p999", "bins":
     * [[INDEX, N]]}}}. Bins without values are left out; index -1 holds the values below the axis.
     */
    std::string json() const;

    /**
     * Reads what `json` wrote. Counters and histograms that this version does not know are ignored.
     * @param text The JSON.
     * @param[out] metrics Replaced on success.
     * @return Whether the text is valid.
     */
    static bool parse(const std::string& text, Metrics& metrics);

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    static Histogram makeHistogram(Distribution distribution);
    const Histogram& histogram(Distribution distribution) const;

    std::array<std::uint64_t, static_cast<std::size_t>(Counter::End)> m_counters {};
    std::vector<Histogram> m_histograms; ///< By distribution.
};

/** Bounded ring from the thread that owns metrics to the control thread. Neither side waits for the other. */
class MetricsChannel {
public:
    /**
     * Publishes a copy; called by the owning thread only.
     * @param metrics The metrics.
     * @return Whether there was room; when there was none, a later copy will contain the same counts.
     */
    bool publish(const Metrics& metrics);

    /**
     * Takes the newest copy; called by the reading thread only.
     * @return The newest copy published so far; empty metrics before the first.
     */
    const Metrics& latest();

private:
    using Snapshot = std::shared_ptr<const Metrics>;

    boost::lockfree::spsc_queue<Snapshot, boost::lockfree::capacity<4>> m_ring;
    Snapshot m_latest { std::make_shared<const Metrics>() }; ///< Belongs to the reading thread.
};

} // namespace hawthorncroft
