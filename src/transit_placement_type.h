/**
 * @file transit_placement_type.h
 * Values of the choice among targets, and the record of one choice that explains it.
 */
#pragma once

#include "name_table_type.h"
#include "transit_view_base.h"

#include <optional>

namespace hawthorncroft {

/** Components of the load by which targets are compared. */
struct LoadTerms {
    double utilisation {}; ///< Expected time to an answer, relative to the mean target of the service.
    double otherDomain {}; ///< Penalty of targets in another failure domain than the balancer.
    double brokenPath {}; ///< Penalty of targets behind a broken path.
    double cold {}; ///< Penalty of cold targets.

    double sum() const { return utilisation + otherDomain + brokenPath + cold; }
};

/** State of a target for new flows. Of several that apply, the first one counts. */
enum class TargetState : std::uint8_t {
    Draining,
    Evacuated, ///< Its failure domain is being evacuated.
    Returned, ///< It returned opening packets and is used only if there is no other target.
    Suspected, ///< Its agent did not answer and is used only if there is no other target.
    Overloaded, ///< Its agent declined a flow as overloaded and has not had spare capacity since.
    Cold,
    Eligible,
    End,
};

/** What a balancer knows of a target when it places a flow. */
struct TargetAssessment {
    const TargetEntry* target {};
    TargetState state {};
    LoadTerms load;
    LoadReport report; ///< Last load report; empty if there was none.
    std::uint32_t sentSinceReport {}; ///< Opening packets sent to the target since that report.
    std::optional<Duration> reportAge; ///< None until the first report.
};

/** How a target was chosen. */
enum class PlacementBasis : std::uint8_t {
    None, ///< No target can take the flow.
    LowestLoad, ///< The lowest load of the targets that were drawn.
    OnlyUsable, ///< The draws found no usable target, and this was the first usable one in the order of the view.
    LastResort, ///< All eligible targets are avoided; this is the first one in the order of the view.
    End,
};

/** Record of one choice. */
struct PlacementTrace {
    std::vector<const TargetEntry*> compared; ///< Targets whose loads were compared, in order.
    PlacementBasis basis {};
};

std::string_view nameOf(TargetState state);
std::string_view nameOf(PlacementBasis basis);

} // namespace hawthorncroft
