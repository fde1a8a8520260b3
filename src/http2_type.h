/**
 * @file http2_type.h
 * Plain values of the HTTP/2 server and client: requests, results, errors, bounds and counters.
 */
#pragma once

#include "core_type.h"
#include "table/limits.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthorncroft {

using Http2Headers = std::vector<std::pair<std::string, std::string>>; ///< Lower-case names and values, in order.

/**
 * Finds a header.
 * @param headers The headers.
 * @param name Lower-case name.
 * @return Value of the first header with this name; empty when there is none.
 */
std::string_view findHeader(const Http2Headers& headers, std::string_view name);

/** A complete request. */
struct Http2Request {
    std::string method { "GET" };
    std::string path { "/" }; ///< With the query, as sent.
    Http2Headers headers; ///< Without the pseudo headers.
    std::string body;
    Endpoint peer; ///< Server side only: where the connection came from.
};

/** Why a request has no complete response. */
enum class Http2Error : std::uint8_t {
    None,
    ConnectFailed, ///< No connection to the endpoint.
    TooManyRequests, ///< The client's own bound on waiting requests or the request size is reached.
    Refused, ///< The server refused the stream before any processing.
    GoAway, ///< The server went away without processing the request.
    Reset, ///< The server reset the stream.
    ConnectionLost, ///< The connection ended before the response did.
    Timeout, ///< The request's timeout passed.
    Cancelled, ///< The caller cancelled the request.
    ResponseTooLarge, ///< The response exceeds the bound on headers or body.
    End,
};

/**
 * Name of an error as printed and logged.
 * @param error The error.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Http2Error error);

/** The end of a request. */
struct Http2Result {
    Http2Error error { Http2Error::None };
    bool mayHaveRun {}; ///< With an error: the server may have processed the request.
    int status {}; ///< HTTP status; zero when no response headers arrived.
    Http2Headers headers;
    std::string body; ///< Empty for a streamed response.

    /** @return Whether a complete response arrived with status 200 to 299. */
    bool succeeded() const { return error == Http2Error::None && status >= 200 && status < 300; }
};

/** A request to send. */
struct Http2Call {
    Http2Request request;
    Duration timeout; ///< From sending to the complete response; zero for none.
    std::function<void(int status, const Http2Headers& headers)> onHeaders; ///< Optional.
    std::function<void(std::string_view data)> onData; ///< When set, the response is streamed and its body not kept.
};

/** What a server or client counts. */
enum class Http2Counter : std::uint8_t {
    Connections, ///< Connections accepted or established.
    ConnectionsRefused, ///< Connections beyond the bound, closed at once.
    ConnectFailures, ///< Attempts to connect that failed.
    PeerClosed, ///< Connections ended by the peer or by the network.
    IdleClosed, ///< Connections without a stream closed after the idle timeout.
    SilentClosed, ///< Connections with open streams closed because the peer sent no whole frame.
    StalledClosed, ///< Connections closed because the peer did not read.
    FloodedClosed, ///< Connections closed because of too many control frames or resets.
    ProtocolErrors, ///< Connections closed because of a violation of the protocol.
    LocalClosed, ///< Connections closed by this process on purpose.
    Requests, ///< Requests given to the handler or sent.
    StreamsRefused, ///< Streams beyond a bound, refused before processing.
    HeadersTooLarge, ///< Streams reset because of the bound on header bytes.
    BodiesTooLarge, ///< Requests answered with 413, or responses given up, because of the bound on body bytes.
    OutputFull, ///< Pieces not taken because the output buffered for the connection is full.
    RequestsTooSlow, ///< Streams reset because the request was not complete in time.
    StreamsReset, ///< Streams reset by the peer.
    Unanswered, ///< Requests whose responder was dropped without an answer.
    HandlerFailures, ///< Requests whose handler threw; their streams are reset.
    End,
};

/**
 * Name of a counter as printed.
 * @param counter The counter.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Http2Counter counter);

/** Counts by kind. */
class Http2Counters {
public:
    void add(Http2Counter counter) { ++m_values[static_cast<std::size_t>(counter)]; }
    std::uint64_t operator[](Http2Counter counter) const { return m_values[static_cast<std::size_t>(counter)]; }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Http2Counter::End)> m_values {};
};

/** Bounds of one server or client. The defaults are in table/limits.h. */
struct Http2Bounds {
    std::size_t headerBytes { maxHttp2HeaderBytes }; ///< Names and values of one message.
    std::size_t bodyBytes { maxHttp2BodyBytes }; ///< Body of one message that is not streamed.
    std::size_t streams { maxHttp2Streams }; ///< Concurrent streams per connection.
    std::size_t waiting { maxHttp2PendingRequests }; ///< Client: requests waiting for a stream.
    std::size_t connections { maxHttp2Connections }; ///< Server: connections at a time.
    std::size_t inputBytes { maxHttp2InputBytes }; ///< Server: incomplete requests buffered per connection.
    std::size_t outputBytes { maxHttp2OutputBytes }; ///< Body bytes buffered for sending per connection.
    std::size_t totalBytes { maxHttp2TotalBytes }; ///< Server: bytes buffered over all connections.
    std::size_t resetsPerSecond { maxHttp2ResetsPerSecond }; ///< Stream resets accepted from one peer.
    std::size_t controlFramesPerSecond { maxHttp2ControlFramesPerSecond }; ///< Frames that carry no message.
    Duration idle { http2IdleTimeout }; ///< Without a whole frame from the peer.
    Duration stall { http2StallTimeout }; ///< One write of at most 64 KiB, and connecting.
    Duration request { http2RequestTimeout }; ///< Server: from the first header to the end of the request.
};

} // namespace hawthorncroft
