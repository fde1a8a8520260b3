#include "ctl_func.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <ostream>
#include <set>
#include <sstream>

namespace hawthorncroft {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

    constexpr const char* explainLogUsage
        = "Usage: hawthorncroftctl explain --log FILE... (--request ID | --flow CALLER:PORT) [--json]\n"
          "Prints the logged decisions about a request of a transparent flow, in order of time, and the cause of its "
          "end.";

    /** Log line of one process. */
    struct LogLine {
        double seconds {}; ///< Time prefixed by the log collector, otherwise the time logged by the process.
        json::object fields;

        std::string text(const char* name) const
        {
            const json::value* value = fields.if_contains(name);
            return value && value->is_string() ? std::string(value->get_string()) : std::string();
        }
        std::string event() const { return text("event"); }
    };

    /** Explanation of a logged event that can decide the outcome of a flow. */
    struct Cause {
        std::string_view event;
        std::string_view meaning;
    };

    /** Events that decide the outcome of a flow. The last line of a flow with one of these events is the cause. */
    constexpr std::array<Cause, 17> causes { {
        { "request_answered", "the target answered; what came later was lost on the way to the caller" },
        { "flow_refused", "refused before it ran; the line gives the reason" },
        { "refusal_withheld", "no agent took the flow, and it was not refused: another packet may have opened it" },
        { "request_reset", "the target reset the flow while the request was under way" },
        { "flow_ended_with_target", "the target's process ended while the request was under way" },
        { "flow_lost", "no agent's target holds the flow: the target's process ended or restarted" },
        { "locate_unanswered",
            "a balancer that did not know the flow asked, and the agents named as silent did not answer" },
        { "locate_incomplete", "no agent holds the flow, but not all could be asked, so that nothing was reset" },
        { "request_expired", "the request waited for a slot until its time budget was used up" },
        { "request_abandoned", "the request had expired and was sent again too late to be answered" },
        { "transfer_released", "bytes of the request were missing at the agent when its last packet was delivered" },
        { "request_evicted", "the queue was full, and the request had the least chance to be answered" },
        { "request_queued", "the request waits for a slot at the agent" },
        { "packet_returned", "the target returned a packet: it no longer held the flow" },
        { "request_started", "the target got the request and no answer of it was seen: it ended or does not respond" },
        { "open_declined", "the last agent that was asked declined, and nobody else took the flow in time" },
        { "open_placed", "the opening packet was sent to an agent that never answered" },
    } };

    std::optional<LogLine> parseLine(const std::string& line)
    {
        std::size_t begin = line.find('{');
        if (begin == std::string::npos)
            return std::nullopt;
        json::error_code error;
        json::value value = json::parse(line.substr(begin), error);
        if (error || !value.is_object() || !value.get_object().contains("event"))
            return std::nullopt;
        LogLine result { .fields = std::move(value.get_object()) };
        const json::value* processTime = result.fields.if_contains("t_us");
        result.seconds
            = processTime && processTime->is_int64() ? static_cast<double>(processTime->get_int64()) / 1e6 : 0;
        std::istringstream prefix(line.substr(0, begin));
        if (double collectorTime = 0; prefix >> collectorTime)
            result.seconds = collectorTime;
        return result;
    }

    bool readLines(const std::vector<std::string>& files, std::ostream& err, std::vector<LogLine>& lines)
    {
        for (const auto& name : files) {
            std::ifstream file(name);
            if (!file) {
                err << "hawthorncroftctl: " << name << " cannot be read\n";
                return false;
            }
            for (std::string line; std::getline(file, line);) {
                if (auto parsed = parseLine(line))
                    lines.push_back(std::move(*parsed));
            }
        }
        std::stable_sort(
            lines.begin(), lines.end(), [](const auto& a, const auto& b) { return a.seconds < b.seconds; });
        return true;
    }

    using LoggedFlow = std::pair<std::string, std::string>; ///< Address and port of the caller, and of the service.

    std::set<LoggedFlow> findFlows(
        const std::vector<LogLine>& lines, const std::string& request, const std::string& caller)
    {
        std::set<LoggedFlow> flows;
        for (const auto& line : lines) {
            bool isWanted = !request.empty() ? line.text("request") == request : line.text("flow") == caller;
            if (isWanted && !line.text("flow").empty())
                flows.emplace(line.text("flow"), line.text("to"));
        }
        return flows;
    }

    /**
     * Selects the lines of the flows that belong to one request.
     * @param request Id of the request; all lines of the flows are selected if it is empty.
     */
    std::vector<const LogLine*> selectLines(
        const std::vector<LogLine>& lines, const std::set<LoggedFlow>& flows, const std::string& request)
    {
        std::vector<const LogLine*> selectedLines;
        bool wasSeen = false;
        for (const auto& line : lines) {
            if (!flows.contains({ line.text("flow"), line.text("to") }))
                continue;
            bool isOther = !request.empty() && !line.text("request").empty() && line.text("request") != request;
            if (isOther && wasSeen)
                break; // The next request of the flow starts here.
            wasSeen |= !request.empty() && line.text("request") == request;
            if (!isOther)
                selectedLines.push_back(&line);
        }
        return selectedLines;
    }

    std::string_view causeOf(const std::vector<const LogLine*>& selectedLines)
    {
        for (auto line = selectedLines.rbegin(); line != selectedLines.rend(); ++line) {
            for (const auto& cause : causes) {
                if ((*line)->event() == cause.event)
                    return cause.meaning;
            }
        }
        return "no line records a decision about the flow; lines may be left out under load, see lines_left_out";
    }

    void print(std::ostream& out, const LogLine& line)
    {
        out << std::fixed;
        out.precision(4);
        out << line.seconds << ' ' << line.text("vm") << ' ' << line.event() << ':';
        for (const auto& [name, value] : line.fields) {
            bool isShown = name != "t_us" && name != "part" && name != "vm" && name != "event";
            if (isShown)
                out << ' ' << name << '='
                    << (value.is_string() ? std::string(value.get_string()) : json::serialize(value));
        }
        out << '\n';
    }

}

int runExplainLog(const CtlArguments& arguments, CtlStreams streams)
{
    options::options_description known("Options");
    known.add_options()("request", options::value<std::string>()->default_value(""), "id of the request")(
        "flow", options::value<std::string>()->default_value(""), "caller's address and port");
    options::variables_map values;
    int status = parseArguments(arguments, known, "log", explainLogUsage, streams, values);
    if (status >= 0)
        return status;
    auto request = values["request"].as<std::string>();
    auto caller = values["flow"].as<std::string>();
    if (request.empty() == caller.empty()) {
        streams.err << "hawthorncroftctl: explain --log needs either --request or --flow\n";
        return ctlRefused;
    }
    std::vector<LogLine> lines;
    if (!readLines(values["log"].as<std::vector<std::string>>(), streams.err, lines))
        return ctlRefused;
    std::set<LoggedFlow> flows = findFlows(lines, request, caller);
    std::vector<const LogLine*> selectedLines = selectLines(lines, flows, request);
    if (selectedLines.empty()) {
        streams.out << "no line names it: no process saw its packets, or the lines were left out under load\n";
        return ctlWarnings;
    }
    for (const LogLine* line : selectedLines)
        print(streams.out, *line);
    streams.out << "cause: " << causeOf(selectedLines) << '\n';
    return ctlOk;
}

} // namespace hawthorncroft
