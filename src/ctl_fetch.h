/**
 * @file ctl_fetch.h
 * Parallel requests to the control ports of several processes.
 */
#pragma once

#include "ctl_func.h"
#include "keyring_type.h"

#include <memory>

namespace hawthorncroft {

/** Response of one process. */
struct FetchResult {
    Endpoint from;
    std::string error; ///< Empty if a response with status 200 was received.
    std::string body;
};

/** Adds the options of commands that query processes: --settings, --key, --at and --timeout. */
void addFetchOptions(boost::program_options::options_description& known, double defaultSeconds);

/** Processes to query and how to reach them, from the command line. */
struct FetchOptions {
    std::vector<Endpoint> processes; ///< Control ports.
    Duration timeout; ///< Time limit for each response.
    std::shared_ptr<Keyring> keyring; ///< Signs requests and authenticates responses.
};

/**
 * Reads the options that addFetchOptions added. Prints an error if they are invalid.
 * @param values Parsed arguments.
 * @param err Receives the errors.
 * @param[out] options Set on success.
 * @return Whether the options are valid.
 */
bool readFetchOptions(const boost::program_options::variables_map& values, std::ostream& err, FetchOptions& options);

/**
 * Parses the arguments of a command that queries processes. Parameters as for parseArguments and readFetchOptions.
 * @return -1 if the command shall run, otherwise the exit status.
 */
int parseFetchArguments(const CtlArguments& arguments, const boost::program_options::options_description& known,
    const char* positional, const char* usage, CtlStreams streams, boost::program_options::variables_map& values,
    FetchOptions& options);

/**
 * Sends an authenticated GET request to every process and waits for all responses.
 * @param options Processes to query.
 * @param path Path and query string.
 * @return One entry for each process, in the order of the options.
 */
std::vector<FetchResult> fetchAll(const FetchOptions& options, const std::string& path);

/**
 * Queries every process and parses the reports. Prints the processes without a valid response.
 * @return The reports, each with the control port of its process.
 */
template <typename Report>
std::vector<std::pair<Endpoint, Report>> fetchReports(const FetchOptions& options, const std::string& path,
    std::ostream& err, std::string (*parse)(std::string_view, Report&))
{
    std::vector<std::pair<Endpoint, Report>> reports;
    for (auto& fetched : fetchAll(options, path)) {
        Report report;
        if (fetched.error.empty())
            fetched.error = parse(fetched.body, report);
        if (fetched.error.empty())
            reports.emplace_back(fetched.from, std::move(report));
        else
            err << "hawthorncroftctl: no answer from " << toString(fetched.from) << ": " << fetched.error << '\n';
    }
    return reports;
}

} // namespace hawthorncroft
