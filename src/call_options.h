/**
 * @file call_options.h
 * Command line of hawthorncroft-call.
 */
#pragma once

#include "core_type.h"

#include <string>
#include <vector>

namespace hawthorncroft {

/** Options of the command line. */
struct CallOptions {
    std::string command; ///< feed, confirm, upload or query.
    std::vector<Endpoint> balancers; ///< Balancers or the fabric.
    std::string service; ///< Service name as spelled by the user.
    std::string payload; ///< Content of the request, subscription or upload.
    std::string receipt; ///< File written by confirm and read by query; empty for none.
    std::uint32_t deadlineMs { 2000 }; ///< Time to wait in milliseconds; for a feed, until it is open.
    std::uint32_t events {}; ///< Close the feed after this many events; zero for no limit.
    bool idempotent {}; ///< The request may run more than once.
};

/**
 * Parses the command line. Prints the help, the version or an error message.
 * @param argc Number of arguments.
 * @param argv The arguments.
 * @param[out] options The parsed options; valid only when -1 is returned.
 * @return -1 to run the command, otherwise the exit status: 0 after help or version, 2 after a wrong command line.
 */
int parseCallOptions(int argc, const char* const* argv, CallOptions& options);

} // namespace hawthorncroft
