#include "ctl_func.h"

#include "config_func.h"
#include "version_func.h"

#include <boost/json.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace hawthorncroft {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

    /** @return Document key derived from the path, or an empty string. */
    std::string keyOfPath(const std::filesystem::path& path)
    {
        std::string stem = path.stem().string();
        if (kindOf(stem) != DocumentKind::Unknown)
            return stem;
        std::string key = path.parent_path().filename().string() + "/" + stem;
        return kindOf(key) == DocumentKind::Unknown ? "" : key;
    }

    /** @return Document key derived from the fields of a document and the stem of its file name, or an empty string. */
    std::string keyOfContent(const std::string& text, const std::string& stem)
    {
        static constexpr std::array<std::array<const char*, 2>, 5> fieldKeys { {
            { "services", "services/" },
            { "targets", "targets/" },
            { "members", "members/" },
            { "inForce", "operations" },
            { "signing", "keys" },
        } };
        json::error_code error;
        json::value root = json::parse(text, error);
        if (error || !root.is_object())
            return {};
        for (const auto& [field, key] : fieldKeys) {
            if (root.get_object().contains(field))
                return std::string(key).ends_with('/') ? key + stem : key;
        }
        return {};
    }

    bool readFile(const std::string& name, std::string& text)
    {
        std::error_code ignored;
        // The stream iterator throws when it reads from a directory.
        if (std::filesystem::is_directory(name, ignored))
            return false;
        std::ifstream file(name, std::ios::binary);
        if (!file)
            return false;
        text.assign(std::istreambuf_iterator<char>(file), {});
        return !file.bad();
    }

    /** Subcommand. */
    struct Command {
        std::string_view name;
        std::string_view help;
        int (*run)(const CtlArguments& arguments, CtlStreams streams);
    };

    constexpr std::array<Command, 10> commands { {
        { "burn", "show how much of the services' error budgets is spent, and by what", runBurn },
        { "check", "validate documents as the processes do, and warn of risky settings", runCheck },
        { "diff", "describe what a new version of a document changes for callers", runDiff },
        { "explain", "show the service of a name and the target that a flow would use", runExplain },
        { "names", "list unknown names with the closest known ones", runNames },
        { "metrics", "print counters and distributions, summed over processes", runMetrics },
        { "place", "explain where a balancer for the platform would place a flow", runPlace },
        { "status", "show whether each process serves, and its configuration", runStatus },
        { "wait-in-force", "wait until every process has a revision in force", runWaitInForce },
        { "version", "print the version", runVersion },
    } };

    void printUsage(std::ostream& out)
    {
        out << "Usage: hawthorncroftctl COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n";
        for (const auto& command : commands) {
            std::string name(command.name);
            name.resize(16, ' ');
            out << "  " << name << command.help << '\n';
        }
        out << "\n'hawthorncroftctl COMMAND --help' lists the options of a command.\n"
               "Exit status: 0 success, 1 warnings or not achieved, 2 refused or wrong arguments.\n";
    }

}

std::string quoted(std::string_view text) { return json::serialize(json::string(text.data(), text.size())); }

DocumentFile loadDocument(const std::string& argument)
{
    DocumentFile file;
    std::size_t equals = argument.find('=');
    std::string path = equals == std::string::npos ? argument : argument.substr(equals + 1);
    if (!readFile(path, file.text)) {
        file.key = path;
        file.faults.push_back({ path, "", "a file that cannot be read", "a readable file" });
        return file;
    }
    file.key = equals == std::string::npos ? keyOfPath(path) : argument.substr(0, equals);
    if (file.key.empty())
        file.key = keyOfContent(file.text, std::filesystem::path(path).stem().string());
    if (file.key.empty())
        file.key = path;
    // An empty text removes the document at the platform, but an empty file is more likely a mistake.
    // A single space makes the parser refuse it.
    CheckedDocument checked = parseDocument(file.key, file.text.empty() ? " " : file.text);
    file.document = checked.document;
    file.faults = std::move(checked.faults);
    return file;
}

bool readTimeoutOption(const options::variables_map& values, std::ostream& err, Duration& timeout)
{
    constexpr double longest = 86400;
    double seconds = values["timeout"].as<double>();
    if (!(seconds > 0 && seconds <= longest)) {
        err << "hawthorncroftctl: the timeout must be above 0 and at most 86400 seconds\n";
        return false;
    }
    timeout = microseconds(static_cast<std::int64_t>(seconds * 1e6));
    return true;
}

int parseArguments(const CtlArguments& arguments, options::options_description known, const char* positional,
    const char* usage, CtlStreams streams, options::variables_map& values)
{
    known.add_options()("help", "print this text")("json", "print JSON");
    options::options_description all;
    all.add(known);
    all.add_options()(positional, options::value<std::vector<std::string>>()->default_value({}, ""), "");
    options::positional_options_description rest;
    rest.add(positional, -1);
    try {
        options::store(options::command_line_parser(arguments).options(all).positional(rest).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        streams.err << "hawthorncroftctl: " << error.what() << '\n';
        return ctlRefused;
    }
    if (!values.count("help"))
        return -1;
    streams.out << usage << "\n\n" << known;
    return ctlOk;
}

int runVersion(const CtlArguments& arguments, CtlStreams streams)
{
    options::variables_map values;
    int status = parseArguments(arguments, options::options_description("Options"), "argument",
        "Usage: hawthorncroftctl version [--json]", streams, values);
    if (status >= 0)
        return status;
    if (values.count("json"))
        streams.out << "{\"version\":" << quoted(versionText()) << "}\n";
    else
        streams.out << versionText() << '\n';
    return ctlOk;
}

int runCtl(const CtlArguments& arguments, CtlStreams streams)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        printUsage(arguments.empty() ? streams.err : streams.out);
        return arguments.empty() ? ctlRefused : ctlOk;
    }
    std::string name = arguments[0] == "--version" ? "version" : arguments[0];
    for (const auto& command : commands) {
        if (command.name == name)
            return command.run(CtlArguments(arguments.begin() + 1, arguments.end()), streams);
    }
    streams.err << "hawthorncroftctl: there is no command " << quoted(name) << '\n';
    printUsage(streams.err);
    return ctlRefused;
}

} // namespace hawthorncroft
