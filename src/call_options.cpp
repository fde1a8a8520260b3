#include "call_options.h"

#include "version_func.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

namespace hawthorncroft {

namespace po = boost::program_options;

namespace {

    constexpr std::array<std::string_view, 4> commands { "feed", "confirm", "upload", "query" };
    constexpr int usageStatus = 2;

    po::options_description describe(CallOptions& options)
    {
        po::options_description description("hawthorncroft-call [options] feed|confirm|upload|query");
        auto add = description.add_options();
        add("help", "show this text");
        add("version", "show the version");
        add("balancer", po::value<std::vector<std::string>>(), "address of a balancer; may be repeated");
        add("fabric", po::value<std::string>(), "address of the fabric, instead of balancers");
        add("service", po::value(&options.service), "service name");
        add("payload", po::value(&options.payload), "text to send");
        add("file", po::value<std::string>(), "file whose content is sent");
        add("deadline-ms", po::value(&options.deadlineMs)->default_value(options.deadlineMs),
            "milliseconds to wait; for a feed, until it is open");
        add("events", po::value(&options.events), "close the feed after this many events");
        add("receipt", po::value(&options.receipt), "file written by confirm and read by query");
        add("idempotent", po::bool_switch(&options.idempotent), "the request may run more than once");
        add("command", po::value(&options.command), "feed, confirm, upload or query");
        return description;
    }

    int reportUsageError(const std::string& what)
    {
        std::cerr << "hawthorncroft-call: " << what << "; see --help\n";
        return usageStatus;
    }

    /** @return Error message; empty on success. */
    std::string readAddresses(const po::variables_map& values, CallOptions& options)
    {
        std::vector<std::string> texts;
        if (values.count("balancer"))
            texts = values["balancer"].as<std::vector<std::string>>();
        if (values.count("fabric"))
            texts.push_back(values["fabric"].as<std::string>());
        for (const auto& text : texts) {
            if (!parseEndpoint(text, options.balancers.emplace_back()))
                return text + " is not an IPv4 address with a port, such as 127.0.0.1:7000";
        }
        return texts.empty() ? "--balancer or --fabric is required" : "";
    }

    /** @return Error message; empty on success. */
    std::string readPayloadFile(const std::string& file, CallOptions& options)
    {
        std::ifstream stream(file, std::ios::binary);
        options.payload.assign(std::istreambuf_iterator<char>(stream), {});
        return stream.good() || stream.eof() ? "" : "file " + file + " cannot be read";
    }

    /** @return Error message; empty when the command has the options that it needs. */
    std::string usageErrorOf(const po::variables_map& values, CallOptions& options)
    {
        if (std::find(commands.begin(), commands.end(), options.command) == commands.end())
            return "one of the commands feed, confirm, upload and query is required";
        if (options.command == "query" && options.receipt.empty())
            return "query needs --receipt FILE";
        if (options.command != "query" && options.service.empty())
            return "--service NAME is required";
        if (values.count("payload") && values.count("file"))
            return "--payload and --file cannot be used together";
        if (!options.deadlineMs)
            return "--deadline-ms must be at least 1";
        return "";
    }

}

int parseCallOptions(int argc, const char* const* argv, CallOptions& options)
{
    po::options_description description = describe(options);
    po::positional_options_description positions;
    positions.add("command", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        return reportUsageError(error.what());
    }
    if (values.count("help")) {
        std::cout << description << "Exit status: 0 done, 3 did not run, 4 may have run, 2 wrong command line.\n";
        return 0;
    }
    if (values.count("version")) {
        std::cout << versionText() << '\n';
        return 0;
    }
    std::string fault = usageErrorOf(values, options);
    if (fault.empty())
        fault = readAddresses(values, options);
    if (fault.empty() && values.count("file"))
        fault = readPayloadFile(values["file"].as<std::string>(), options);
    return fault.empty() ? -1 : reportUsageError(fault);
}

} // namespace hawthorncroft
