/**
 * @file core_type.h
 * Basic value types of the core: strong IDs, time, and network endpoints.
 * All of them are plain values with no access to clocks, sockets or random sources.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace hawthorncroft {

/**
 * Integer ID that does not convert to or from an ID of another kind.
 * @tparam Tag Incomplete type that distinguishes the kind.
 * @tparam Value Underlying unsigned integer.
 */
template <typename Tag, typename Value> struct StrongId {
    Value value {}; ///< Zero means "none" for every kind of ID.

    constexpr StrongId() = default;
    constexpr explicit StrongId(Value v)
        : value(v)
    {
    }
    constexpr auto operator<=>(const StrongId&) const = default;
    constexpr explicit operator bool() const { return value != 0; }
};

using CallerId = StrongId<struct CallerIdTag, std::uint64_t>; ///< Random number chosen by a caller at start.
using FlowId = StrongId<struct FlowIdTag, std::uint64_t>; ///< Chosen by the caller; one per request, feed or upload.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>; ///< Service number from the configuration.
using TargetId = StrongId<struct TargetIdTag, std::uint32_t>; ///< Target number from the configuration.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>; ///< Random number chosen by a process at start.
using ReservationId = StrongId<struct ReservationIdTag, std::uint64_t>; ///< Admission at an agent; unique per agent.
using KeyId = StrongId<struct KeyIdTag, std::uint32_t>; ///< ID of a secret key in the settings.
using Revision = StrongId<struct RevisionTag,
    std::uint64_t>; ///< Configuration revision; increases with each change on the platform.
using NodeId
    = StrongId<struct NodeIdTag, std::uint64_t>; ///< Random number chosen by a balancer or agent process at start.

/** Length of time in microseconds. */
struct Duration {
    std::int64_t us {}; ///< Microseconds.

    constexpr auto operator<=>(const Duration&) const = default;
    constexpr Duration operator+(Duration other) const { return { us + other.us }; }
    constexpr Duration operator-(Duration other) const { return { us - other.us }; }
    constexpr Duration operator*(std::int64_t factor) const { return { us * factor }; }
    constexpr Duration operator/(std::int64_t divisor) const { return { us / divisor }; }
};

constexpr Duration microseconds(std::int64_t n) { return { n }; }
constexpr Duration milliseconds(std::int64_t n) { return { n * 1000 }; }
constexpr Duration seconds(std::int64_t n) { return { n * 1000000 }; }

/** Time on the monotonic clock of one process. Times of different processes cannot be compared. */
struct TimePoint {
    std::int64_t us {}; ///< Microseconds since an arbitrary epoch.

    constexpr auto operator<=>(const TimePoint&) const = default;
    constexpr TimePoint operator+(Duration d) const { return { us + d.us }; }
    constexpr TimePoint operator-(Duration d) const { return { us - d.us }; }
    constexpr Duration operator-(TimePoint other) const { return { us - other.us }; }
};

/** IPv4 address and port, both in host byte order. */
struct Endpoint {
    std::uint32_t address {}; ///< IPv4 address.
    std::uint16_t port {}; ///< UDP or TCP port; zero means "none".

    constexpr auto operator<=>(const Endpoint&) const = default;
    constexpr explicit operator bool() const { return port != 0; }
};

/**
 * Formats an endpoint as "127.0.0.1:7000".
 * @param endpoint The endpoint.
 * @return Its text.
 */
std::string toString(Endpoint endpoint);

/**
 * Parses "127.0.0.1:7000".
 * @param text The text.
 * @param[out] endpoint Set on success.
 * @return Whether the text is an IPv4 address with a port from 1 to 65535.
 */
bool parseEndpoint(const std::string& text, Endpoint& endpoint);

/**
 * Hashes a 64-bit number with one step of SplitMix64. Used to hash IDs and to derive jitter from given seeds.
 * @param x The number.
 * @return Uniformly distributed hash.
 */
constexpr std::uint64_t mix64(std::uint64_t x)
{
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/**
 * Hashes two numbers.
 * @param a First number.
 * @param b Second number.
 * @return Uniformly distributed hash that depends on both numbers and their order.
 */
constexpr std::uint64_t mix64(std::uint64_t a, std::uint64_t b) { return mix64(mix64(a) ^ b); }

/** System-wide unique ID of a flow. */
struct FlowKey {
    CallerId caller; ///< The caller.
    FlowId flow; ///< ID that the caller assigned to the flow.

    constexpr auto operator<=>(const FlowKey&) const = default;
};

} // namespace hawthorncroft

template <typename Tag, typename Value> struct std::hash<hawthorncroft::StrongId<Tag, Value>> {
    std::size_t operator()(hawthorncroft::StrongId<Tag, Value> id) const noexcept
    {
        return hawthorncroft::mix64(id.value);
    }
};

template <> struct std::hash<hawthorncroft::Endpoint> {
    std::size_t operator()(hawthorncroft::Endpoint e) const noexcept
    {
        return hawthorncroft::mix64((static_cast<std::uint64_t>(e.address) << 16) | e.port);
    }
};

template <> struct std::hash<hawthorncroft::FlowKey> {
    std::size_t operator()(const hawthorncroft::FlowKey& key) const noexcept
    {
        return hawthorncroft::mix64(key.caller.value, key.flow.value);
    }
};
