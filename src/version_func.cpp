#include "version_func.h"

namespace hawthorncroft {

std::string_view versionText() { return "hawthorncroft 0.1.0"; }

} // namespace hawthorncroft
