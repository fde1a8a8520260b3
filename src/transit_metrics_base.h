/**
 * @file transit_metrics_base.h
 * Counters and latency histograms of a process that carries transparent flows.
 */
#pragma once

#include "transit_effect_type.h"

#include <array>
#include <boost/histogram.hpp>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Counters and histograms, printed in the text format that common collectors read. Used by one thread. */
class TransitMetrics {
public:
    TransitMetrics();

    void add(TransitCounter counter, std::uint64_t amount = 1)
    {
        m_counters[static_cast<std::size_t>(counter)] += amount;
    }

    std::uint64_t count(TransitCounter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

    /** Records a time in microseconds. */
    void record(TransitDistribution distribution, Duration time);

    /** Counts a message to another process. @param kind Index of its alternative in MessageBody. */
    void countSent(std::size_t kind, bool isInSameDomain, std::size_t bytes)
    {
        Sent& sent = m_sent[kind][isInSameDomain];
        ++sent.messages;
        sent.bytes += bytes;
    }

    /** A value that is read when the metrics are printed. */
    struct Gauge {
        std::string_view name;
        std::int64_t value {};
    };

    /** @return One line for each counter, gauge and bucket. */
    std::string text(const std::vector<Gauge>& gauges) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    std::array<std::uint64_t, static_cast<std::size_t>(TransitCounter::End)> m_counters {};
    std::array<std::uint64_t, static_cast<std::size_t>(TransitDistribution::End)> m_sums {}; ///< Microseconds.
    struct Sent {
        std::uint64_t messages {};
        std::uint64_t bytes {};
    };
    /** By kind, then within the failure domain (1) or beyond it (0). */
    std::array<std::array<Sent, 2>, std::variant_size_v<MessageBody>> m_sent {};
    std::vector<Histogram> m_histograms; ///< By distribution.
};

} // namespace hawthorncroft
