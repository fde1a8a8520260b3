#include "burn_func.h"

#include <chrono>
#include <cmath>
#include <cstdio>

namespace hawthorncroft {

namespace {

    template <typename... Values> std::string formatted(const char* format, Values... values)
    {
        std::array<char, 64> buffer {};
        std::snprintf(buffer.data(), buffer.size(), format, values...);
        return buffer.data();
    }

    void addEpisode(std::string& text, const BurnEpisode& episode)
    {
        text += "    " + minuteText(episode.from) + ", " + lengthText(episode.until - episode.from) + ": "
            + numberText(episode.bad) + ", " + percentText(episode.share) + " of what was spent";
        for (const auto& event : episode.events)
            text += "; " + event;
        text += '\n';
    }

    void addObjective(std::string& text, const ObjectiveBurn& burn)
    {
        text += "  " + burn.name + ": " + percentText(burn.spent) + " of the error budget spent, "
            + numberText(burn.bad) + " of " + numberText(burn.allowed) + " allowed " + burn.unit;
        for (std::size_t i = 0; i < burn.windows.size(); ++i)
            text += (i ? ", " : "; burn rate ") + numberText(burn.windows[i].rate) + " over "
                + lengthText(burn.windows[i].minutes);
        text += '\n';
        for (const auto& episode : burn.episodes)
            addEpisode(text, episode);
        if (!burn.episodes.empty() && burn.backgroundShare > 0)
            text += "    all other minutes: " + percentText(burn.backgroundShare) + " of what was spent\n";
    }

}

std::string minuteText(std::uint64_t minute)
{
    constexpr std::uint64_t minutesPerDay = 1440;
    using namespace std::chrono;
    year_month_day date { sys_days { days { static_cast<int>(minute / minutesPerDay) } } };
    std::uint64_t ofDay = minute % minutesPerDay;
    return formatted("%04d-%02u-%02u %02u:%02u", static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()), static_cast<unsigned>(ofDay / 60), static_cast<unsigned>(ofDay % 60));
}

std::string numberText(double number)
{
    if (number < 10)
        return formatted(number == std::floor(number) ? "%.0f" : "%.1f", number);
    std::string digits = formatted("%.0f", number);
    for (std::size_t place = digits.size(); place > 3; place -= 3)
        digits.insert(place - 3, ",");
    return digits;
}

std::string percentText(double share) { return formatted("%.1f %%", share * 100); }

std::string lengthText(std::uint64_t minutes)
{
    if (minutes >= 2880)
        return numberText(static_cast<double>(minutes) / 1440) + " d";
    if (minutes >= 60)
        return numberText(static_cast<double>(minutes) / 60) + " h";
    return std::to_string(minutes) + " min";
}

std::string toText(const BurnReport& report)
{
    std::string text = "Burn report from " + minuteText(report.from) + " to " + minuteText(report.until) + " UTC ("
        + lengthText(report.until - report.from) + ").\nFigures come from:\n";
    for (const auto& source : report.sources)
        text += "  " + source.process + " since " + minuteText(source.since / 60) + '\n';
    for (const auto& service : report.services) {
        text += service.name + " (service " + std::to_string(service.id) + ")\n";
        for (const auto& objective : service.objectives)
            addObjective(text, objective);
    }
    if (report.services.empty())
        text += "No service was used.\n";
    return text;
}

} // namespace hawthorncroft
