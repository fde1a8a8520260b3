/**
 * @file ctl_fetch.h
 * Asks several processes on their control ports at the same time.
 */
#pragma once

#include "ctl_func.h"
#include "keyring_type.h"

#include <memory>

namespace hawthorncroft {

/** Answer of one process. */
struct FetchResult {
    Endpoint from;
    std::string error; ///< Empty when an answer with status 200 arrived.
    std::string body;
};

/** Adds the options of commands that ask processes: --settings, --key, --at and --timeout. */
void addFetchOptions(boost::program_options::options_description& known, double defaultSeconds);

/** Whom to ask, from the command line. */
struct FetchOptions {
    std::vector<Endpoint> processes; ///< Control ports.
    Duration timeout; ///< For each answer.
    std::shared_ptr<Keyring> keyring; ///< Signs requests and checks answers.
};

/**
 * Reads the options that addFetchOptions added. Prints what is wrong with them.
 * @param values Parsed arguments.
 * @param err Where to print.
 * @param[out] options Set on success.
 * @return Whether the options are valid.
 */
bool readFetchOptions(const boost::program_options::variables_map& values, std::ostream& err, FetchOptions& options);

/**
 * Parses the arguments of a command that asks processes. Parameters as for parseArguments and readFetchOptions.
 * @return -1 to go on, otherwise the exit status.
 */
int parseFetchArguments(const CtlArguments& arguments, const boost::program_options::options_description& known,
    const char* positional, const char* usage, CtlStreams streams, boost::program_options::variables_map& values,
    FetchOptions& options);

/**
 * Sends an authenticated request to every process.
 * @param options Whom to ask.
 * @param path Path and query.
 * @return One entry for each process, in the same order.
 */
std::vector<FetchResult> fetchAll(const FetchOptions& options, const std::string& path);

/**
 * Asks every process and reads the reports. Prints the processes that do not answer.
 * @return The reports with the processes they are from.
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
