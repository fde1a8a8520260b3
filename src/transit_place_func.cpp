#include "transit_place_func.h"

#include "query_func.h"
#include "report_fields.h"
#include "table/transit_limits.h"
#include "transit_page_type.h"

namespace hawthorncroft {

template <> struct FieldsOf<PlaceShare> {
    static constexpr auto fields
        = std::tuple { Field { "service", &PlaceShare::service }, Field { "weight", &PlaceShare::weight } };
};

template <> struct FieldsOf<PlaceRoute> {
    static constexpr auto fields = std::tuple { Field { "address", &PlaceRoute::address },
        Field { "revision", &PlaceRoute::revision }, Field { "shares", &PlaceRoute::shares } };
};

template <> struct FieldsOf<PlaceService> {
    static constexpr auto fields
        = std::tuple { Field { "name", &PlaceService::name }, Field { "reason", &PlaceService::reason } };
};

template <> struct FieldsOf<PlaceView> {
    static constexpr auto fields
        = std::tuple { Field { "revision", &PlaceView::revision }, Field { "ageMs", &PlaceView::ageMs } };
};

template <> struct FieldsOf<PlaceTarget> {
    static constexpr auto fields
        = std::tuple { Field { "id", &PlaceTarget::id }, Field { "address", &PlaceTarget::address },
              Field { "failureDomain", &PlaceTarget::failureDomain }, Field { "reason", &PlaceTarget::reason } };
};

template <> struct FieldsOf<PlaceLoad> {
    static constexpr auto fields = std::tuple { Field { "utilisation", &PlaceLoad::utilisation },
        Field { "otherDomain", &PlaceLoad::otherDomain }, Field { "brokenPath", &PlaceLoad::brokenPath },
        Field { "cold", &PlaceLoad::cold } };
};

template <> struct FieldsOf<PlaceCandidate> {
    static constexpr auto fields = std::tuple { Field { "id", &PlaceCandidate::id },
        Field { "address", &PlaceCandidate::address }, Field { "failureDomain", &PlaceCandidate::failureDomain },
        Field { "state", &PlaceCandidate::state }, Field { "compared", &PlaceCandidate::isCompared },
        Field { "tried", &PlaceCandidate::isTried }, Field { "load", &PlaceCandidate::load },
        Field { "components", &PlaceCandidate::components }, Field { "inProgress", &PlaceCandidate::inProgress },
        Field { "openingsSent", &PlaceCandidate::openingsSent }, Field { "slots", &PlaceCandidate::slots },
        Field { "learnedLimit", &PlaceCandidate::learnedLimit },
        Field { "serviceTimeUs", &PlaceCandidate::serviceTimeUs },
        Field { "reportAgeMs", &PlaceCandidate::reportAgeMs } };
};

template <> struct FieldsOf<PlaceReport> {
    static constexpr auto fields = std::tuple { Field { "balancer", &PlaceReport::balancer },
        Field { "failureDomain", &PlaceReport::failureDomain }, Field { "from", &PlaceReport::from },
        Field { "route", &PlaceReport::route }, Field { "service", &PlaceReport::service },
        Field { "view", &PlaceReport::view }, Field { "outcome", &PlaceReport::outcome },
        Field { "target", &PlaceReport::target }, Field { "holder", &PlaceReport::holder },
        Field { "refusal", &PlaceReport::refusal }, Field { "candidates", &PlaceReport::candidates },
        Field { "candidatesNotListed", &PlaceReport::candidatesNotListed } };
};

namespace {

    constexpr const char* addressExpected = " must be an IPv4 address and port, such as 198.18.0.1:443";

}

std::string parsePlaceQuery(std::string_view text, PlaceQuery& query)
{
    if (text.size() > maxPlaceQueryBytes)
        return "the query is longer than " + std::to_string(maxPlaceQueryBytes) + " bytes";
    PlaceQuery read;
    if (!parseEndpoint(queryValue(text, "from").value_or(""), read.from))
        return std::string("from") + addressExpected;
    auto to = queryValue(text, "to");
    read.service = queryValue(text, "service").value_or("");
    if (to.has_value() == !read.service.empty())
        return "either to (a route address) or service (a name) is needed";
    if (to && !parseEndpoint(*to, read.to.emplace()))
        return std::string("to") + addressExpected;
    query = std::move(read);
    return {};
}

std::string placeTargetOf(const PlaceQuery& query)
{
    std::string target(placePath);
    target += query.to ? "?to=" + toString(*query.to) : "?service=" + encodeQueryValue(query.service);
    return target + "&from=" + toString(query.from);
}

std::string toJson(const PlaceReport& report) { return boost::json::serialize(writeValue(report)); }

std::string parsePlaceReport(std::string_view text, PlaceReport& report) { return readText(text, report); }

} // namespace hawthorncroft
