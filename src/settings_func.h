/**
 * @file settings_func.h
 * Parsing and validation of settings files.
 */
#pragma once

#include "settings_type.h"

#include <boost/leaf.hpp>

namespace hawthorncroft {

/** All faults found in a settings file. */
struct SettingsError {
    std::vector<ConfigFault> faults;
};

/**
 * Parses and validates the text of a settings file.
 * @param program Program that will use the settings.
 * @param file File name for error messages.
 * @param text JSON text.
 * @return The settings, or a SettingsError with all faults.
 */
boost::leaf::result<ProcessSettings> parseSettings(Program program, const std::string& file, const std::string& text);

/**
 * Reads, parses and validates a settings file.
 * @param program Program that will use the settings.
 * @param file Path of the file.
 * @return The settings, or a SettingsError with all faults.
 */
boost::leaf::result<ProcessSettings> loadSettings(Program program, const std::string& file);

/**
 * Creates a keyring from the keys in the settings. A keyring is not thread-safe, so each thread creates its own.
 * @param settings The settings.
 * @return The keyring; the first key is the signing key until the configuration selects another.
 */
Keyring keyringOf(const ProcessSettings& settings);

/** Parsed command line of a balancer or agent. */
struct StartOptions {
    ProcessSettings settings;
    std::string file; ///< Settings file, named in error messages about addresses that are in use.
};

/**
 * Handles the command line that balancers and agents share: --help, --version, --settings FILE.
 * Prints the help, the version or all faults of the settings file.
 * @param program The program.
 * @param argc Number of arguments.
 * @param argv The arguments.
 * @param[out] options Set when the program is to start.
 * @return -1 to start the program; otherwise its exit status: 0 after help or version, 2 after an error.
 */
int handleCommandLine(Program program, int argc, const char* const* argv, StartOptions& options);

} // namespace hawthorncroft
