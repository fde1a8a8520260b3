#include "ctl_func.h"

#include "ctl_page.h"
#include "transit_page_type.h"
#include "transit_place_func.h"

#include <cctype>
#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* placeUsage
        = "Usage: hawthorncroftctl place --at ENDPOINT (--to ENDPOINT | --service NAME) [--from ENDPOINT] [--json]\n"
          "Explains where a balancer for the platform would place a flow now, and why. Nothing is sent to a target.\n"
          "Exits with status 1 if no target would get the flow or the balancer does not answer the query.";

    /** Caller that is assumed without --from; an address that is reserved for documentation. */
    constexpr Endpoint defaultCaller { 0xc0000201, 40000 };

    constexpr std::size_t maxErrorBytes = 200; ///< Of the first line of an error page.

    /** Parsed command line. */
    struct PlaceOptions {
        Endpoint at;
        PlaceQuery query;
        Duration timeout;
    };

    bool readEndpoint(
        const options::variables_map& values, const std::string& name, std::ostream& err, Endpoint& endpoint)
    {
        if (!values.count(name))
            return true;
        auto text = values[name].as<std::string>();
        if (parseEndpoint(text, endpoint))
            return true;
        err << "hawthorncroftctl: --" << name << ' ' << quoted(text) << " is not an IPv4 address and port\n";
        return false;
    }

    bool readOptions(const options::variables_map& values, std::ostream& err, PlaceOptions& read)
    {
        if (!readTimeoutOption(values, err, read.timeout))
            return false;
        read.query.from = defaultCaller;
        Endpoint to;
        bool isValid = readEndpoint(values, "at", err, read.at) && readEndpoint(values, "to", err, to)
            && readEndpoint(values, "from", err, read.query.from);
        if (!isValid)
            return false;
        if (to)
            read.query.to = to;
        if (values.count("service"))
            read.query.service = values["service"].as<std::string>();
        bool isComplete = read.at && static_cast<bool>(to) != !read.query.service.empty();
        if (!isComplete || !values["argument"].as<std::vector<std::string>>().empty()) {
            err << "hawthorncroftctl: place needs --at and either --to or --service, and no other argument\n";
            return false;
        }
        return true;
    }

    /** @return The first line of a page, without characters that are not printable. */
    std::string firstLineOf(const std::string& body)
    {
        std::string line = body.substr(0, std::min(body.find('\n'), maxErrorBytes));
        std::erase_if(line, [](unsigned char c) { return !std::isprint(c); });
        return line;
    }

    /** @return Empty if the page is an explanation, otherwise why there is none. */
    std::string errorOf(const PlaceOptions& read, const PageResult& page, PlaceReport& report)
    {
        std::string at = toString(read.at);
        if (!page.error.empty())
            return "no answer from " + at + ": " + page.error;
        if (page.status == 404 && page.body == noSuchPage)
            return at + " has no page " + std::string(placePath) + ": its version is older than this one";
        if (page.status != 200)
            return at + " answered " + std::to_string(page.status) + ": " + firstLineOf(page.body);
        std::string error = parsePlaceReport(page.body, report);
        if (error.empty() && report.outcome.empty())
            error = "it has no outcome";
        return error.empty() ? "" : "the answer of " + at + " is no explanation: " + error;
    }

    void printFlow(std::ostream& out, const PlaceOptions& read, const PlaceReport& report)
    {
        out << "Flow from " << report.from << (read.query.from == defaultCaller ? " (the default caller)" : "");
        if (report.route) {
            out << " to " << report.route->address << ", route of revision " << report.route->revision << ":";
            for (const auto& share : report.route->shares)
                out << ' ' << share.service << " (weight " << share.weight << ')';
        }
        out << ".\nBalancer " << report.balancer << " in " << report.failureDomain << ", view of revision "
            << report.view.revision;
        if (report.view.ageMs)
            out << ", confirmed " << *report.view.ageMs << " ms ago.\n";
        else
            out << ", never confirmed by the store.\n";
        if (!report.service)
            return;
        out << "Service " << report.service->name;
        if (report.service->reason == "weight")
            out << ", by the route's weights";
        else if (report.service->reason == "spare_capacity")
            out << ", which has spare capacity; the service by the route's weights has none";
        out << ".\n";
    }

    std::string_view meaningOf(std::string_view reason)
    {
        constexpr std::pair<std::string_view, std::string_view> meanings[] = {
            { "holder", "its agent holds the flow, which stays there" },
            { "lowest_load", "lowest load of the compared targets" },
            { "only_usable", "first usable target; the random draws found none" },
            { "last_resort", "all targets are suspected or returned packets" },
            { "no_service", "the route distributes no flows" },
            { "no_target", "no target of the service can take flows" },
            { "attempts_used", "the largest number of agents was tried" },
        };
        for (const auto& [name, meaning] : meanings) {
            if (name == reason)
                return meaning;
        }
        return reason;
    }

    void printOutcome(std::ostream& out, const PlaceReport& report)
    {
        if (report.holder)
            out << "Holder of the flow: agent " << *report.holder << ".\n";
        if (report.target)
            out << "Target " << report.target->id << " at " << report.target->address << " in "
                << report.target->failureDomain << ": " << meaningOf(report.target->reason) << ".\n";
        if (report.refusal)
            out << (report.outcome == "refused" ? "Refused, " : "Neither sent nor refused, ") << *report.refusal << ": "
                << meaningOf(*report.refusal) << ".\n";
    }

    void printCandidate(std::ostream& out, const PlaceCandidate& candidate)
    {
        const PlaceLoad& parts = candidate.components;
        out << (candidate.isCompared ? "  compared      " : "  not compared  ") << candidate.id << " at "
            << candidate.address << " in " << candidate.failureDomain << ", " << candidate.state
            << (candidate.isTried ? ", tried" : "") << ": load " << candidate.load << " (utilisation "
            << parts.utilisation << ", other domain " << parts.otherDomain << ", broken path " << parts.brokenPath
            << ", cold " << parts.cold << "), " << candidate.inProgress << " in progress, " << candidate.openingsSent
            << " openings since, " << candidate.slots << " slots";
        if (candidate.learnedLimit)
            out << ", limit " << *candidate.learnedLimit;
        if (candidate.serviceTimeUs)
            out << ", service time " << *candidate.serviceTimeUs / 1000.0 << " ms";
        if (candidate.reportAgeMs)
            out << ", reported " << *candidate.reportAgeMs << " ms ago.\n";
        else
            out << ", no report.\n";
    }

    void printText(std::ostream& out, const PlaceOptions& read, const PlaceReport& report)
    {
        out.precision(3);
        printFlow(out, read, report);
        printOutcome(out, report);
        for (const auto& candidate : report.candidates)
            printCandidate(out, candidate);
        if (report.candidatesNotListed)
            out << "  and " << report.candidatesNotListed << " more that were not compared.\n";
    }

}

int runPlace(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    known.add_options()("at", options::value<std::string>(), "status address of a balancer, such as 10.0.0.1:7002")(
        "to", options::value<std::string>(), "route address, to which the caller sends")(
        "service", options::value<std::string>(), "name of a service, instead of a route address")(
        "from", options::value<std::string>(), "caller's address and port; default: 192.0.2.1:40000")(
        "timeout", options::value<double>()->default_value(3), "seconds to wait");
    options::variables_map values;
    int status = parseArguments(arguments, known, "argument", placeUsage, streams, values);
    if (status >= 0)
        return status;
    PlaceOptions read;
    if (!readOptions(values, streams.err, read))
        return ctlRefused;
    PageResult page = fetchPage(read.at, placeTargetOf(read.query), read.timeout);
    PlaceReport report;
    std::string error = errorOf(read, page, report);
    if (!error.empty()) {
        streams.err << "hawthorncroftctl: " << error << '\n';
        return ctlWarnings;
    }
    if (values.count("json"))
        streams.out << page.body;
    else
        printText(streams.out, read, report);
    return report.target || report.holder ? ctlOk : ctlWarnings;
}

} // namespace hawthorncroft
