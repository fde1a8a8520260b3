#include "transit_metrics_base.h"

#include "table/transit_names.h"

#include <cstdio>

namespace hawthorncroft {

namespace {

    constexpr unsigned bucketCount = 24; ///< Each upper bound is about 78 % above the lower one.
    constexpr double lowestBucketUs = 10;
    constexpr double highestBucketUs = 10e6;
    constexpr std::string_view prefix = "hawthorncroft_";

    void appendLine(std::string& text, std::string_view name, std::string_view labels, std::int64_t value)
    {
        text.append(prefix).append(name).append(labels).append(" ").append(std::to_string(value)).append("\n");
    }

}

TransitMetrics::TransitMetrics()
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(TransitDistribution::End); ++i)
        m_histograms.emplace_back(std::tuple(Axis(bucketCount, lowestBucketUs, highestBucketUs)));
}

void TransitMetrics::record(TransitDistribution distribution, Duration time)
{
    auto index = static_cast<std::size_t>(distribution);
    m_histograms[index](static_cast<double>(time.us));
    m_sums[index] += static_cast<std::uint64_t>(std::max<std::int64_t>(time.us, 0));
}

std::string TransitMetrics::text(const std::vector<TransitGauge>& gauges) const
{
    std::string text;
    for (std::size_t i = 0; i < m_counters.size(); ++i)
        appendLine(text, std::string(nameOf(static_cast<TransitCounter>(i))) + "_total", "",
            static_cast<std::int64_t>(m_counters[i]));
    for (std::size_t kind = 0; kind < m_sent.size(); ++kind) {
        for (bool isInSameDomain : { false, true }) {
            std::string labels = "{kind=\"" + std::string(messageKindNames[kind]) + "\",way=\""
                + (isInSameDomain ? "near" : "far") + "\"}";
            const Sent& sent = m_sent[kind][isInSameDomain];
            appendLine(text, "sent_messages_total", labels, static_cast<std::int64_t>(sent.messages));
            appendLine(text, "sent_bytes_total", labels, static_cast<std::int64_t>(sent.bytes));
        }
    }
    for (const auto& gauge : gauges)
        appendLine(text, gauge.name, "", gauge.value);
    for (std::size_t i = 0; i < m_histograms.size(); ++i) {
        std::string name(nameOf(static_cast<TransitDistribution>(i)));
        const auto& histogram = m_histograms[i];
        const auto& axis = histogram.axis();
        auto total = static_cast<std::int64_t>(histogram.at(-1));
        for (int bin = 0; bin < axis.size(); ++bin) {
            total += static_cast<std::int64_t>(histogram.at(bin));
            std::array<char, 48> label {};
            std::snprintf(label.data(), label.size(), "{le=\"%.0f\"}", axis.bin(bin).upper());
            appendLine(text, name + "_bucket", label.data(), total);
        }
        total += static_cast<std::int64_t>(histogram.at(axis.size()));
        appendLine(text, name + "_bucket", "{le=\"+Inf\"}", total);
        appendLine(text, name + "_sum", "", static_cast<std::int64_t>(m_sums[i]));
        appendLine(text, name + "_count", "", total);
    }
    return text;
}

} // namespace hawthorncroft
