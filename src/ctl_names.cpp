#include "ctl_fetch.h"

#include "report_type.h"

#include <algorithm>
#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* namesUsage
        = "Usage: hawthorncroftctl names --settings FILE [--at ENDPOINT...] [--limit N] [--emit | --json]\n"
          "Lists names that callers use and that resolve to no service, with the closest known names.\n"
          "--emit prints corrected spellings to review and add to the documents of the services.";

    constexpr std::uint64_t maxEmitDistance = 2; ///< Edit distance above which a name is no typing mistake.

    using Names = std::vector<UnknownNameReport>;

    /** @return The unknown names of all reports with summed counts, most frequent first, at most limit. */
    Names merged(const std::vector<std::pair<Endpoint, NamesReport>>& reports, std::size_t limit)
    {
        std::map<std::string, UnknownNameReport> byName;
        for (const auto& [from, report] : reports) {
            for (const auto& name : report.names) {
                UnknownNameReport& sum = byName[name.name];
                sum.name = name.name;
                sum.count += name.count;
                sum.error += name.error;
                sum.lastSeen = std::max(sum.lastSeen, name.lastSeen);
                if (sum.similar.empty())
                    sum.similar = name.similar;
            }
        }
        Names names;
        for (auto& [name, sum] : byName)
            names.push_back(std::move(sum));
        std::stable_sort(names.begin(), names.end(),
            [](const UnknownNameReport& a, const UnknownNameReport& b) { return a.count > b.count; });
        names.resize(std::min(names.size(), limit));
        return names;
    }

    /** @return The closest known name, or null if it is too distant or another service has an equally close name. */
    const SimilarNameReport* unambiguousMatch(const UnknownNameReport& name)
    {
        if (name.similar.empty() || name.similar[0].distance > maxEmitDistance)
            return nullptr;
        const SimilarNameReport& closest = name.similar[0];
        bool isOnly = std::all_of(name.similar.begin(), name.similar.end(), [&](const SimilarNameReport& other) {
            return other.service == closest.service || other.distance > closest.distance;
        });
        return isOnly ? &closest : nullptr;
    }

    std::string listOf(const std::vector<std::string>& names)
    {
        std::string text = "[";
        for (const auto& name : names)
            text += (text.size() > 1 ? "," : "") + quoted(name);
        return text + "]";
    }

    void emit(std::ostream& out, const Names& names)
    {
        std::map<std::uint32_t, std::pair<std::string, std::vector<std::string>>> byService;
        std::vector<std::string> undecided;
        for (const auto& name : names) {
            const SimilarNameReport* match = unambiguousMatch(name);
            if (!match) {
                undecided.push_back(name.name);
                continue;
            }
            byService[match->service].first = match->serviceName;
            byService[match->service].second.push_back(name.name);
        }
        out << "{\"review\":[";
        bool isFirst = true;
        for (const auto& [id, entry] : byService) {
            out << (isFirst ? "" : ",") << "\n  {\"id\":" << id << ",\"name\":" << quoted(entry.first)
                << ",\"spellings\":" << listOf(entry.second) << '}';
            isFirst = false;
        }
        out << "],\n\"undecided\":" << listOf(undecided) << "}\n";
    }

    void printText(std::ostream& out, const Names& names)
    {
        for (const auto& name : names) {
            out << name.count;
            if (name.error)
                out << " (at most " << name.error << " too high)";
            out << "  " << name.name;
            for (const auto& similar : name.similar)
                out << "\n      " << similar.distance << (similar.distance == 1 ? " edit" : " edits") << " from "
                    << similar.name << " of service " << similar.service << ' ' << similar.serviceName;
            out << '\n';
        }
        if (names.empty())
            out << "No unknown names.\n";
    }

}

int runNames(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    addFetchOptions(known, 3);
    known.add_options()("limit", options::value<std::size_t>()->default_value(20), "names to list")(
        "emit", "print corrected spellings as JSON");
    options::variables_map values;
    FetchOptions fetchOptions;
    int status = parseFetchArguments(arguments, known, "argument", namesUsage, streams, values, fetchOptions);
    if (status >= 0)
        return status;
    auto reports = fetchReports<NamesReport>(fetchOptions, "/names", streams.err, parseReport);
    NamesReport sum;
    sum.names = merged(reports, values["limit"].as<std::size_t>());
    for (const auto& [from, report] : reports) {
        sum.total += report.total;
        sum.errorBound += report.errorBound;
        sum.since = std::max(sum.since, report.since);
    }
    if (values.count("emit"))
        emit(streams.out, sum.names);
    else if (values.count("json"))
        streams.out << toJson(sum) << '\n';
    else
        printText(streams.out, sum.names);
    return reports.size() == fetchOptions.processes.size() ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
