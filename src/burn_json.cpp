#include "burn_func.h"

#include "report_fields.h"

namespace hawthorncroft {

template <> struct FieldsOf<Objectives> {
    static constexpr std::tuple fields { Field { "inTimeMs", &Objectives::inTimeMs },
        Field { "inTimeRatio", &Objectives::inTimeRatio }, Field { "brokenFlowRatio", &Objectives::brokenFlowRatio },
        Field { "unavailableSecondsPerMonth", &Objectives::unavailableSecondsPerMonth } };
};

template <> struct FieldsOf<BurnSource> {
    static constexpr std::tuple fields { Field { "process", &BurnSource::process },
        Field { "since", &BurnSource::since } };
};

template <> struct FieldsOf<BurnEvent> {
    static constexpr std::tuple fields { Field { "at", &BurnEvent::at }, Field { "service", &BurnEvent::service },
        Field { "text", &BurnEvent::text } };
};

template <> struct FieldsOf<WindowBurn> {
    static constexpr std::tuple fields { Field { "minutes", &WindowBurn::minutes }, Field { "bad", &WindowBurn::bad },
        Field { "rate", &WindowBurn::rate } };
};

template <> struct FieldsOf<BurnEpisode> {
    static constexpr std::tuple fields { Field { "fromMinute", &BurnEpisode::from },
        Field { "untilMinute", &BurnEpisode::until }, Field { "bad", &BurnEpisode::bad },
        Field { "share", &BurnEpisode::share }, Field { "events", &BurnEpisode::events } };
};

template <> struct FieldsOf<ObjectiveBurn> {
    static constexpr std::tuple fields { Field { "name", &ObjectiveBurn::name }, Field { "unit", &ObjectiveBurn::unit },
        Field { "bad", &ObjectiveBurn::bad }, Field { "allowed", &ObjectiveBurn::allowed },
        Field { "spent", &ObjectiveBurn::spent }, Field { "windows", &ObjectiveBurn::windows },
        Field { "episodes", &ObjectiveBurn::episodes }, Field { "backgroundShare", &ObjectiveBurn::backgroundShare },
        Field { "remaining", &ObjectiveBurn::remaining }, Field { "badByPart", &ObjectiveBurn::badByPart } };
};

template <> struct FieldsOf<ServiceBurn> {
    static constexpr std::tuple fields { Field { "id", &ServiceBurn::id }, Field { "name", &ServiceBurn::name },
        Field { "objectives", &ServiceBurn::objectives } };
};

template <> struct FieldsOf<BurnReport> {
    static constexpr std::tuple fields { Field { "sources", &BurnReport::sources },
        Field { "fromMinute", &BurnReport::from }, Field { "untilMinute", &BurnReport::until },
        Field { "services", &BurnReport::services } };
};

namespace {

    namespace json = boost::json;

    /** Members of a minute in their order in the JSON array. Arrays keep the JSON for a month of minutes small. */
    constexpr std::array minuteMembers { &MinuteCounts::minute, &MinuteCounts::requests, &MinuteCounts::inTime,
        &MinuteCounts::flows, &MinuteCounts::broken, &MinuteCounts::secondsWithRequests,
        &MinuteCounts::secondsWithAnswers };

    json::value writeMinutes(const std::vector<MinuteCounts>& minutes)
    {
        json::array array;
        for (const auto& counts : minutes) {
            json::array numbers;
            for (auto member : minuteMembers)
                numbers.emplace_back(counts.*member);
            array.push_back(std::move(numbers));
        }
        return array;
    }

    bool readMinutes(const json::value& value, std::vector<MinuteCounts>& minutes)
    {
        std::vector<std::vector<std::uint64_t>> rows;
        if (!readValue(value, rows))
            return false;
        for (const auto& row : rows) {
            if (row.size() != minuteMembers.size())
                return false;
            MinuteCounts& counts = minutes.emplace_back();
            for (std::size_t i = 0; i < row.size(); ++i)
                counts.*minuteMembers[i] = row[i];
        }
        return true;
    }

    bool readService(const json::value& value, ServiceCounts& service)
    {
        const auto* object = value.if_object();
        if (!object || !object->contains("minutes"))
            return false;
        for (const auto& field : *object) {
            bool isRead = true;
            if (field.key() == "id")
                isRead = readValue(field.value(), service.id);
            else if (field.key() == "name")
                isRead = readValue(field.value(), service.name);
            else if (field.key() == "objectives")
                isRead = readValue(field.value(), service.objectives);
            else if (field.key() == "minutes")
                isRead = readMinutes(field.value(), service.minutes);
            if (!isRead)
                return false;
        }
        return true;
    }

    bool readServices(const json::value& value, std::vector<ServiceCounts>& services)
    {
        if (!value.is_array())
            return false;
        for (const auto& service : value.get_array()) {
            if (!readService(service, services.emplace_back()))
                return false;
        }
        return true;
    }

}

std::string toJson(const BurnCounts& counts)
{
    json::array services;
    for (const auto& service : counts.services)
        services.push_back({ { "id", service.id }, { "name", service.name },
            { "objectives", writeValue(service.objectives) }, { "minutes", writeMinutes(service.minutes) } });
    json::object root;
    root["sources"] = writeValue(counts.sources);
    root["from"] = counts.from;
    root["until"] = counts.until;
    root["services"] = std::move(services);
    root["events"] = writeValue(counts.events);
    return json::serialize(root);
}

std::string parseBurnCounts(std::string_view text, BurnCounts& counts)
{
    json::error_code error;
    json::value root = json::parse({ text.data(), text.size() }, error);
    if (error)
        return error.message();
    const auto* object = root.if_object();
    BurnCounts read;
    auto readField = [&](json::string_view name, auto reader) {
        const auto* value = object ? object->if_contains(name) : nullptr;
        return value && reader(*value);
    };
    bool isRead = readField("sources", [&](const json::value& v) { return readValue(v, read.sources); })
        && readField("from", [&](const json::value& v) { return readValue(v, read.from); })
        && readField("until", [&](const json::value& v) { return readValue(v, read.until); })
        && readField("services", [&](const json::value& v) { return readServices(v, read.services); })
        && readField("events", [&](const json::value& v) { return readValue(v, read.events); });
    if (!isRead)
        return "a field is missing or has the wrong type";
    counts = std::move(read);
    return {};
}

std::string toJson(const BurnReport& report) { return json::serialize(writeValue(report)); }

} // namespace hawthorncroft
