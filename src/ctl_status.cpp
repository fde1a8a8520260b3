#include "ctl_fetch.h"

#include "report_type.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <ostream>
#include <thread>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* statusUsage
        = "Usage: hawthorncroftctl status --settings FILE [--at ENDPOINT...] [--json]\n"
          "Shows whether each process serves and which configuration it has.\n"
          "Processes for the users' platform are not queried: see their readiness and metrics pages.";

    constexpr const char* waitUsage
        = "Usage: hawthorncroftctl wait-in-force REVISION --settings FILE [--at ENDPOINT...] [--timeout SECONDS] "
          "[--json]\n"
          "Waits until the revision is in force at every process. Exits with status 1 if the timeout expires first.";

    constexpr auto pollInterval = std::chrono::milliseconds(100);

    using Statuses = std::vector<std::pair<Endpoint, StatusReport>>;

    void printStatus(std::ostream& out, Endpoint from, const StatusReport& status)
    {
        out << toString(from) << ' ' << status.role << " on " << status.vm << " in " << status.failureDomain << ": ";
        out << (status.serving ? "serving" : "not serving, " + status.reason) << ", revision " << status.revision;
        if (status.newestSeen > status.revision)
            out << " (a peer has " << status.newestSeen << ')';
        out << ", preset " << (status.preset.empty() ? "none" : status.preset);
        if (status.target)
            out << ", target " << status.target->id << ' ' << status.target->state << ' ' << status.target->running
                << " of " << status.target->limit;
        out << ".\n";
        for (const auto& fault : status.refused)
            out << "    refused: " << fault << '\n';
    }

    void printJson(std::ostream& out, const Statuses& statuses)
    {
        out << '[';
        for (std::size_t i = 0; i < statuses.size(); ++i)
            out << (i ? ",\n" : "") << "{\"at\":" << quoted(toString(statuses[i].first))
                << ",\"status\":" << toJson(statuses[i].second) << '}';
        out << "]\n";
    }

    bool allServe(const Statuses& statuses)
    {
        return std::all_of(statuses.begin(), statuses.end(), [](const auto& entry) { return entry.second.serving; });
    }

    /** @return One line for each process without the revision: the revision that it has, or why it did not answer. */
    std::vector<std::string> processesWithoutRevision(const FetchOptions& fetchOptions, std::uint64_t revision)
    {
        std::vector<std::string> late;
        for (const auto& fetched : fetchAll(fetchOptions, "/status")) {
            StatusReport status;
            std::string error = fetched.error.empty() ? parseReport(fetched.body, status) : fetched.error;
            if (!error.empty())
                late.push_back(toString(fetched.from) + " does not answer: " + error);
            else if (status.revision < revision)
                late.push_back(toString(fetched.from) + " has revision " + std::to_string(status.revision));
        }
        return late;
    }

    bool parseRevision(const options::variables_map& values, std::uint64_t& revision)
    {
        const auto& arguments = values["revision"].as<std::vector<std::string>>();
        if (arguments.size() != 1)
            return false;
        const std::string& text = arguments[0];
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
        return error == std::errc() && end == text.data() + text.size();
    }

}

int runStatus(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    addFetchOptions(known, 3);
    options::variables_map values;
    FetchOptions fetchOptions;
    int status = parseFetchArguments(arguments, known, "argument", statusUsage, streams, values, fetchOptions);
    if (status >= 0)
        return status;
    auto statuses = fetchReports<StatusReport>(fetchOptions, "/status", streams.err, parseReport);
    if (values.count("json")) {
        printJson(streams.out, statuses);
    } else {
        for (const auto& [from, report] : statuses)
            printStatus(streams.out, from, report);
    }
    bool allAnswered = statuses.size() == fetchOptions.processes.size();
    return allAnswered && allServe(statuses) ? ctlOk : ctlWarnings;
}

int runWaitInForce(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    addFetchOptions(known, 5);
    options::variables_map values;
    FetchOptions fetchOptions;
    int status = parseFetchArguments(arguments, known, "revision", waitUsage, streams, values, fetchOptions);
    if (status >= 0)
        return status;
    std::uint64_t revision = 0;
    if (!parseRevision(values, revision)) {
        streams.err << "hawthorncroftctl: wait-in-force needs one revision\n";
        return ctlRefused;
    }
    auto start = std::chrono::steady_clock::now();
    auto limit = std::chrono::microseconds(fetchOptions.timeout.us);
    fetchOptions.timeout = std::min(fetchOptions.timeout, seconds(1));
    auto late = processesWithoutRevision(fetchOptions, revision);
    while (!late.empty() && std::chrono::steady_clock::now() - start < limit) {
        std::this_thread::sleep_for(pollInterval);
        late = processesWithoutRevision(fetchOptions, revision);
    }
    auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    if (values.count("json")) {
        streams.out << "{\"inForce\":" << (late.empty() ? "true" : "false") << ",\"waitedMs\":" << waited.count()
                    << ",\"late\":[";
        for (std::size_t i = 0; i < late.size(); ++i)
            streams.out << (i ? "," : "") << quoted(late[i]);
        streams.out << "]}\n";
    } else {
        for (const auto& line : late)
            streams.out << line << ".\n";
        if (late.empty())
            streams.out << "Revision " << revision << " is in force at all " << fetchOptions.processes.size()
                        << " processes after " << waited.count() << " ms.\n";
    }
    return late.empty() ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
