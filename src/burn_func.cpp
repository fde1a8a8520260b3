#include "burn_func.h"

#include <algorithm>
#include <set>

namespace hawthorncroft {

namespace {

    constexpr std::array<std::uint64_t, 4> windowMinutes { 5, 60, 360, 4320 };
    constexpr std::size_t parts = 60; ///< Number of equal parts of the period, which are the points of a plot.
    constexpr std::size_t maxEpisodes = 6;
    constexpr std::uint64_t episodeGap = 5; ///< Up to this many minutes with a lower burn rate do not end an episode.
    constexpr std::uint64_t eventLead = 10; ///< An event up to this many minutes before an episode may have caused it.
    constexpr double episodeRate = 6; ///< Minimum burn rate of a minute that belongs to an episode.

    /** One kind of objective, and how its misses and its error budget are computed. */
    struct ObjectiveKind {
        std::string_view name;
        std::string_view unit;
        double (*bad)(const MinuteCounts& counts);
        double (*allowed)(const Objectives& objectives, const MinuteCounts& sum, std::uint64_t minutes);
    };

    double number(std::uint64_t value) { return static_cast<double>(value); }

    constexpr std::array<ObjectiveKind, 3> kinds { {
        { "answered in time", "late or unanswered requests",
            [](const MinuteCounts& counts) {
                return number(counts.requests - std::min(counts.requests, counts.inTime));
            },
            [](const Objectives& objectives, const MinuteCounts& sum, std::uint64_t) {
                return (1 - objectives.inTimeRatio) * number(sum.requests);
            } },
        { "flows not broken", "broken flows", [](const MinuteCounts& counts) { return number(counts.broken); },
            [](const Objectives& objectives, const MinuteCounts& sum, std::uint64_t) {
                return objectives.brokenFlowRatio * number(sum.flows);
            } },
        { "available", "unavailable seconds",
            [](const MinuteCounts& counts) { return number(counts.unavailableSeconds()); },
            [](const Objectives& objectives, const MinuteCounts&, std::uint64_t minutes) {
                return objectives.unavailableSecondsPerMonth * number(minutes) / number(minutesPerMonth);
            } },
    } };

    double shareOf(double part, double whole) { return whole > 0 ? part / whole : part; }

    /** Evaluates one kind of objective for one service within a period. */
    struct ObjectiveEvaluation {
        const ObjectiveKind& kind;
        const ServiceCounts& service;
        std::uint64_t from; ///< First minute.
        std::uint64_t until; ///< Minute after the last one.

        double badBetween(std::uint64_t first, std::uint64_t end) const
        {
            double bad = 0;
            for (const auto& counts : service.minutes)
                bad += counts.minute >= first && counts.minute < end ? kind.bad(counts) : 0;
            return bad;
        }

        double allowedBetween(std::uint64_t first, std::uint64_t end) const
        {
            MinuteCounts sum;
            for (const auto& counts : service.minutes) {
                if (counts.minute >= first && counts.minute < end)
                    sum.add(counts);
            }
            return kind.allowed(service.objectives, sum, end - first);
        }
    };

    std::vector<WindowBurn> windowsOf(const ObjectiveEvaluation& evaluation)
    {
        std::vector<WindowBurn> windows;
        for (std::uint64_t minutes : windowMinutes) {
            // A window longer than the period would repeat the figures of the period under another length.
            if (minutes > evaluation.until - evaluation.from)
                break;
            std::uint64_t first = evaluation.until - minutes;
            double bad = evaluation.badBetween(first, evaluation.until);
            windows.push_back({ minutes, bad, shareOf(bad, evaluation.allowedBetween(first, evaluation.until)) });
        }
        return windows;
    }

    void fillParts(const ObjectiveEvaluation& evaluation, ObjectiveBurn& burn)
    {
        std::uint64_t length = evaluation.until - evaluation.from;
        burn.badByPart.assign(parts, 0);
        for (const auto& counts : evaluation.service.minutes) {
            if (counts.minute >= evaluation.from && counts.minute < evaluation.until)
                burn.badByPart[(counts.minute - evaluation.from) * parts / length] += evaluation.kind.bad(counts);
        }
        double bad = 0;
        for (double ofPart : burn.badByPart) {
            bad += ofPart;
            burn.remaining.push_back(1 - shareOf(bad, burn.allowed));
        }
    }

    /** Finds minutes with a high burn rate and joins nearby ones into episodes. */
    std::vector<BurnEpisode> findEpisodes(const ObjectiveEvaluation& evaluation, const ObjectiveBurn& burn)
    {
        std::vector<BurnEpisode> episodes;
        double allowedPerMinute = burn.allowed / number(evaluation.until - evaluation.from);
        for (const auto& counts : evaluation.service.minutes) {
            double bad = evaluation.kind.bad(counts);
            bool isWithin = counts.minute >= evaluation.from && counts.minute < evaluation.until;
            if (!isWithin || bad <= 0 || bad < episodeRate * allowedPerMinute)
                continue;
            if (episodes.empty() || counts.minute > episodes.back().until + episodeGap)
                episodes.push_back({ .from = counts.minute });
            episodes.back().until = counts.minute + 1;
            episodes.back().bad += bad;
        }
        return episodes;
    }

    void addEvents(BurnEpisode& episode, const std::vector<BurnEvent>& events, std::uint32_t service)
    {
        for (const auto& event : events) {
            std::uint64_t minute = event.at / 60;
            bool isNear = minute + eventLead >= episode.from && minute < episode.until;
            if (isNear && (!event.service || event.service == service))
                episode.events.push_back(event.text);
        }
    }

    void fillEpisodes(const ObjectiveEvaluation& evaluation, const std::vector<BurnEvent>& events, ObjectiveBurn& burn)
    {
        burn.episodes = findEpisodes(evaluation, burn);
        std::stable_sort(burn.episodes.begin(), burn.episodes.end(),
            [](const BurnEpisode& a, const BurnEpisode& b) { return a.bad > b.bad; });
        burn.episodes.resize(std::min(burn.episodes.size(), maxEpisodes));
        burn.backgroundShare = burn.bad > 0 ? 1 : 0;
        for (auto& episode : burn.episodes) {
            episode.share = episode.bad / burn.bad;
            burn.backgroundShare = std::max(0.0, burn.backgroundShare - episode.share);
            addEvents(episode, events, evaluation.service.id);
        }
    }

    ObjectiveBurn evaluate(const ObjectiveEvaluation& evaluation, const std::vector<BurnEvent>& events)
    {
        ObjectiveBurn burn { .name = std::string(evaluation.kind.name), .unit = std::string(evaluation.kind.unit) };
        burn.bad = evaluation.badBetween(evaluation.from, evaluation.until);
        burn.allowed = evaluation.allowedBetween(evaluation.from, evaluation.until);
        burn.spent = shareOf(burn.bad, burn.allowed);
        burn.windows = windowsOf(evaluation);
        fillParts(evaluation, burn);
        fillEpisodes(evaluation, events, burn);
        return burn;
    }

    /** Counts of one service, summed over processes. */
    struct MergedService {
        ServiceCounts head;
        std::map<std::uint64_t, MinuteCounts> minutes;
    };

    void addService(std::map<std::uint32_t, MergedService>& services, const ServiceCounts& service)
    {
        auto [entry, isNew] = services.try_emplace(service.id);
        MergedService& sum = entry->second;
        if (isNew)
            sum.head = { service.id, service.name, service.objectives, {} };
        for (const auto& counts : service.minutes) {
            MinuteCounts& minute = sum.minutes[counts.minute];
            minute.minute = counts.minute;
            minute.add(counts);
        }
    }

    void addEventsOf(BurnCounts& sum, const BurnCounts& counts)
    {
        // Each process records the same configuration changes within seconds, so duplicates are dropped.
        for (const auto& event : counts.events) {
            bool isKnown = std::any_of(sum.events.begin(), sum.events.end(), [&](const BurnEvent& known) {
                std::uint64_t apart = known.at > event.at ? known.at - event.at : event.at - known.at;
                return known.text == event.text && known.service == event.service && apart < 60;
            });
            if (!isKnown)
                sum.events.push_back(event);
        }
    }

}

BurnCounts merged(const std::vector<BurnCounts>& all)
{
    BurnCounts sum;
    std::map<std::uint32_t, MergedService> services;
    for (const auto& counts : all) {
        sum.from = sum.sources.empty() ? counts.from : std::min(sum.from, counts.from);
        sum.until = std::max(sum.until, counts.until);
        sum.sources.insert(sum.sources.end(), counts.sources.begin(), counts.sources.end());
        addEventsOf(sum, counts);
        for (const auto& service : counts.services)
            addService(services, service);
    }
    for (auto& [id, service] : services) {
        for (const auto& [minute, counts] : service.minutes)
            service.head.minutes.push_back(counts);
        sum.services.push_back(std::move(service.head));
    }
    return sum;
}

BurnReport computeBurn(const BurnCounts& counts, std::uint64_t maxMinutes)
{
    BurnReport report { .sources = counts.sources, .from = counts.from, .until = counts.until };
    if (report.until <= report.from)
        return report;
    if (report.until - report.from > maxMinutes)
        report.from = report.until - maxMinutes;
    for (const auto& service : counts.services) {
        ServiceBurn& burn = report.services.emplace_back(ServiceBurn { service.id, service.name, {} });
        for (const auto& kind : kinds)
            burn.objectives.push_back(evaluate({ kind, service, report.from, report.until }, counts.events));
    }
    return report;
}

} // namespace hawthorncroft
