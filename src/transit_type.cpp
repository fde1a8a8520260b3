#include "table/transit_limits.h"
#include "table/transit_names.h"

namespace hawthorncroft {

bool acknowledgesAnswer(const TransitPacket& packet, std::uint32_t targetSequence)
{
    return packet.acknowledged - targetSequence <= initialAckWindow;
}

std::string_view nameOf(ProcessRole role) { return lookUpName(processRoleNames, role); }

std::string_view nameOf(DeclineReason reason) { return lookUpName(declineReasonNames, reason); }

std::string_view nameOf(EgressDrop reason) { return lookUpName(egressDropNames, reason); }

std::string_view nameOf(StoreFailure failure) { return lookUpName(storeFailureNames, failure); }

std::string_view nameOf(TransitCounter counter) { return lookUpName(transitCounterNames, counter); }

std::string_view nameOf(TransitDistribution distribution) { return lookUpName(transitDistributionNames, distribution); }

} // namespace hawthorncroft
