#include "name_table_type.h"
#include "table/packet_names.h"

namespace hawthorncroft {

std::string_view nameOf(PacketKind kind) { return lookUpName(packetKindNames, kind); }

std::string_view nameOf(FlowKind kind) { return lookUpName(flowKindNames, kind); }

std::string_view nameOf(TargetState state) { return lookUpName(targetStateNames, state); }

} // namespace hawthorncroft
