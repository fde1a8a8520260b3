/**
 * @file metrics_base.h
 * Counters and histograms of one thread, and the channel to the thread that formats them. Metrics of several threads or
 * processes are merged by addition.
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

/** Counters and histograms. A copyable value without locks, owned by one thread. */
class Metrics {
public:
    Metrics();

    /** Increases a counter. */
    void add(Counter counter, std::uint64_t amount = 1) { m_counters[static_cast<std::size_t>(counter)] += amount; }

    /** Records a value, given in the unit of the distribution. */
    void record(Distribution distribution, double value)
    {
        m_histograms[static_cast<std::size_t>(distribution)](value);
    }

    /** Adds the counters and histograms of other metrics. */
    void merge(const Metrics& other);

    std::uint64_t count(Counter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

    /** @return Number of recorded values. */
    std::uint64_t count(Distribution distribution) const;

    /**
     * Estimates a quantile.
     * @param distribution The distribution.
     * @param share Between 0 and 1, such as 0.99 for the 99th percentile.
     * @return Upper bound of the bin that contains the quantile, in the distribution's unit; the end of the axis for
     * values above it, and zero if nothing is recorded.
     */
    double quantile(Distribution distribution, double share) const;

    /** @return One line per counter, "NAME VALUE", and per distribution, "NAME count=N p50=X p90=X p99=X p999=X". */
    std::string text() const;

    /**
     * Serializes everything so that another process can merge it.
     * @return JSON: {"counters": {NAME: N}, "histograms": {NAME: {"count", "p50", "p90", "p99", "p999", "bins":
     * [[INDEX, N]]}}}. Empty bins are left out; index -1 counts the values below the axis.
     */
    std::string json() const;

    /**
     * Parses the output of `json`. Counters and histograms unknown to this version are ignored.
     * @param text JSON text.
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

/** Bounded ring from the thread that owns metrics to the thread that reads them. Neither thread blocks. */
class MetricsChannel {
public:
    /**
     * Publishes a copy; called by the owning thread only.
     * @param metrics The metrics.
     * @return Whether the ring had room. If not, the copy is dropped; a later copy contains the same counts.
     */
    bool publish(const Metrics& metrics);

    /**
     * Receives the newest copy; called by the reading thread only.
     * @return The newest copy published so far; empty metrics before the first publication.
     */
    const Metrics& latest();

private:
    using Snapshot = std::shared_ptr<const Metrics>;

    boost::lockfree::spsc_queue<Snapshot, boost::lockfree::capacity<4>> m_ring;
    Snapshot m_latest { std::make_shared<const Metrics>() }; ///< Used by the reading thread only.
};

} // namespace hawthorncroft
