/**
 * @file ctl_func.h
 * Subcommands of hawthorncroftctl. Each reads its own arguments and writes to the given streams.
 */
#pragma once

#include "config_type.h"

#include <boost/program_options.hpp>

#include <iosfwd>

namespace hawthorncroft {

inline constexpr int ctlOk = 0; ///< Nothing to complain about.
inline constexpr int ctlWarnings = 1; ///< Valid, with warnings; or, for commands that wait or ask, not achieved.
inline constexpr int ctlRefused = 2; ///< Wrong arguments, unreadable input, refused documents.

/** Streams of a command. */
struct CtlStreams {
    std::ostream& out;
    std::ostream& err;
};

/** Arguments behind the subcommand. */
using CtlArguments = std::vector<std::string>;

/** A file that holds a configuration document. */
struct DocumentFile {
    std::string key; ///< Key at the platform; see loadDocument.
    std::string text;
    std::vector<ConfigFault> faults;
    DocumentPtr document; ///< Null when refused.
};

/**
 * Reads and checks a document. The argument is KEY=FILE, or FILE alone. Without a key it follows from the path:
 * "any/services/sofia.json" has the key "services/sofia", "operations.json" the key "operations". When the path names
 * no key the fields of the document do.
 * @param argument The argument.
 * @return The document or its faults; an unreadable file is a fault.
 */
DocumentFile loadDocument(const std::string& argument);

/**
 * Parses the arguments of a subcommand. Prints usage or what is wrong with the arguments.
 * @param arguments The arguments.
 * @param options Known options; help and json are added.
 * @param positional Name of the option that takes the other arguments; it takes any number.
 * @param usage First line of the help text.
 * @param streams Where to print.
 * @param[out] values The parsed values.
 * @return -1 to go on, otherwise the exit status.
 */
int parseArguments(const CtlArguments& arguments, boost::program_options::options_description options,
    const char* positional, const char* usage, CtlStreams streams, boost::program_options::variables_map& values);

/** @return Text as a JSON string, with quotes. */
std::string quoted(std::string_view text);

int runBurn(const CtlArguments& arguments, CtlStreams streams);
int runCheck(const CtlArguments& arguments, CtlStreams streams);
int runDiff(const CtlArguments& arguments, CtlStreams streams);
int runExplain(const CtlArguments& arguments, CtlStreams streams);

/** The form of explain with --log: recorded decisions about a request of a transparent flow. */
int runExplainLog(const CtlArguments& arguments, CtlStreams streams);

int runNames(const CtlArguments& arguments, CtlStreams streams);
int runMetrics(const CtlArguments& arguments, CtlStreams streams);
int runStatus(const CtlArguments& arguments, CtlStreams streams);
int runWaitInForce(const CtlArguments& arguments, CtlStreams streams);
int runVersion(const CtlArguments& arguments, CtlStreams streams);

/**
 * Runs a subcommand.
 * @param arguments Subcommand and its arguments.
 * @param streams Where to print.
 * @return Exit status.
 */
int runCtl(const CtlArguments& arguments, CtlStreams streams);

} // namespace hawthorncroft
