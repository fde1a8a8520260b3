#include "standin_target_type.h"

#include <array>
#include <utility>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    using Settings = StandinTargetSettings;
    using Truth = StandinTargetTruth;

    constexpr std::array<std::pair<std::string_view, std::uint64_t Settings::*>, 15> settingFields { {
        { "service", &Settings::service },
        { "slots", &Settings::slots },
        { "connections", &Settings::connections },
        { "service_ms", &Settings::serviceMs },
        { "spread_percent", &Settings::spreadPercent },
        { "seed", &Settings::seed },
        { "cold_ms", &Settings::coldMs },
        { "cold_percent", &Settings::coldPercent },
        { "cold_slowdown_percent", &Settings::coldSlowdownPercent },
        { "feed_ms", &Settings::feedMs },
        { "answer_bytes", &Settings::answerBytes },
        { "shed_percent", &Settings::shedPercent },
        { "retry_after_ms", &Settings::retryAfterMs },
        { "report_lag_ms", &Settings::reportLagMs },
        { "report_load", &Settings::reportLoad },
    } };

    constexpr std::array<std::pair<std::string_view, std::uint64_t Truth::*>, 18> truthFields { {
        { "completed", &Truth::completed },
        { "cancelled", &Truth::cancelled },
        { "wrong_service", &Truth::wrongService },
        { "overload", &Truth::overload },
        { "shed", &Truth::shed },
        { "drain_refused", &Truth::drainRefused },
        { "deadline_passed", &Truth::deadlinePassed },
        { "highest_concurrency", &Truth::highestConcurrency },
        { "feeds_opened", &Truth::feedsOpened },
        { "feed_events", &Truth::feedEvents },
        { "feed_events_held", &Truth::feedEventsDeferred },
        { "chunks", &Truth::chunks },
        { "duplicate_chunks", &Truth::duplicateChunks },
        { "conflicting_chunks", &Truth::conflictingChunks },
        { "packets_since_out", &Truth::packetsSinceOut },
        { "last_packet_after_out_ms", &Truth::lastPacketAfterOutMs },
        { "new_since_drain", &Truth::newSinceDrain },
        { "last_new_after_drain_ms", &Truth::lastNewAfterDrainMs },
    } };

    bool applyField(std::string_view name, const json::value& value, Settings& settings)
    {
        if (name == "report_state" && value.is_string()) {
            settings.reportState = value.as_string().c_str();
            return true;
        }
        for (const auto& [field, member] : settingFields) {
            if (field != name)
                continue;
            boost::system::error_code error;
            settings.*member = value.to_number<std::uint64_t>(error);
            return !error;
        }
        return false;
    }

}

bool applySettings(const json::object& object, StandinTargetSettings& settings, std::string& error)
{
    StandinTargetSettings changed = settings;
    for (const auto& field : object) {
        if (applyField(field.key(), field.value(), changed))
            continue;
        error = std::string(field.key()) + ": unknown field or wrong value " + json::serialize(field.value());
        return false;
    }
    changed.feedMs = std::max<std::uint64_t>(changed.feedMs, 1);
    settings = std::move(changed);
    return true;
}

json::object toJson(const StandinTargetTruth& truth)
{
    json::object result;
    json::object executed;
    json::object flows;
    for (const auto& [flow, count] : truth.flows)
        flows[flow] = count;
    result["flows"] = std::move(flows);
    json::array doubled;
    for (const auto& [id, count] : truth.executed) {
        executed[id] = count;
        if (count > 1)
            doubled.emplace_back(id);
    }
    result["executed"] = std::move(executed);
    result["doubled"] = std::move(doubled);
    for (const auto& [name, member] : truthFields)
        result[name] = truth.*member;
    return result;
}

} // namespace hawthorncroft
