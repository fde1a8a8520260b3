#include "standin_target.h"

#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

using namespace hawthorncroft;
namespace options = boost::program_options;

namespace {

int run(int argumentCount, char** arguments)
{
    StandinTargetOptions target;
    std::string listen;
    std::string settings;
    std::uint64_t incarnation = 0;
    options::options_description description("standin-target: target for tests");
    description.add_options()("help", "print this text")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"), "address and port; 0 lets the kernel choose")(
        "settings", options::value(&settings)->default_value("{}"), "JSON object, fields as for POST /test/settings")(
        "incarnation", options::value(&incarnation)->default_value(0), "0 draws one at random");
    options::variables_map values;
    options::store(options::parse_command_line(argumentCount, arguments, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    std::string error = "expected a JSON object";
    boost::json::object object;
    if (!parseObject(settings, object) || !applySettings(object, target.settings, error))
        throw std::invalid_argument("--settings: " + error);
    if (!parseListen(listen, target.listen))
        throw std::invalid_argument("--listen: " + listen + ": expected ADDRESS:PORT");
    target.incarnation = Incarnation(incarnation);
    target.die = [] { std::_Exit(EXIT_FAILURE); };
    boost::asio::io_context context;
    StandinTarget server(context, target);
    if (!server.start(error))
        throw std::runtime_error(error);
    runProgram(context, "standin-target", server.endpoint());
    return 0;
}

}

int main(int argumentCount, char** arguments)
{
    try {
        return run(argumentCount, arguments);
    } catch (const std::exception& error) {
        std::cerr << "standin-target: " << error.what() << '\n';
        return 1;
    }
}
