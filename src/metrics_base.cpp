#include "metrics_base.h"
#include "name_table_type.h"

#include "table/metrics_names.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <utility>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::array<std::pair<std::string_view, double>, 4> printedQuantiles { {
        { "p50", 0.5 },
        { "p90", 0.9 },
        { "p99", 0.99 },
        { "p999", 0.999 },
    } };

    std::string format(double value)
    {
        std::array<char, 32> buffer {};
        std::snprintf(buffer.data(), buffer.size(), "%.4g", value);
        return buffer.data();
    }

    /** Returns the bin with this index on the axis. The underflow bin, index -1, is stored first. */
    template <typename Histogram> auto& binOf(Histogram& histogram, int index)
    {
        return *(histogram.begin() + index + 1);
    }

    /** Reads an array of pairs [INDEX, N] into a histogram. @return Whether all entries are valid. */
    template <typename Histogram> bool readBins(const json::value& bins, Histogram& target)
    {
        const json::array* entries = bins.if_array();
        if (!entries)
            return false;
        for (const json::value& entry : *entries) {
            const json::array* pair = entry.if_array();
            if (!pair || pair->size() != 2)
                return false;
            boost::system::error_code indexError;
            boost::system::error_code countError;
            int index = (*pair)[0].to_number<int>(indexError);
            auto count = (*pair)[1].to_number<std::uint64_t>(countError);
            if (indexError || countError || index < -1 || index > target.axis().size())
                return false;
            binOf(target, index) = count;
        }
        return true;
    }

}

Metrics::Metrics()
{
    for (std::size_t i = 0; i < distributionAxes.size(); ++i)
        m_histograms.push_back(makeHistogram(static_cast<Distribution>(i)));
}

Metrics::Histogram Metrics::makeHistogram(Distribution distribution)
{
    const DistributionAxis& axis = distributionAxes[static_cast<std::size_t>(distribution)];
    return Histogram(Axis(axis.bins, axis.lower, axis.upper));
}

const Metrics::Histogram& Metrics::histogram(Distribution distribution) const
{
    return m_histograms[static_cast<std::size_t>(distribution)];
}

void Metrics::merge(const Metrics& other)
{
    for (std::size_t i = 0; i < m_counters.size(); ++i)
        m_counters[i] += other.m_counters[i];
    for (std::size_t i = 0; i < m_histograms.size(); ++i) {
        // The axes are equal. GCC 12 reports uninitialised reads in operator+= of histograms with sanitizers enabled,
        // so the bins are added one by one.
        auto& bins = m_histograms[i];
        std::transform(bins.begin(), bins.end(), other.m_histograms[i].begin(), bins.begin(), std::plus<>());
    }
}

std::uint64_t Metrics::count(Distribution distribution) const
{
    std::uint64_t sum = 0;
    for (std::uint64_t bin : histogram(distribution))
        sum += bin;
    return sum;
}

double Metrics::quantile(Distribution distribution, double share) const
{
    std::uint64_t total = count(distribution);
    if (!total)
        return 0;
    auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total)));
    const auto& axis = histogram(distribution).axis();
    std::uint64_t sum = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        sum += binOf(histogram(distribution), bin);
        if (sum >= wanted)
            return axis.value(bin + 1);
    }
    return axis.value(axis.size());
}

std::string Metrics::text() const
{
    std::string result;
    for (std::size_t i = 0; i < m_counters.size(); ++i)
        result.append(counterNames[i]).append(" ").append(std::to_string(m_counters[i])).append("\n");
    for (std::size_t i = 0; i < distributionAxes.size(); ++i) {
        auto distribution = static_cast<Distribution>(i);
        result.append(distributionAxes[i].name).append(" count=").append(std::to_string(count(distribution)));
        for (const auto& [name, share] : printedQuantiles)
            result.append(" ").append(name).append("=").append(format(quantile(distribution, share)));
        result.append("\n");
    }
    return result;
}

std::string Metrics::json() const
{
    json::object counters;
    for (std::size_t i = 0; i < m_counters.size(); ++i)
        counters[counterNames[i]] = m_counters[i];
    json::object histograms;
    for (std::size_t i = 0; i < distributionAxes.size(); ++i) {
        auto distribution = static_cast<Distribution>(i);
        json::array bins;
        for (int bin = -1; bin <= m_histograms[i].axis().size(); ++bin) {
            if (binOf(m_histograms[i], bin))
                bins.push_back(json::array { bin, binOf(m_histograms[i], bin) });
        }
        json::object entry { { "count", count(distribution) }, { "bins", std::move(bins) } };
        for (const auto& [name, share] : printedQuantiles)
            entry[name] = quantile(distribution, share);
        histograms[distributionAxes[i].name] = std::move(entry);
    }
    return json::serialize(json::object { { "counters", counters }, { "histograms", histograms } });
}

bool Metrics::parse(const std::string& text, Metrics& metrics)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    const json::object* root = error ? nullptr : value.if_object();
    const json::value* counters = root ? root->if_contains("counters") : nullptr;
    const json::value* histograms = root ? root->if_contains("histograms") : nullptr;
    if (!counters || !counters->is_object() || !histograms || !histograms->is_object())
        return false;
    Metrics read;
    for (std::size_t i = 0; i < counterNames.size(); ++i) {
        const json::value* counter = counters->as_object().if_contains(counterNames[i]);
        if (counter)
            read.m_counters[i] = counter->to_number<std::uint64_t>(error);
        if (error)
            return false;
    }
    for (std::size_t i = 0; i < distributionAxes.size(); ++i) {
        const json::value* entry = histograms->as_object().if_contains(distributionAxes[i].name);
        if (!entry)
            continue;
        const json::value* bins = entry->is_object() ? entry->as_object().if_contains("bins") : nullptr;
        if (!bins || !readBins(*bins, read.m_histograms[i]))
            return false;
    }
    metrics = std::move(read);
    return true;
}

bool MetricsChannel::publish(const Metrics& metrics) { return m_ring.push(std::make_shared<const Metrics>(metrics)); }

const Metrics& MetricsChannel::latest()
{
    Snapshot next;
    while (m_ring.pop(next))
        m_latest = std::move(next);
    return *m_latest;
}

std::string_view nameOf(Counter counter) { return lookUpName(counterNames, counter); }

std::string_view nameOf(Distribution distribution)
{
    return distribution < Distribution::End ? distributionAxes[static_cast<std::size_t>(distribution)].name : "invalid";
}

} // namespace hawthorncroft
