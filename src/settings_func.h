/**
 * @file settings_func.h
 * Reading and checking of settings files.
 */
#pragma once

#include "settings_type.h"

#include <boost/leaf.hpp>

namespace hawthorncroft {

/** Every fault of a settings file. */
struct SettingsError {
    std::vector<ConfigFault> faults;
};

/**
 * Checks the text of a settings file.
 * @param program Program that will use the settings.
 * @param file Name of the file, for messages.
 * @param text JSON text.
 * @return The settings, or a SettingsError with every fault.
 */
boost::leaf::result<ProcessSettings> parseSettings(Program program, const std::string& file, const std::string& text);

/**
 * Reads and checks a settings file.
 * @param program Program that will use the settings.
 * @param file Path of the file.
 * @return The settings, or a SettingsError with every fault.
 */
boost::leaf::result<ProcessSettings> loadSettings(Program program, const std::string& file);

/**
 * Makes a keyring of the keys in the settings. Each thread that needs keys has a keyring of its own.
 * @param settings The settings.
 * @return The keyring; the first key signs until the configuration says otherwise.
 */
Keyring keyringOf(const ProcessSettings& settings);

/** What the command line of a balancer or agent asks for. */
struct StartOptions {
    ProcessSettings settings;
    std::string file; ///< Settings file, for messages about addresses that are in use.
};

/**
 * Handles the command line that balancers and agents share: --help, --version, --settings FILE.
 * Prints help, version or every fault.
 * @param program The program.
 * @param argc Number of arguments.
 * @param argv The arguments.
 * @param[out] options Set when the program is to start.
 * @return -1 to start; otherwise the exit status: 0 after help or version, 2 after a fault.
 */
int handleCommandLine(Program program, int argc, const char* const* argv, StartOptions& options);

} // namespace hawthorncroft
