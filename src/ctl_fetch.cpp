#include "ctl_fetch.h"

#include "control_base.h"
#include "settings_func.h"

#include <boost/asio/io_context.hpp>

#include <ostream>
#include <random>

namespace hawthorncroft {

namespace options = boost::program_options;
namespace leaf = boost::leaf;

namespace {

    std::uint64_t randomNumber()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

    /**
     * Loads the settings of a balancer or an agent.
     * @return Empty on success, otherwise the faults found when the file is read as settings of a balancer.
     */
    std::vector<ConfigFault> readSettings(const std::string& file, ProcessSettings& settings)
    {
        std::vector<ConfigFault> balancerFaults;
        for (Program program : { Program::Balancer, Program::Agent }) {
            std::vector<ConfigFault> faults = leaf::try_handle_all(
                [&]() -> leaf::result<std::vector<ConfigFault>> {
                    BOOST_LEAF_ASSIGN(settings, loadSettings(program, file));
                    return std::vector<ConfigFault> {};
                },
                [](const SettingsError& error) { return error.faults; },
                [&] {
                    return std::vector<ConfigFault> { { file, "", "an unreadable file", "settings" } };
                });
            if (faults.empty())
                return {};
            if (program == Program::Balancer)
                balancerFaults = std::move(faults);
        }
        return balancerFaults;
    }

    bool readKeys(
        const options::variables_map& values, std::ostream& err, ProcessSettings& settings, FetchOptions& fetchOptions)
    {
        if (!values.count("settings")) {
            err << "hawthorncroftctl: --settings with the settings file of a process is needed for its keys\n";
            return false;
        }
        auto faults = readSettings(values["settings"].as<std::string>(), settings);
        for (const auto& fault : faults)
            err << toString(fault) << '\n';
        if (!faults.empty())
            return false;
        fetchOptions.keyring = std::make_shared<Keyring>(keyringOf(settings));
        KeyId key = values.count("key") ? KeyId(values["key"].as<std::uint32_t>()) : settings.keys.front().id;
        if (fetchOptions.keyring->setSigning(key))
            return true;
        err << "hawthorncroftctl: the settings have no key " << key.value << '\n';
        return false;
    }

}

std::vector<FetchResult> fetchAll(const FetchOptions& fetchOptions, const std::string& path)
{
    boost::asio::io_context context(1);
    ControlClient client(context, *fetchOptions.keyring, randomNumber);
    std::vector<FetchResult> answers(fetchOptions.processes.size());
    std::size_t waiting = answers.size();
    for (std::size_t i = 0; i < answers.size(); ++i) {
        FetchResult& answer = answers[i];
        answer.from = fetchOptions.processes[i];
        client.get(answer.from, path, fetchOptions.timeout, [&answer, &waiting, &context](ControlResult result) {
            if (result.error != ControlError::None)
                answer.error = nameOf(result.error);
            answer.body = std::move(result.body);
            if (!--waiting)
                context.stop();
        });
    }
    if (waiting)
        context.run();
    return answers;
}

void addFetchOptions(options::options_description& known, double defaultSeconds)
{
    known.add_options()("settings", options::value<std::string>(),
        "settings file of a process; its keys sign the requests, and its control port is queried without --at")("key",
        options::value<std::uint32_t>(), "number of the signing key; default: the first key of the settings")("at",
        options::value<std::vector<std::string>>()->multitoken(),
        "control ports to query, such as 10.0.0.1:7001; may be repeated")(
        "timeout", options::value<double>()->default_value(defaultSeconds), "seconds to wait");
}

bool readFetchOptions(const options::variables_map& values, std::ostream& err, FetchOptions& fetchOptions)
{
    if (!readTimeoutOption(values, err, fetchOptions.timeout))
        return false;
    ProcessSettings settings;
    if (!readKeys(values, err, settings, fetchOptions))
        return false;
    if (!values.count("at")) {
        fetchOptions.processes.push_back(settings.control);
        return true;
    }
    for (const auto& text : values["at"].as<std::vector<std::string>>()) {
        Endpoint endpoint;
        if (!parseEndpoint(text, endpoint)) {
            err << "hawthorncroftctl: --at " << text << " is not an IPv4 address and port\n";
            return false;
        }
        fetchOptions.processes.push_back(endpoint);
    }
    return true;
}

int parseFetchArguments(const CtlArguments& arguments, const options::options_description& known,
    const char* positional, const char* usage, CtlStreams streams, options::variables_map& values,
    FetchOptions& fetchOptions)
{
    int status = parseArguments(arguments, known, positional, usage, streams, values);
    if (status >= 0)
        return status;
    return readFetchOptions(values, streams.err, fetchOptions) ? -1 : ctlRefused;
}

} // namespace hawthorncroft
