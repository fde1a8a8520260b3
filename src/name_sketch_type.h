/**
 * @file name_sketch_type.h
 * The most frequent names that lead to no service, in bounded memory.
 */
#pragma once

#include "core_type.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** One counted name. */
struct CountedName {
    std::string name;
    std::uint64_t count {}; ///< At least the true count, and at most `error` above it.
    std::uint64_t error {}; ///< Largest possible excess of `count`.
    std::uint64_t lastSecond {}; ///< When it was counted last; seconds as given to add().
};

/**
 * Space-Saving sketch of the most frequent names. A name that is not counted yet replaces the one with the lowest count
 * and inherits that count as its possible error.
 *
 * With capacity m and n counted names in total, each count exceeds the true one by at most n / m, and every name that
 * occurred more than n / m times is in the sketch.
 */
class NameSketch {
public:
    /** @param capacity Names to keep, at least 1. */
    explicit NameSketch(std::size_t capacity);

    /**
     * Counts a name.
     * @param name The name; cut to maxNameBytes.
     * @param second Time in seconds, by any clock.
     */
    void add(std::string_view name, std::uint64_t second);

    /**
     * Forgets a name, for example because it resolves by now.
     * @param name The name.
     */
    void remove(std::string_view name);

    /**
     * @param count Names wanted.
     * @return The names with the highest counts, highest first; equal counts in the order of their names.
     */
    std::vector<CountedName> top(std::size_t count) const;

    /** @return Names counted so far, with repetitions. */
    std::uint64_t total() const { return m_total; }

    /** @return Upper bound of every entry's error: total divided by capacity. */
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

/** A known name that resembles an unknown one. */
struct SimilarName {
    std::string name;
    ServiceId service;
    std::size_t distance {}; ///< Edits between the two; see editDistance.

    bool operator==(const SimilarName&) const = default;
};

/**
 * Finds the known names closest to an unknown one. The cost grows with the number of known names, so it is called for
 * the names that an operator looks at and not for each packet.
 * @param name The unknown name.
 * @param known Known names with their services.
 * @param maxDistance Edits up to which a name counts as similar.
 * @param count Names wanted.
 * @return Closest first; equal distances in the order of their names.
 */
std::vector<SimilarName> closestNames(std::string_view name, const std::unordered_map<std::string, ServiceId>& known,
    std::size_t maxDistance, std::size_t count);

} // namespace hawthorncroft
