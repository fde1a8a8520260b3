#include "ctl_fetch.h"

#include "report_type.h"

#include <algorithm>
#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* explainUsage
        = "Usage: hawthorncroftctl explain NAME --settings FILE [--at ENDPOINT...] [--caller ID] [--flow ID] [--json]\n"
          "Shows the service of a name and, with --flow, the target that the next open of that flow would go to.\n"
          "With --log FILE (--request ID | --flow CALLER:PORT): shows the logged decisions about a transparent flow.";

    void printRank(std::ostream& out, std::size_t number, const RankReport& rank)
    {
        out << "    rank " << number << ": target " << rank.target << " on " << rank.vm << " in " << rank.failureDomain
            << " at " << rank.agent << ", " << rank.eligibility;
        if (rank.load)
            out << ", load " << *rank.load / 10 << " percent " << rank.loadAgeMs << " ms ago";
        out << (rank.chosen ? ", chosen.\n" : ".\n");
    }

    void printText(std::ostream& out, Endpoint from, const ExplainReport& report)
    {
        out << toString(from) << ": " << report.name;
        if (report.service)
            out << " leads to service " << report.service << ' ' << report.serviceName << " by its " << report.match;
        else
            out << " leads to no service";
        out << " under revision " << report.revision << ".\n";
        if (!report.serving)
            out << "    The process forwards nothing at present.\n";
        for (const auto& similar : report.similar)
            out << "    " << similar.distance << (similar.distance == 1 ? " edit" : " edits") << " from "
                << similar.name << " of service " << similar.service << ' ' << similar.serviceName << ".\n";
        for (std::size_t i = 0; i < report.ranks.size(); ++i)
            printRank(out, i + 1, report.ranks[i]);
    }

    std::string pathOf(const std::string& name, const options::variables_map& values)
    {
        std::string path = "/explain?name=" + encodeQueryValue(name);
        for (const char* option : { "caller", "flow" }) {
            if (values.count(option))
                path += "&" + std::string(option) + "=" + std::to_string(values[option].as<std::uint64_t>());
        }
        return path;
    }

}

int runExplain(const CtlArguments& arguments, CtlStreams streams)
{
    if (std::find(arguments.begin(), arguments.end(), "--log") != arguments.end())
        return runExplainLog(arguments, streams);
    options::options_description known("Options");
    addFetchOptions(known, 3);
    known.add_options()("caller", options::value<std::uint64_t>(), "number of the caller")(
        "flow", options::value<std::uint64_t>(), "number of the flow");
    options::variables_map values;
    FetchOptions fetchOptions;
    int status = parseFetchArguments(arguments, known, "name", explainUsage, streams, values, fetchOptions);
    if (status >= 0)
        return status;
    const auto& names = values["name"].as<std::vector<std::string>>();
    if (names.size() != 1) {
        streams.err << "hawthorncroftctl: explain needs one name\n";
        return ctlRefused;
    }
    auto reports = fetchReports<ExplainReport>(fetchOptions, pathOf(names[0], values), streams.err, parseReport);
    bool allResolved = reports.size() == fetchOptions.processes.size();
    if (values.count("json"))
        streams.out << '[';
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const auto& [from, report] = reports[i];
        allResolved = allResolved && report.service;
        if (values.count("json"))
            streams.out << (i ? ",\n" : "") << "{\"at\":" << quoted(toString(from))
                        << ",\"explanation\":" << toJson(report) << '}';
        else
            printText(streams.out, from, report);
    }
    if (values.count("json"))
        streams.out << "]\n";
    return allResolved ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
