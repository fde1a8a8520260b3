/**
 * @file fabric_main.cpp
 * standin-fabric: forwards each datagram of a caller to a random balancer and injects seeded faults. The control port
 * accepts commands as text datagrams; see FabricCore::command.
 */
#include "fabric_shell.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>

using namespace hawthorncroft;
namespace po = boost::program_options;

namespace {

constexpr int usageStatus = 2;

struct FabricOptions {
    Endpoint front;
    Endpoint control;
    FabricSettings settings;
};

int reportUsageError(const std::string& what)
{
    std::cerr << "standin-fabric: " << what << "; see --help\n";
    return usageStatus;
}

/** Adds a balancer from "ADDRESS" or "ADDRESS,DELAY_US", such as "127.0.0.1:7000,1500". */
bool addPath(FabricSettings& settings, const std::string& text)
{
    std::size_t comma = text.find(',');
    FabricPath path;
    if (!parseEndpoint(text.substr(0, comma), path.balancer))
        return false;
    if (comma != std::string::npos)
        path.delay = microseconds(std::strtoul(text.c_str() + comma + 1, nullptr, 10));
    settings.paths.push_back(path);
    return true;
}

int parse(int argc, const char* const* argv, FabricOptions& options)
{
    std::string front;
    std::string control;
    std::vector<std::string> balancers;
    po::options_description description("standin-fabric [options]");
    auto add = description.add_options();
    add("help", "show this text");
    add("listen", po::value(&front)->required(), "address for callers");
    add("control", po::value(&control)->required(), "address for commands");
    add("balancer", po::value(&balancers), "ADDRESS[,DELAY_US] of a balancer; may be repeated");
    add("drop", po::value(&options.settings.dropPerMille), "packets lost of 1000, each way");
    add("duplicate", po::value(&options.settings.duplicatePerMille), "packets sent twice of 1000, each way");
    add("reorder", po::value(&options.settings.reorderPerMille), "packets delayed further of 1000, each way");
    add("seed", po::value(&options.settings.seed), "seed of all random choices");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error& error) {
        return reportUsageError(error.what());
    }
    if (!parseEndpoint(front, options.front) || !parseEndpoint(control, options.control))
        return reportUsageError("--listen and --control expect IPv4 addresses with ports");
    for (const auto& balancer : balancers) {
        if (!addPath(options.settings, balancer))
            return reportUsageError(balancer + " is not a balancer's address");
    }
    return -1;
}

}

int main(int argc, char** argv)
{
    FabricOptions options;
    int status = parse(argc, argv, options);
    if (status >= 0)
        return status;
    boost::asio::io_context context;
    FabricShell fabric(context, options.settings);
    std::string error = fabric.open(options.front, options.control);
    if (!error.empty()) {
        std::cerr << "standin-fabric: " << error << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
