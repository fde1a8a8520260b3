#include "balancer_report.h"

#include "table/balancer_times.h"

#include <charconv>

namespace hawthorncroft {

namespace {

    constexpr std::size_t countedNames = 1000; ///< Maximum number of unknown names counted at a time.
    constexpr std::size_t reportedNames = 200; ///< Maximum number of unknown names in one report.
    constexpr std::size_t similarDistance = 3; ///< Maximum edit distance of a similar name.
    constexpr std::size_t similarNames = 3; ///< Maximum number of similar names reported for an unknown name.

    std::uint64_t queryNumber(const std::string& query, std::string_view name)
    {
        std::uint64_t number = 0;
        std::string text = queryValue(query, name).value_or("");
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::vector<SimilarNameReport> similarTo(const std::string& name, const ConfigView& view)
    {
        std::vector<SimilarNameReport> reports;
        for (const auto& similar : closestNames(name, view.names(), similarDistance, similarNames)) {
            const ServiceConfig* service = view.service(similar.service);
            reports.push_back({ .name = similar.name,
                .service = similar.service.value,
                .serviceName = service ? service->name : "",
                .distance = similar.distance });
        }
        return reports;
    }

    std::string_view matchOf(const ServiceConfig& service, const std::string& name)
    {
        if (service.name == name)
            return "name";
        bool isFurtherName = std::find(service.names.begin(), service.names.end(), name) != service.names.end();
        return isFurtherName ? "further name" : "corrected spelling";
    }

    std::string_view reasonOf(const BalancerCore& core)
    {
        if (core.isServing())
            return "";
        return core.isIsolated() ? nameOf(Reason::Isolated) : nameOf(Reason::NotReady);
    }

}

const std::array<BalancerReport::Route, 3> BalancerReport::routes {
    Route { "/status", &BalancerReport::status },
    Route { "/names", &BalancerReport::names },
    Route { "/explain", &BalancerReport::explain },
};

BalancerReport::BalancerReport(const ProcessSettings& settings, std::uint64_t second)
    : m_process("balancer", settings, second)
    , m_names(countedNames)
{
}

ForwardedReply BalancerReport::answer(const ForwardedRequest& request, const BalancerCore& core, TimePoint now) const
{
    for (const Route& route : routes) {
        if (route.path == request.path)
            return { .id = request.id, .body = (this->*route.answer)(request.argument, core, now) };
    }
    return { .id = request.id, .status = 404, .body = {} };
}

std::string BalancerReport::status(const std::string&, const BalancerCore& core, TimePoint) const
{
    StatusReport report = m_process.status(core.view());
    report.serving = core.isServing();
    report.reason = reasonOf(core);
    for (std::size_t i = 0; i < core.counters().size(); ++i)
        report.counters[std::string(nameOf(static_cast<BalancerCounter>(i)))] = core.counters()[i];
    return toJson(report);
}

std::string BalancerReport::names(const std::string&, const BalancerCore& core, TimePoint) const
{
    NamesReport report;
    report.since = m_process.startedAt();
    report.total = m_names.total();
    report.errorBound = m_names.errorBound();
    for (const auto& counted : m_names.top(reportedNames)) {
        // Skips names that resolve by now, because an operator has added them to the configuration.
        if (core.view().resolve(counted.name).service)
            continue;
        report.names.push_back({ .name = counted.name,
            .count = counted.count,
            .error = counted.error,
            .lastSeen = counted.lastSecond,
            .similar = similarTo(counted.name, core.view()) });
    }
    return toJson(report);
}

std::string BalancerReport::explain(const std::string& query, const BalancerCore& core, TimePoint now) const
{
    ExplainReport report;
    report.name = queryValue(query, "name").value_or("");
    Resolution resolution = core.view().resolve(report.name);
    report.revision = resolution.revision.value;
    report.service = resolution.service.value;
    report.match = "none";
    report.serving = core.isServing();
    const ServiceConfig* service = core.view().service(resolution.service);
    if (!service) {
        report.similar = similarTo(report.name, core.view());
        return toJson(report);
    }
    report.serviceName = service->name;
    report.match = matchOf(*service, report.name);
    FlowKey key { CallerId(queryNumber(query, "caller")), FlowId(queryNumber(query, "flow")) };
    report.ranks = ranksOf(core, resolution.service, key, now);
    return toJson(report);
}

std::vector<RankReport> BalancerReport::ranksOf(
    const BalancerCore& core, ServiceId service, const FlowKey& key, TimePoint now) const
{
    std::array<TargetId, ranksConsidered> ranks {};
    std::size_t found = core.view().ranksOf(service).rank(key, ranks);
    TargetId chosen = core.preferredTarget(now, service, key);
    std::vector<RankReport> reports;
    for (std::size_t i = 0; i < found; ++i) {
        const TargetConfig* target = core.view().target(ranks[i]);
        RankReport rank { .target = ranks[i].value,
            .vm = target->vm,
            .failureDomain = target->failureDomain,
            .agent = toString(target->agent),
            .eligibility = std::string(nameOf(core.eligibilityOf(now, ranks[i]))),
            .chosen = ranks[i] == chosen };
        if (auto load = core.loadOf(now, ranks[i], FlowKind::Request))
            rank.load = *load;
        rank.loadAgeMs = static_cast<std::uint64_t>(core.loadAge(now, ranks[i], FlowKind::Request).us / 1000);
        reports.push_back(std::move(rank));
    }
    return reports;
}

} // namespace hawthorncroft
