/**
 * @file transit_view_func.h
 * Keys and items of a view, for the files that implement it.
 */
#pragma once

#include "transit_view_type.h"

#include <string_view>

namespace hawthorncroft {

inline constexpr std::string_view routePrefix = "route/";
inline constexpr std::string_view servicePrefix = "service/";
inline constexpr std::string_view targetPrefix = "target/";
inline constexpr std::string_view evacuationPrefix = "evacuation/";

/** @return Whether the key is that of a route or service, which a configuration replaces as a whole. */
inline bool isConfigurationKey(const std::string& key)
{
    return key.starts_with(routePrefix) || key.starts_with(servicePrefix);
}

/** @return Target that the item contains, also as a retained one, or null. */
inline const TargetRecord* targetOf(const ViewItem* item)
{
    return item && item->value ? std::get_if<TargetRecord>(&*item->value) : nullptr;
}

/**
 * Decides what a process goes on using of an item when it gets the same key from a later era. A store that came back
 * from a copy lacks what was written after the copy until it is written again. Does nothing within one era.
 * @param known Item of the view.
 * @param[in,out] item Its successor, received at `receivedAt`.
 */
void carryOver(const ViewItem& known, ViewItem& item);

} // namespace hawthorncroft
