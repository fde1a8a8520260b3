#include "name_table_type.h"
#include "table/verdict_names.h"

namespace hawthorncroft {

std::string_view nameOf(Verdict verdict) { return lookUpName(verdictNames, verdict); }

std::string_view nameOf(Reason reason) { return lookUpName(reasonNames, reason); }

} // namespace hawthorncroft
