#include "report_type.h"

#include "report_fields.h"

namespace hawthorncroft {

template <> struct FieldsOf<TargetStatus> {
    static constexpr std::tuple fields { Field { "id", &TargetStatus::id }, Field { "service", &TargetStatus::service },
        Field { "state", &TargetStatus::state }, Field { "limit", &TargetStatus::limit },
        Field { "running", &TargetStatus::running }, Field { "streams", &TargetStatus::streams } };
};

template <> struct FieldsOf<StatusReport> {
    static constexpr std::tuple fields { Field { "role", &StatusReport::role },
        Field { "version", &StatusReport::version }, Field { "vm", &StatusReport::vm },
        Field { "failureDomain", &StatusReport::failureDomain }, Field { "startedAt", &StatusReport::startedAt },
        Field { "serving", &StatusReport::serving }, Field { "reason", &StatusReport::reason },
        Field { "revision", &StatusReport::revision }, Field { "since", &StatusReport::since },
        Field { "newestSeen", &StatusReport::newestSeen }, Field { "preset", &StatusReport::preset },
        Field { "domainsOut", &StatusReport::domainsOut }, Field { "vmsOut", &StatusReport::vmsOut },
        Field { "readsPlatform", &StatusReport::readsPlatform },
        Field { "platformAgeMs", &StatusReport::platformAgeMs }, Field { "peers", &StatusReport::peers },
        Field { "refused", &StatusReport::refused }, Field { "target", &StatusReport::target },
        Field { "counters", &StatusReport::counters } };
};

template <> struct FieldsOf<SimilarNameReport> {
    static constexpr std::tuple fields { Field { "name", &SimilarNameReport::name },
        Field { "service", &SimilarNameReport::service }, Field { "serviceName", &SimilarNameReport::serviceName },
        Field { "distance", &SimilarNameReport::distance } };
};

template <> struct FieldsOf<UnknownNameReport> {
    static constexpr std::tuple fields { Field { "name", &UnknownNameReport::name },
        Field { "count", &UnknownNameReport::count }, Field { "error", &UnknownNameReport::error },
        Field { "lastSeen", &UnknownNameReport::lastSeen }, Field { "similar", &UnknownNameReport::similar } };
};

template <> struct FieldsOf<NamesReport> {
    static constexpr std::tuple fields { Field { "since", &NamesReport::since }, Field { "total", &NamesReport::total },
        Field { "errorBound", &NamesReport::errorBound }, Field { "names", &NamesReport::names } };
};

template <> struct FieldsOf<RankReport> {
    static constexpr std::tuple fields { Field { "target", &RankReport::target }, Field { "vm", &RankReport::vm },
        Field { "failureDomain", &RankReport::failureDomain }, Field { "agent", &RankReport::agent },
        Field { "eligibility", &RankReport::eligibility }, Field { "load", &RankReport::load },
        Field { "loadAgeMs", &RankReport::loadAgeMs }, Field { "chosen", &RankReport::chosen } };
};

template <> struct FieldsOf<ExplainReport> {
    static constexpr std::tuple fields { Field { "name", &ExplainReport::name },
        Field { "revision", &ExplainReport::revision }, Field { "service", &ExplainReport::service },
        Field { "serviceName", &ExplainReport::serviceName }, Field { "match", &ExplainReport::match },
        Field { "similar", &ExplainReport::similar }, Field { "serving", &ExplainReport::serving },
        Field { "ranks", &ExplainReport::ranks } };
};

std::string toJson(const StatusReport& report) { return boost::json::serialize(writeValue(report)); }

std::string toJson(const NamesReport& report) { return boost::json::serialize(writeValue(report)); }

std::string toJson(const ExplainReport& report) { return boost::json::serialize(writeValue(report)); }

std::string parseReport(std::string_view text, StatusReport& report) { return readText(text, report); }

std::string parseReport(std::string_view text, NamesReport& report) { return readText(text, report); }

std::string parseReport(std::string_view text, ExplainReport& report) { return readText(text, report); }

} // namespace hawthorncroft
