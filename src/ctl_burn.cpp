#include "ctl_fetch.h"

#include "burn_func.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* burnUsage = "Usage: hawthorncroftctl burn (--settings FILE [--at ENDPOINT...] | FILE...) "
                                      "[--days N] [--json] [--html FILE]\n"
                                      "Shows how much of each service's error budget is spent, how fast, and by what.\n"
                                      "A FILE contains a saved response of a process to GET /burn.";

    /** Reads the counts of saved responses. Prints the first file that is unreadable or invalid and returns false. */
    bool readFiles(const std::vector<std::string>& files, std::ostream& err, std::vector<BurnCounts>& all)
    {
        for (const auto& name : files) {
            std::ifstream file(name, std::ios::binary);
            std::string text(std::istreambuf_iterator<char>(file), {});
            std::string error = file ? parseBurnCounts(text, all.emplace_back()) : "cannot be read";
            if (error.empty())
                continue;
            err << "hawthorncroftctl: " << name << ": " << error << '\n';
            return false;
        }
        return true;
    }

    bool writePage(const std::string& name, const BurnReport& report, std::ostream& err)
    {
        std::ofstream file(name, std::ios::binary);
        file << toHtml(report);
        file.close();
        if (!file)
            err << "hawthorncroftctl: " << name << " cannot be written\n";
        return static_cast<bool>(file);
    }

    bool isAnyObjectiveMissed(const BurnReport& report)
    {
        for (const auto& service : report.services) {
            for (const auto& objective : service.objectives) {
                if (objective.spent > 1)
                    return true;
            }
        }
        return false;
    }

}

int runBurn(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    addFetchOptions(known, 10);
    known.add_options()("days", options::value<std::uint64_t>()->default_value(30), "longest period in days")(
        "html", options::value<std::string>(), "write a page to this file");
    options::variables_map values;
    int status = parseArguments(arguments, known, "file", burnUsage, streams, values);
    if (status >= 0)
        return status;
    const auto& files = values["file"].as<std::vector<std::string>>();
    std::vector<BurnCounts> all;
    if (!readFiles(files, streams.err, all))
        return ctlRefused;
    bool allAnswered = true;
    FetchOptions fetchOptions;
    if (values.count("settings") || files.empty()) {
        if (!readFetchOptions(values, streams.err, fetchOptions))
            return ctlRefused;
        auto fetched = fetchReports<BurnCounts>(fetchOptions, "/burn", streams.err, parseBurnCounts);
        allAnswered = fetched.size() == fetchOptions.processes.size();
        for (auto& [from, counts] : fetched)
            all.push_back(std::move(counts));
    }
    BurnReport report = computeBurn(merged(all), values["days"].as<std::uint64_t>() * 1440);
    if (values.count("html") && !writePage(values["html"].as<std::string>(), report, streams.err))
        return ctlRefused;
    streams.out << (values.count("json") ? toJson(report) + '\n' : toText(report));
    return allAnswered && !isAnyObjectiveMissed(report) ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
