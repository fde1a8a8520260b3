/**
 * @file version_func.h
 * Version of the programs.
 */
#pragma once

#include <string_view>

namespace hawthorncroft {

/** @return Version as printed by --version. */
std::string_view versionText();

} // namespace hawthorncroft
