/**
 * @file ctl_func.h
 * Subcommands of hawthorncroftctl. Each parses its own arguments and writes to the given streams.
 */
#pragma once

#include "config_type.h"

#include <boost/program_options.hpp>

#include <iosfwd>

namespace hawthorncroft {

inline constexpr int ctlOk = 0; ///< Success.
inline constexpr int ctlWarnings = 1; ///< Valid with warnings, or the result queried or waited for was not reached.
inline constexpr int ctlRefused = 2; ///< Invalid arguments, unreadable input or refused documents.

/** Output streams of a command. */
struct CtlStreams {
    std::ostream& out;
    std::ostream& err;
};

/** Command-line arguments that follow the subcommand. */
using CtlArguments = std::vector<std::string>;

/** File with a configuration document. */
struct DocumentFile {
    std::string key; ///< Key at the platform; see loadDocument.
    std::string text;
    std::vector<ConfigFault> faults;
    DocumentPtr document; ///< Null if the document was refused.
};

/**
 * Reads and validates a document. Without an explicit key, the key is derived from the path:
 * "any/services/sofia.json" has the key "services/sofia", "operations.json" the key "operations". If the path does not
 * give a key, it is derived from the fields of the document.
 * @param argument KEY=FILE or FILE.
 * @return The document or its faults; an unreadable file is reported as a fault.
 */
DocumentFile loadDocument(const std::string& argument);

/**
 * Parses the arguments of a subcommand. Prints the usage if --help is given, and an error if the arguments are invalid.
 * @param arguments The arguments.
 * @param options Options of the subcommand; --help and --json are added.
 * @param positional Name of the option that receives the positional arguments, any number of them.
 * @param usage Usage text printed above the list of options.
 * @param streams Receive the usage and the errors.
 * @param[out] values Parsed options and positional arguments.
 * @return -1 if the subcommand shall run, otherwise the exit status.
 */
int parseArguments(const CtlArguments& arguments, boost::program_options::options_description options,
    const char* positional, const char* usage, CtlStreams streams, boost::program_options::variables_map& values);

/**
 * Reads the option `timeout`, in seconds.
 * @param[out] timeout Its value.
 * @return Whether it is valid; otherwise a line was written to `err`.
 */
bool readTimeoutOption(const boost::program_options::variables_map& values, std::ostream& err, Duration& timeout);

/** @return The text as a quoted and escaped JSON string. */
std::string quoted(std::string_view text);

int runBurn(const CtlArguments& arguments, CtlStreams streams);
int runCheck(const CtlArguments& arguments, CtlStreams streams);
int runDiff(const CtlArguments& arguments, CtlStreams streams);
int runExplain(const CtlArguments& arguments, CtlStreams streams);

/** Runs explain --log: prints the logged decisions about a request of a transparent flow. */
int runExplainLog(const CtlArguments& arguments, CtlStreams streams);

int runNames(const CtlArguments& arguments, CtlStreams streams);
int runMetrics(const CtlArguments& arguments, CtlStreams streams);
int runPlace(const CtlArguments& arguments, CtlStreams streams);
int runStatus(const CtlArguments& arguments, CtlStreams streams);
int runWaitInForce(const CtlArguments& arguments, CtlStreams streams);
int runVersion(const CtlArguments& arguments, CtlStreams streams);

/**
 * Runs a subcommand.
 * @param arguments Subcommand and its arguments.
 * @param streams Output streams.
 * @return Exit status.
 */
int runCtl(const CtlArguments& arguments, CtlStreams streams);

} // namespace hawthorncroft
