#include "ctl_fetch.h"

#include "metrics_base.h"

#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* metricsUsage = "Usage: hawthorncroftctl metrics --settings FILE [--at ENDPOINT...] [--json]\n"
                                         "Prints the counters and distributions, summed over all processes.\n"
                                         "Exits with status 1 if a process does not answer.\n"
                                         "Processes for the users' platform are not queried: see their metrics pages.";

    std::string parseMetrics(std::string_view text, Metrics& metrics)
    {
        return Metrics::parse(std::string(text), metrics) ? "" : "no valid metrics";
    }

}

int runMetrics(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    addFetchOptions(known, 3);
    options::variables_map values;
    FetchOptions fetchOptions;
    int status = parseFetchArguments(arguments, known, "argument", metricsUsage, streams, values, fetchOptions);
    if (status >= 0)
        return status;
    auto reports = fetchReports<Metrics>(fetchOptions, "/metrics", streams.err, parseMetrics);
    Metrics sum;
    for (const auto& [from, metrics] : reports)
        sum.merge(metrics);
    streams.out << (values.count("json") ? sum.json() + "\n" : sum.text());
    return reports.size() == fetchOptions.processes.size() ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
