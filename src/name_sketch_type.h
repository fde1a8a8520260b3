/**
 * @file name_sketch_type.h
 * Most frequent names that do not resolve to a service, in bounded memory.
 */
#pragma once

#include "core_type.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** A name with its estimated count. */
struct CountedName {
    std::string name;
    std::uint64_t count {}; ///< Between the true count and the true count plus `error`.
    std::uint64_t error {}; ///< Maximum overestimate of `count`.
    std::uint64_t lastSecond {}; ///< Time of the last occurrence; seconds as passed to add().
};

/**
 * Space-Saving sketch of the most frequent names. When the sketch is full, a new name replaces the one with the lowest
 * count, and its count starts from that count, which is also its maximum error.
 *
 * With capacity m and n occurrences in total, each count exceeds the true one by at most n / m, and every name that
 * occurred more than n / m times is in the sketch.
 */
class NameSketch {
public:
    /** @param capacity Maximum number of names; zero is taken as 1. */
    explicit NameSketch(std::size_t capacity);

    /**
     * Counts one occurrence of a name.
     * @param name The name; truncated to maxNameBytes.
     * @param second Time in seconds, on any clock.
     */
    void add(std::string_view name, std::uint64_t second);

    /**
     * Removes a name, for example because it now resolves to a service.
     * @param name The name.
     */
    void remove(std::string_view name);

    /**
     * Gets the most frequent names.
     * @param count Maximum number of names.
     * @return The names with the highest counts, highest first; names with equal counts in alphabetical order.
     */
    std::vector<CountedName> top(std::size_t count) const;

    /** @return Number of occurrences counted so far. */
    std::uint64_t total() const { return m_total; }

    /** @return Upper bound of the error of every entry: total divided by capacity. */
    std::uint64_t errorBound() const { return m_total / m_capacity; }

    std::size_t size() const { return m_entries.size(); }
    std::size_t capacity() const { return m_capacity; }

private:
    using Order = std::set<std::pair<std::uint64_t, std::string_view>>;

    CountedName replaceLowest(std::string_view name);

    std::size_t m_capacity;
    std::uint64_t m_total {};
    std::unordered_map<std::string, CountedName> m_entries;
    Order m_byCount; ///< Count and name of every entry; the names are owned by `m_entries`.
};

/** A known name that is similar to an unknown one. */
struct SimilarName {
    std::string name;
    ServiceId service;
    std::size_t distance {}; ///< Edit distance between the two; see editDistance().

    bool operator==(const SimilarName&) const = default;
};

/**
 * Finds the known names closest to an unknown one. The cost is linear in the number of known names, so this is called
 * only for names shown to an operator, not for each packet.
 * @param name The unknown name.
 * @param known Known names with their services.
 * @param maxDistance Maximum edit distance of a similar name.
 * @param count Maximum number of names.
 * @return Similar names, closest first; names at equal distances in alphabetical order.
 */
std::vector<SimilarName> closestNames(std::string_view name, const std::unordered_map<std::string, ServiceId>& known,
    std::size_t maxDistance, std::size_t count);

} // namespace hawthorncroft
