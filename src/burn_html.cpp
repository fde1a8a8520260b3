#include "burn_func.h"

#include <algorithm>
#include <cstdio>

namespace hawthorncroft {

namespace {

    constexpr double plotWidth = 360;
    constexpr double plotHeight = 120;
    constexpr double plotLeft = 46; ///< Width reserved for the labels of the vertical axis.
    constexpr double plotTop = 8;
    constexpr double warnSpent = 0.75; ///< Share of the budget from which an objective is shown as at risk.

    constexpr std::string_view style = R"(
:root{color-scheme:light}
*{box-sizing:border-box}
body{margin:0 auto;padding:16px;max-width:760px;background:#f6f7f9;color:#1c2430;
 font:16px/1.45 system-ui,-apple-system,"Segoe UI",Roboto,"Noto Sans","DejaVu Sans",sans-serif}
h1{font-size:1.35rem;margin:0 0 4px}
h2{font-size:1.15rem;margin:24px 0 8px;overflow-wrap:anywhere}
h3{font-size:1rem;margin:0;display:flex;justify-content:space-between;gap:8px;flex-wrap:wrap}
p,ul{margin:4px 0}
ul{padding-left:20px}
.note{color:#4a5568;font-size:.9rem}
section{background:#fff;border:1px solid #dde2ea;border-radius:10px;padding:12px 14px;margin:10px 0}
.ok{color:#17693a}.risk{color:#8a5300}.missed{color:#b3261e}
.rates{display:grid;grid-template-columns:repeat(auto-fit,minmax(70px,1fr));gap:6px;margin:8px 0}
.rates div{background:#f1f4f8;border-radius:8px;padding:6px 4px;text-align:center}
.rates b{display:block}
.rates span{font-size:.8rem;color:#4a5568}
svg{display:block;width:100%;height:auto;margin:6px 0}
svg text{font-size:12px;fill:#4a5568;font-family:inherit}
table{border-collapse:collapse;width:100%;font-size:.9rem}
th,td{text-align:left;vertical-align:top;padding:5px 6px 5px 0;border-top:1px solid #e6eaf0}
th{font-weight:600;color:#4a5568}
td.number,th.number{text-align:right;white-space:nowrap;padding-right:14px}
.summary td:first-child{overflow-wrap:anywhere}
)";

    std::string escaped(std::string_view text)
    {
        std::string safe;
        for (char c : text) {
            if (c == '<')
                safe += "&lt;";
            else if (c == '>')
                safe += "&gt;";
            else if (c == '&')
                safe += "&amp;";
            else if (c == '"')
                safe += "&quot;";
            else
                safe += c;
        }
        return safe;
    }

    std::string coordinate(double value)
    {
        std::array<char, 32> buffer {};
        std::snprintf(buffer.data(), buffer.size(), "%.1f", value);
        return buffer.data();
    }

    std::string line(double x1, double y1, double x2, double y2, std::string_view colour)
    {
        return "<line x1=\"" + coordinate(x1) + "\" y1=\"" + coordinate(y1) + "\" x2=\"" + coordinate(x2) + "\" y2=\""
            + coordinate(y2) + "\" stroke=\"" + std::string(colour) + "\"/>";
    }

    std::string label(double x, double y, std::string_view anchor, std::string_view text)
    {
        return "<text x=\"" + coordinate(x) + "\" y=\"" + coordinate(y) + "\" text-anchor=\"" + std::string(anchor)
            + "\">" + escaped(text) + "</text>";
    }

    std::string beginPlot(double height, const std::string& title)
    {
        return "<svg viewBox=\"0 0 " + coordinate(plotWidth) + ' ' + coordinate(height) + "\" role=\"img\"><title>"
            + escaped(title) + "</title>";
    }

    std::string_view classOf(double spent)
    {
        if (spent >= 1)
            return "missed";
        return spent >= warnSpent ? "risk" : "ok";
    }

    std::string_view colourOf(double spent)
    {
        if (spent >= 1)
            return "#b3261e";
        return spent >= warnSpent ? "#b26a00" : "#1a7f47";
    }

    /** Plots the budget left over the period, starting at 100 %. Below 0 % the objective is missed. */
    std::string remainingPlot(const BurnReport& report, const ObjectiveBurn& burn)
    {
        double lowest = std::min(0.0, *std::min_element(burn.remaining.begin(), burn.remaining.end()));
        double bottom = plotTop + plotHeight;
        auto yOf = [&](double share) { return plotTop + (1 - share) / (1 - lowest) * plotHeight; };
        auto xOf = [&](std::size_t point) {
            return plotLeft
                + static_cast<double>(point) / static_cast<double>(burn.remaining.size()) * (plotWidth - plotLeft - 4);
        };
        std::string svg = beginPlot(bottom + 18, "Error budget left over time: " + burn.name);
        svg += line(plotLeft, yOf(1), plotWidth - 4, yOf(1), "#dde2ea")
            + label(plotLeft - 4, yOf(1) + 4, "end", "100 %");
        svg += line(plotLeft, yOf(0), plotWidth - 4, yOf(0), "#8592a6") + label(plotLeft - 4, yOf(0) + 4, "end", "0 %");
        if (lowest < -0.15)
            svg += label(plotLeft - 4, bottom + 4, "end", numberText(-lowest * 100).insert(0, "-") + " %");
        std::string points = coordinate(plotLeft) + ',' + coordinate(yOf(1));
        for (std::size_t i = 0; i < burn.remaining.size(); ++i)
            points += ' ' + coordinate(xOf(i + 1)) + ',' + coordinate(yOf(burn.remaining[i]));
        svg += "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + std::string(colourOf(burn.spent))
            + "\" points=\"" + points + "\"/>";
        svg += label(plotLeft, bottom + 15, "start", minuteText(report.from).substr(0, 10));
        svg += label(plotWidth - 4, bottom + 15, "end", minuteText(report.until).substr(0, 10));
        return svg + "</svg>";
    }

    /** Plots the misses of the objective in each part of the period. */
    std::string spendingPlot(const ObjectiveBurn& burn)
    {
        constexpr double height = 48;
        double highest = std::max(1.0, *std::max_element(burn.badByPart.begin(), burn.badByPart.end()));
        double step = (plotWidth - plotLeft - 4) / static_cast<double>(burn.badByPart.size());
        std::string svg = beginPlot(height + 14, "Spending over time: " + burn.unit);
        for (std::size_t i = 0; i < burn.badByPart.size(); ++i) {
            double bar = burn.badByPart[i] / highest * height;
            if (bar <= 0)
                continue;
            bar = std::max(bar, 1.0);
            svg += "<rect x=\"" + coordinate(plotLeft + static_cast<double>(i) * step) + "\" y=\""
                + coordinate(10 + height - bar) + "\" width=\"" + coordinate(step * 0.8) + "\" height=\""
                + coordinate(bar) + "\" fill=\"#5b7fb5\"/>";
        }
        svg += line(plotLeft, 10 + height, plotWidth - 4, 10 + height, "#8592a6");
        svg += label(plotLeft - 4, 14, "end", numberText(highest)) + label(plotLeft - 4, 10 + height, "end", "0");
        return svg + "</svg>";
    }

    std::string ratesOf(const ObjectiveBurn& burn)
    {
        std::string html = "<div class=\"rates\">";
        for (const auto& window : burn.windows)
            html += "<div><b class=\"" + std::string(window.rate > 1 ? "missed" : "ok") + "\">"
                + numberText(window.rate) + "</b><span>last " + lengthText(window.minutes) + "</span></div>";
        return html + "</div>";
    }

    std::string episodesOf(const ObjectiveBurn& burn)
    {
        if (burn.episodes.empty())
            return "<p class=\"note\">No minute stands out.</p>";
        std::string html = "<table><tr><th>When (UTC)</th><th class=\"number\">Spent</th><th>Near it</th></tr>";
        for (const auto& episode : burn.episodes) {
            html += "<tr><td>" + minuteText(episode.from) + "<br><span class=\"note\">"
                + lengthText(episode.until - episode.from) + "</span></td><td class=\"number\">"
                + percentText(episode.share) + "<br><span class=\"note\">" + numberText(episode.bad)
                + "</span></td><td>";
            for (std::size_t i = 0; i < episode.events.size(); ++i)
                html += (i ? "; " : "") + escaped(episode.events[i]);
            html += "</td></tr>";
        }
        html += "<tr><td>All other minutes</td><td class=\"number\">" + percentText(burn.backgroundShare)
            + "</td><td></td></tr>";
        return html + "</table>";
    }

    std::string objectiveSection(const BurnReport& report, const ObjectiveBurn& burn)
    {
        std::string html = "<section><h3><span>" + escaped(burn.name) + "</span><span class=\""
            + std::string(classOf(burn.spent)) + "\">" + percentText(burn.spent) + " spent</span></h3>";
        if (burn.bad <= 0)
            return html + "<p class=\"note\">No " + escaped(burn.unit) + "; " + numberText(burn.allowed)
                + " were allowed.</p></section>";
        html += "<p class=\"note\">" + numberText(burn.bad) + " of " + numberText(burn.allowed) + " allowed "
            + escaped(burn.unit) + ". Budget left over time:</p>";
        html += remainingPlot(report, burn);
        html += "<p class=\"note\">Burn rate (1 spends the budget exactly by the end of the period):</p>"
            + ratesOf(burn);
        html
            += "<p class=\"note\">When it was spent (" + escaped(burn.unit) + "), and the minutes that spent most:</p>";
        return html + spendingPlot(burn) + episodesOf(burn) + "</section>";
    }

    /** Table with one row per service that gives the spent share of each error budget. */
    std::string summaryOf(const BurnReport& report)
    {
        if (report.services.empty())
            return {};
        std::string html = "<section><table class=\"summary\"><tr><th>Budget spent</th>";
        for (const auto& objective : report.services.front().objectives)
            html += "<th class=\"number\" style=\"white-space:normal\">" + escaped(objective.name) + "</th>";
        html += "</tr>";
        for (const auto& service : report.services) {
            html += "<tr><td><a href=\"#s" + std::to_string(service.id) + "\">" + escaped(service.name) + "</a></td>";
            for (const auto& objective : service.objectives)
                html += "<td class=\"number " + std::string(classOf(objective.spent)) + "\">"
                    + percentText(objective.spent) + "</td>";
            html += "</tr>";
        }
        return html + "</table></section>";
    }

}

std::string toHtml(const BurnReport& report)
{
    std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
                       "<title>Burn report</title><style>";
    html += style;
    html += "</style></head><body><h1>Service-level burn report</h1><p>" + minuteText(report.from) + " to "
        + minuteText(report.until) + " UTC (" + lengthText(report.until - report.from)
        + ")</p><p class=\"note\">Figures come from these processes; what happened before a process started, or at "
          "other "
          "processes, is not in them:</p><ul class=\"note\">";
    for (const auto& source : report.sources)
        html += "<li>" + escaped(source.process) + " since " + minuteText(source.since / 60) + "</li>";
    html += "</ul>" + summaryOf(report);
    for (const auto& service : report.services) {
        html += "<h2 id=\"s" + std::to_string(service.id) + "\">" + escaped(service.name)
            + " <span class=\"note\">service " + std::to_string(service.id) + "</span></h2>";
        for (const auto& objective : service.objectives)
            html += objectiveSection(report, objective);
    }
    if (report.services.empty())
        html += "<p>No service was used.</p>";
    return html + "</body></html>\n";
}

} // namespace hawthorncroft
