#include "standin_platform.h"

#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <iostream>

using namespace hawthorncroft;
namespace options = boost::program_options;

namespace {

int run(int argumentCount, char** arguments)
{
    StandinPlatformOptions platform;
    std::string listen;
    options::options_description description("standin-platform: configuration service for tests");
    description.add_options()("help", "print this text")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"), "address and port; 0 lets the kernel choose")(
        "documents", options::value(&platform.documents), "directory of KIND-NAME.json files to load at start")(
        "poll-ms", options::value(&platform.pollMs)->default_value(platform.pollMs), "longest wait of a watch")(
        "calls-per-second", options::value(&platform.callsPerSecond)->default_value(platform.callsPerSecond),
        "calls beyond it are refused with 429");
    options::variables_map values;
    options::store(options::parse_command_line(argumentCount, arguments, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    if (!parseListen(listen, platform.listen))
        throw std::invalid_argument("--listen: " + listen + ": expected ADDRESS:PORT");
    boost::asio::io_context context;
    StandinPlatform server(context, platform);
    std::string error;
    if (!server.start(error))
        throw std::runtime_error(error);
    runProgram(context, "standin-platform", server.endpoint());
    return 0;
}

}

int main(int argumentCount, char** arguments)
{
    try {
        return run(argumentCount, arguments);
    } catch (const std::exception& error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 1;
    }
}
