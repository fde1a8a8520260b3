/**
 * @file call_options.h
 * Command line of hawthorncroft-call.
 */
#pragma once

#include "core_type.h"

#include <string>
#include <vector>

namespace hawthorncroft {

/** What the command line asks for. */
struct CallOptions {
    std::string command; ///< feed, confirm, upload or query.
    std::vector<Endpoint> balancers; ///< Balancers or the fabric.
    std::string service; ///< Service name as spelled by the user.
    std::string payload; ///< Content of the request, subscription or upload.
    std::string receipt; ///< File for asking for the outcome later; empty for none.
    std::uint32_t deadlineMs { 2000 }; ///< Milliseconds.
    std::uint32_t events {}; ///< Close the feed after this many events; zero for no limit.
    bool idempotent {}; ///< The request may run more than once.
};

/**
 * Parses the command line. Prints help, version or what is wrong.
 * @param argc Number of arguments.
 * @param argv The arguments.
 * @param[out] options Set when the program is to start.
 * @return -1 to start; otherwise the exit status: 0 after help or version, 2 after a wrong command line.
 */
int parseCallOptions(int argc, const char* const* argv, CallOptions& options);

} // namespace hawthorncroft
