/**
 * @file transit_metrics_base.h
 * Counters and latency histograms of a process that carries transparent flows.
 */
#pragma once

#include "transit_effect_type.h"
#include "transit_gauge_type.h"

#include <array>
#include <boost/histogram.hpp>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Counters and histograms, printed in the text format of Prometheus. Not thread-safe. */
class TransitMetrics {
public:
    TransitMetrics();

    void add(TransitCounter counter, std::uint64_t amount = 1)
    {
        m_counters[static_cast<std::size_t>(counter)] += amount;
    }

    std::uint64_t count(TransitCounter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

    /** Adds a time to a histogram. */
    void record(TransitDistribution distribution, Duration time);

    /**
     * Counts a datagram sent to another process.
     * @param kind Kind of its message: the index in MessageBody.
     * @param isInSameDomain Whether the receiver is in the sender's failure domain.
     */
    void countSent(std::size_t kind, bool isInSameDomain, std::size_t bytes)
    {
        Sent& sent = m_sent[kind][isInSameDomain];
        ++sent.messages;
        sent.bytes += bytes;
    }

    /** @return One line for each counter, gauge, and histogram bucket, sum and count. */
    std::string text(const std::vector<TransitGauge>& gauges) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    std::array<std::uint64_t, static_cast<std::size_t>(TransitCounter::End)> m_counters {};
    std::array<std::uint64_t, static_cast<std::size_t>(TransitDistribution::End)> m_sums {}; ///< Microseconds.
    struct Sent {
        std::uint64_t messages {};
        std::uint64_t bytes {};
    };
    /** By kind of message, then receiver in another failure domain (0) or the same one (1). */
    std::array<std::array<Sent, 2>, std::variant_size_v<MessageBody>> m_sent {};
    std::vector<Histogram> m_histograms; ///< By distribution.
};

} // namespace hawthorncroft
