#include "ctl_fetch.h"

#include "http2_base.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    std::string errorOf(const Http2Result& result)
    {
        if (result.error != Http2Error::None)
            return std::string(nameOf(result.error));
        return result.succeeded() ? "" : "HTTP status " + std::to_string(result.status);
    }

}

std::vector<Fetched> fetchAll(const std::vector<Endpoint>& processes, const std::string& path, Duration timeout)
{
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<Http2Client>> clients;
    std::vector<Fetched> answers(processes.size());
    std::size_t waiting = processes.size();
    for (std::size_t i = 0; i < processes.size(); ++i) {
        answers[i].from = processes[i];
        clients.push_back(std::make_unique<Http2Client>(context, processes[i]));
        Http2Call call;
        call.request.path = path;
        call.timeout = timeout;
        clients.back()->send(std::move(call), [&answers, &waiting, &context, i](Http2Result result) {
            answers[i].error = errorOf(result);
            answers[i].body = std::move(result.body);
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
    known.add_options()("at", options::value<std::vector<std::string>>()->multitoken(),
        "control ports to ask, such as 10.0.0.1:7001; may be repeated")(
        "timeout", options::value<double>()->default_value(defaultSeconds), "seconds to wait");
}

bool readFetchOptions(const options::variables_map& values, std::ostream& err, FetchOptions& fetchOptions)
{
    double timeout = values["timeout"].as<double>();
    if (!(timeout > 0 && timeout <= 86400)) {
        err << "hawthorncroftctl: the timeout must be above 0 and at most 86400 seconds\n";
        return false;
    }
    fetchOptions.timeout = microseconds(static_cast<std::int64_t>(timeout * 1e6));
    if (!values.count("at")) {
        err << "hawthorncroftctl: --at with at least one control port is needed\n";
        return false;
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

} // namespace hawthorncroft
