#include "transit_balancer_base.h"

#include "table/transit_limits.h"
#include "transit_place_func.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    template <typename Number> std::optional<Number> unlessZero(Number value)
    {
        return value ? std::optional(value) : std::nullopt;
    }

    std::optional<std::uint64_t> millisecondsOf(std::optional<Duration> time)
    {
        return time ? std::optional(static_cast<std::uint64_t>(std::max<std::int64_t>(time->us / 1000, 0)))
                    : std::nullopt;
    }

    PlaceRoute describe(const RouteRecord& route, Revision revision)
    {
        PlaceRoute description { .address = toString(route.address), .revision = revision.value, .shares = {} };
        for (const auto& share : route.shares) {
            if (description.shares.size() < maxExplainedItems)
                description.shares.push_back({ share.service, share.weight });
        }
        return description;
    }

    PlaceTarget describe(const TargetRecord& target, std::string_view reason)
    {
        return { .id = target.id,
            .address = toString(target.address),
            .failureDomain = target.failureDomain,
            .reason = std::string(reason) };
    }

    PlaceCandidate describe(const TargetAssessment& assessment)
    {
        const TargetRecord& target = assessment.target->record;
        const LoadTerms& load = assessment.load;
        return { .id = target.id,
            .address = toString(target.address),
            .failureDomain = target.failureDomain,
            .state = std::string(nameOf(assessment.state)),
            .load = load.sum(),
            .components = { .utilisation = load.utilisation,
                .otherDomain = load.otherDomain,
                .brokenPath = load.brokenPath,
                .cold = load.cold },
            .inProgress = assessment.report.busy,
            .openingsSent = assessment.sentSinceReport,
            .slots = target.slots,
            .learnedLimit = unlessZero(assessment.report.limit),
            .serviceTimeUs = unlessZero(assessment.report.serviceTimeUs),
            .reportAgeMs = millisecondsOf(assessment.reportAge) };
    }

    bool contains(const std::vector<const TargetEntry*>& targets, const TargetEntry* target)
    {
        return std::find(targets.begin(), targets.end(), target) != targets.end();
    }

    /** Appends targets that are not in the list, until it has `maxExplainedItems`. */
    void appendOthers(std::vector<const TargetEntry*>& listed, const std::vector<const TargetEntry*>& others)
    {
        for (const TargetEntry* target : others) {
            if (listed.size() >= maxExplainedItems)
                return;
            if (!contains(listed, target))
                listed.push_back(target);
        }
    }

}

HttpReply TransitBalancer::page(std::string_view path, std::string_view query, TimePoint now) const
{
    if (path != placePath)
        return TransitCore::page(path, query, now);
    const TransitView& view = m_fleet.view();
    PlaceQuery parsed;
    std::string error = parsePlaceQuery(query, parsed);
    if (!error.empty())
        return { 400, error + "\n" };
    if (!view.hasConfiguration())
        return { 503, "no view yet: opening packets wait for it\n" };
    std::string atRevision = " at revision " + std::to_string(view.through().revision.value) + "\n";
    if (parsed.to && !view.routeAt(*parsed.to))
        return { 404, "no route for " + toString(*parsed.to) + atRevision };
    if (!parsed.to && !view.serviceNamed(parsed.service) && view.targetsOf(parsed.service).empty())
        return { 404, "no service of this name" + atRevision };
    return { 200, toJson(explainPlace(parsed, now)) + "\n", "application/json" };
}

PlaceReport TransitBalancer::explainPlace(const PlaceQuery& query, TimePoint now) const
{
    const TransitView& view = m_fleet.view();
    FlowTuple flow { query.from, query.to.value_or(Endpoint {}) };
    PlaceReport report {
        .balancer = toString(m_fleet.self()), .failureDomain = m_options.failureDomain, .from = toString(query.from)
    };
    report.view = { .revision = view.through().revision.value, .ageMs = millisecondsOf(m_fleet.viewAge(now)) };
    const std::string* service = &query.service;
    std::string_view reason = "requested";
    if (const RouteRecord* route = query.to ? view.routeAt(*query.to) : nullptr) {
        report.route = describe(*route, view.routePositionAt(flow.service).revision);
        service = serviceFor(*route, flow, now);
        reason = service == serviceByWeight(*route, flow) ? "weight" : "spare_capacity";
    }
    if (!service) {
        report.outcome = "refused";
        report.refusal = "no_service";
        return report;
    }
    report.service = { *service, std::string(reason) };
    explainTarget(report, *service, flow, now);
    return report;
}

void TransitBalancer::explainTarget(
    PlaceReport& report, const std::string& service, const FlowTuple& flow, TimePoint now) const
{
    OpenStanding standing = openStandingOf(flow);
    PlacementTrace trace;
    if (standing.holder) {
        report.outcome = "held";
        report.holder = toString(*standing.holder);
        for (const TargetEntry* target : targetsAt({ *standing.holder }, service))
            report.target = describe(target->record, "holder");
    } else {
        NextTarget next = chooseNext(service, flow, standing.tried, false, now, &trace);
        if (next.target) {
            report.outcome = "placed";
            report.target = describe(next.target->record, nameOf(trace.basis));
        } else {
            // An agent that was tried and has not answered may have opened the flow, so that it is not refused.
            report.outcome = standing.tried.empty() ? "refused" : "unanswered";
            report.refusal = next.refusal;
        }
    }
    explainCandidates(report, service, trace, standing, now);
}

void TransitBalancer::explainCandidates(PlaceReport& report, const std::string& service, const PlacementTrace& trace,
    const OpenStanding& standing, TimePoint now) const
{
    const auto& all = m_fleet.view().targetsOf(service);
    auto tried = targetsAt(standing.tried, service);
    auto listed = trace.compared;
    appendOthers(listed, tried);
    if (standing.holder)
        appendOthers(listed, targetsAt({ *standing.holder }, service));
    appendOthers(listed, all);
    for (const auto& assessment : m_placement.assess(m_fleet.view(), service, listed, now)) {
        PlaceCandidate& candidate = report.candidates.emplace_back(describe(assessment));
        candidate.isCompared = contains(trace.compared, assessment.target);
        candidate.isTried = contains(tried, assessment.target);
    }
    report.candidatesNotListed = all.size() - listed.size();
}

std::vector<const TargetEntry*> TransitBalancer::targetsAt(
    const std::vector<Endpoint>& agents, const std::string& service) const
{
    std::vector<const TargetEntry*> targets;
    for (const TargetEntry* target : m_fleet.view().targetsOf(service)) {
        if (std::find(agents.begin(), agents.end(), agentOf(target->record.address.address)) != agents.end())
            targets.push_back(target);
    }
    return targets;
}

} // namespace hawthorncroft
