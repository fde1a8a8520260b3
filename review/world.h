/**
 * @file world.h
 * Stand-ins for the cases in review/: the platform's store, hosts, consumers and the operator, all in one process and
 * one thread, on loopback addresses. The balancers and agents under test are started as separate processes with the
 * commands of the deploy file. Uses only the C++ library and POSIX sockets.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace review {

constexpr int exitHeld = 0; ///< The rule held.
constexpr int exitBroken = 1; ///< The rule was broken.
constexpr int exitCouldNotRun = 2; ///< The case could not run.

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Thrown when a case cannot run, for example because a process does not become ready. */
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Address {
    std::uint32_t ip {};
    std::uint16_t port {};
    auto operator<=>(const Address&) const = default;
};

inline std::string textOf(std::uint32_t ip)
{
    char text[32];
    std::snprintf(text, sizeof text, "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
    return text;
}

inline std::string textOf(Address address) { return textOf(address.ip) + ":" + std::to_string(address.port); }

inline sockaddr_in socketAddressOf(Address address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

/** Random bits; the same sequence in every run is not needed, since the real clock makes runs differ anyway. */
inline std::uint32_t randomBits()
{
    static std::mt19937 generator { std::random_device {}() };
    return generator();
}

// ---------------------------------------------------------------------------------------------------------------------
// Packets, see "Packets" in PROTOCOL.md.

constexpr std::uint8_t flagFin = 1;
constexpr std::uint8_t flagRst = 2;
constexpr std::uint8_t flagSyn = 8;
constexpr std::uint8_t flagAck = 32;
constexpr std::uint8_t flagBounced = 128;
constexpr std::size_t headerSize = 32;
constexpr std::uint32_t resetWindow = 76800; ///< Distance of a reset's `seq` from the consumer's last `ack`.

struct Packet {
    std::uint32_t echo {};
    std::uint32_t seq {};
    std::uint32_t ack {};
    std::uint8_t flags {};
    std::uint8_t pad {};
    std::uint32_t sum {};
    Address source;
    Address destination;
    std::string data;

    /** The keyed sum over all fields except `echo`, `pad` and BOUNCED. */
    std::uint32_t computeSum() const
    {
        std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
        auto add = [&](std::uint64_t value) {
            hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
            hash ^= hash >> 29;
        };
        add(data.size());
        add(seq);
        add(ack);
        add(flags & ~flagBounced);
        add(source.ip);
        add(destination.ip);
        add(source.port);
        add(destination.port);
        for (unsigned char byte : data)
            add(byte);
        std::uint32_t result = static_cast<std::uint32_t>(hash >> 16);
        return result ? result : 1; // Zero marks a reset of the system.
    }

    std::string encode() const
    {
        std::string bytes(headerSize, '\0');
        auto put = [&](std::size_t at, std::uint64_t value, int count) {
            for (int i = 0; i < count; ++i)
                bytes[at + i] = static_cast<char>(value >> (8 * i));
        };
        put(0, echo, 4);
        put(4, data.size(), 2);
        put(6, seq, 4);
        put(10, ack, 4);
        put(14, flags, 1);
        put(15, pad, 1);
        put(16, sum, 4);
        put(20, source.ip, 4);
        put(24, destination.ip, 4);
        put(28, source.port, 2);
        put(30, destination.port, 2);
        return bytes + data;
    }

    static bool decode(const std::string& bytes, Packet& packet)
    {
        if (bytes.size() < headerSize)
            return false;
        auto get = [&](std::size_t at, int count) {
            std::uint32_t value = 0;
            for (int i = 0; i < count; ++i)
                value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
            return value;
        };
        packet.echo = get(0, 4);
        packet.seq = get(6, 4);
        packet.ack = get(10, 4);
        packet.flags = static_cast<std::uint8_t>(get(14, 1));
        packet.pad = static_cast<std::uint8_t>(get(15, 1));
        packet.sum = get(16, 4);
        packet.source = { get(20, 4), static_cast<std::uint16_t>(get(28, 2)) };
        packet.destination = { get(24, 4), static_cast<std::uint16_t>(get(30, 2)) };
        packet.data = bytes.substr(headerSize);
        return packet.data.size() == get(4, 2);
    }
};

// ---------------------------------------------------------------------------------------------------------------------
// Event loop.

/** One thread, poll and timers. */
class Loop {
public:
    void watch(int descriptor, short events, std::function<void(short)> handler)
    {
        m_handlers[descriptor] = { events, std::move(handler) };
    }
    void forget(int descriptor) { m_handlers.erase(descriptor); }
    void after(Milliseconds delay, std::function<void()> action)
    {
        m_timers.emplace(Clock::now() + delay, std::move(action));
    }

    /** Handles events until the condition holds. @return Whether it did within the time. */
    bool runUntil(const std::function<bool()>& condition, Milliseconds limit)
    {
        auto end = Clock::now() + limit;
        while (!condition()) {
            auto now = Clock::now();
            if (now >= end)
                return false;
            step(std::min(end, now + Milliseconds(5)));
        }
        return true;
    }

    void run(Milliseconds time)
    {
        runUntil([] { return false; }, time);
    }

private:
    struct Watched {
        short events;
        std::function<void(short)> handler;
    };

    void step(Clock::time_point until)
    {
        while (!m_timers.empty() && m_timers.begin()->first <= Clock::now()) {
            auto action = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            action();
        }
        if (!m_timers.empty())
            until = std::min(until, m_timers.begin()->first);
        std::vector<pollfd> descriptors;
        for (const auto& [descriptor, watched] : m_handlers)
            descriptors.push_back({ descriptor, watched.events, 0 });
        auto wait = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        ::poll(descriptors.data(), descriptors.size(), static_cast<int>(std::max<std::int64_t>(wait, 0)));
        for (const auto& entry : descriptors) {
            auto found = m_handlers.find(entry.fd);
            if (!entry.revents || found == m_handlers.end())
                continue;
            auto handler = found->second.handler; // The handler may remove itself.
            handler(entry.revents);
        }
    }

    std::map<int, Watched> m_handlers;
    std::multimap<Clock::time_point, std::function<void()>> m_timers;
};

/** UDP socket on the loop. */
class Udp {
public:
    using Handler = std::function<void(const std::string& bytes)>;

    Udp(Loop& loop, Address local, Handler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
    {
        m_descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in name = socketAddressOf(local);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&name), sizeof name))
            throw CannotRun("cannot bind UDP " + textOf(local) + ": " + std::strerror(errno));
        m_loop.watch(m_descriptor, POLLIN, [this](short) { receive(); });
    }
    Udp(const Udp&) = delete;
    Udp& operator=(const Udp&) = delete;
    ~Udp()
    {
        m_loop.forget(m_descriptor);
        ::close(m_descriptor);
    }

    void send(Address to, const std::string& bytes)
    {
        sockaddr_in name = socketAddressOf(to);
        ::sendto(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&name), sizeof name);
    }

private:
    void receive()
    {
        char buffer[2048];
        for (int i = 0; i < 64; ++i) {
            ssize_t size = ::recv(m_descriptor, buffer, sizeof buffer, 0);
            if (size < 0)
                return;
            m_handler(std::string(buffer, static_cast<std::size_t>(size)));
        }
    }

    Loop& m_loop;
    Handler m_handler;
    int m_descriptor {};
};

/** HTTP/1.1 server for GET requests without a body, with keep-alive. */
class HttpServer {
public:
    /** Sends the response; may be called later. Does nothing when the connection is gone. */
    using Reply = std::function<void(int status, const std::string& body)>;
    using Handler = std::function<void(const std::string& target, Reply reply)>;

    HttpServer(Loop& loop, Address local, Handler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in name = socketAddressOf(local);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof name) || ::listen(m_listener, 128))
            throw CannotRun("cannot listen on " + textOf(local) + ": " + std::strerror(errno));
        m_loop.watch(m_listener, POLLIN, [this](short) { accept(); });
    }
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer()
    {
        m_loop.forget(m_listener);
        ::close(m_listener);
        closeConnections();
    }

    /** Closes all connections; requests that wait for a response get none. */
    void closeConnections()
    {
        while (!m_connections.empty())
            close(m_connections.begin()->first);
    }

private:
    struct Connection {
        std::uint64_t id;
        std::string input;
    };

    void accept()
    {
        int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_connections[descriptor] = { ++m_lastId, {} };
        m_loop.watch(descriptor, POLLIN, [this, descriptor](short) { receive(descriptor); });
    }

    void receive(int descriptor)
    {
        char buffer[4096];
        ssize_t size = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (size <= 0) {
            if (size == 0 || errno != EAGAIN)
                close(descriptor);
            return;
        }
        Connection& connection = m_connections[descriptor];
        connection.input.append(buffer, static_cast<std::size_t>(size));
        auto end = connection.input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        std::istringstream line(connection.input);
        std::string method;
        std::string target;
        line >> method >> target;
        connection.input.erase(0, end + 4);
        std::uint64_t id = connection.id;
        m_handler(target, [this, descriptor, id](int status, const std::string& body) {
            auto found = m_connections.find(descriptor);
            if (found == m_connections.end() || found->second.id != id)
                return;
            std::string text = "HTTP/1.1 " + std::to_string(status)
                + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
            std::size_t sent = 0;
            for (int tries = 0; sent < text.size() && tries < 1000; ++tries) {
                ssize_t count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
                if (count > 0)
                    sent += static_cast<std::size_t>(count);
                else if (errno == EAGAIN)
                    ::usleep(200);
                else
                    return;
            }
        });
    }

    void close(int descriptor)
    {
        m_loop.forget(descriptor);
        m_connections.erase(descriptor);
        ::close(descriptor);
    }

    Loop& m_loop;
    Handler m_handler;
    int m_listener {};
    std::uint64_t m_lastId {};
    std::map<int, Connection> m_connections;
};

// ---------------------------------------------------------------------------------------------------------------------
// Record of a run.

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_startedAt(Clock::now())
    {
        if (!m_file)
            throw CannotRun("cannot write " + path);
    }
    ~Record() { std::fclose(m_file); }

    __attribute__((format(printf, 2, 3))) void write(const char* format, ...)
    {
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(m_file, "%8.3f s  ", std::chrono::duration<double>(Clock::now() - m_startedAt).count());
        std::vfprintf(m_file, format, arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
        va_end(arguments);
    }

    double seconds() const { return std::chrono::duration<double>(Clock::now() - m_startedAt).count(); }

private:
    std::FILE* m_file;
    Clock::time_point m_startedAt;
};

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store, see "The platform's metadata store" in PROTOCOL.md.

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            result += i + k > text.size() ? '=' : digits[(group >> (18 - 6 * k)) & 63];
    }
    return result;
}

/** Linearizable store with watches. Each process has an address of its own, so that a case can treat them apart. */
class Store {
public:
    /** How the store treats the calls of one process. */
    struct Policy {
        Milliseconds answerTime { 4 }; ///< From the call, whose content is decided when it arrives, to its answer.
        bool isRefusing {}; ///< Answers 503.
        bool isDeaf {}; ///< Watches hear of no change, and are not answered.
    };

    Store(Loop& loop, Record& record)
        : m_loop(loop)
        , m_record(record)
    {
    }

    void listen(const std::string& process, Address local)
    {
        m_servers[process] = std::make_unique<HttpServer>(m_loop, local,
            [this, process](const std::string& target, HttpServer::Reply reply) { call(process, target, reply); });
    }

    Policy& policyOf(const std::string& process) { return m_policies[process]; }

    void put(const std::string& key, const std::string& value)
    {
        m_items[key] = { value, ++m_revision };
        m_events.push_back({ key, value, m_revision, false });
        m_record.write("store: revision %llu, %s = %s", static_cast<unsigned long long>(m_revision), key.c_str(),
            value.c_str());
        answerWatches();
    }

    void remove(const std::string& key)
    {
        m_items.erase(key);
        m_events.push_back({ key, {}, ++m_revision, true });
        m_record.write(
            "store: revision %llu, %s removed", static_cast<unsigned long long>(m_revision), key.c_str());
        answerWatches();
    }

    /** Discards the history: a watch from an older revision gets 410. */
    void discardHistory()
    {
        m_events.clear();
        m_historyFloor = m_revision;
        m_record.write("store: discards its history up to revision %llu", static_cast<unsigned long long>(m_revision));
    }

    /** Ends the waiting watches of a process with 410, as their history is no longer available. */
    void cutWatches(const std::string& process)
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            if (watch->process != process) {
                ++watch;
                continue;
            }
            m_record.write("store: cuts the watch of %s with 410", process.c_str());
            watch->reply(410, "{}");
            watch = m_watches.erase(watch);
        }
    }

    /** The store is down: it accepts connections, but answers nothing. */
    void setDown(bool isDown)
    {
        m_isDown = isDown;
        m_record.write("store: %s", isDown ? "goes down (silent)" : "is back");
        if (isDown)
            m_watches.clear();
        else
            for (auto& [process, server] : m_servers)
                server->closeConnections(); // What was sent while it was down is lost.
    }

    bool isDown() const { return m_isDown; }
    std::uint64_t revision() const { return m_revision; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
    };
    struct Event {
        std::string key;
        std::string value;
        std::uint64_t revision;
        bool isDeleted;
    };
    struct Watch {
        std::string process;
        std::uint64_t after;
        Clock::time_point end;
        HttpServer::Reply reply;
        std::uint64_t id;
    };

    static std::uint64_t numberIn(const std::string& target, const std::string& name)
    {
        auto at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
    }

    void call(const std::string& process, const std::string& target, const HttpServer::Reply& reply)
    {
        if (m_isDown)
            return;
        Policy& policy = m_policies[process];
        if (policy.isRefusing) {
            m_record.write("store: refuses a call of %s with 503", process.c_str());
            reply(503, "{}");
            return;
        }
        if (target.starts_with("/kv-range")) {
            std::string body = range();
            m_record.write("store: %s reads, as of revision %llu, answered in %lld ms", process.c_str(),
                static_cast<unsigned long long>(m_revision), static_cast<long long>(policy.answerTime.count()));
            m_loop.after(policy.answerTime, [this, process, body, reply] {
                if (m_isDown)
                    return;
                m_record.write("store: the answer to the read of %s arrives", process.c_str());
                reply(200, body);
            });
            return;
        }
        std::uint64_t after = numberIn(target, "after");
        if (after < m_historyFloor) {
            m_record.write("store: answers a watch of %s from revision %llu with 410", process.c_str(),
                static_cast<unsigned long long>(after));
            reply(410, "{}");
            return;
        }
        Milliseconds wait(numberIn(target, "WaitMs"));
        m_watches.push_back({ process, after, Clock::now() + wait, reply, ++m_lastWatch });
        std::uint64_t id = m_lastWatch;
        m_loop.after(wait, [this, id] {
            for (auto watch = m_watches.begin(); watch != m_watches.end(); ++watch) {
                if (watch->id == id) {
                    answer(*watch);
                    m_watches.erase(watch);
                    return;
                }
            }
        });
        answerWatches();
    }

    void answerWatches()
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            if (watch->after >= m_revision || m_policies[watch->process].isDeaf) {
                ++watch;
                continue;
            }
            answer(*watch);
            watch = m_watches.erase(watch);
        }
    }

    void answer(const Watch& watch)
    {
        if (m_isDown)
            return;
        std::string events;
        for (const auto& event : m_events) {
            if (event.revision <= watch.after || m_policies[watch.process].isDeaf)
                continue;
            if (!events.empty())
                events += ',';
            events += event.isDeleted
                ? "{\"Key\":\"" + event.key + "\",\"Revision\":" + std::to_string(event.revision) + ",\"Deleted\":true}"
                : itemText(event.key, event.value, event.revision);
        }
        std::uint64_t asOf = m_policies[watch.process].isDeaf ? watch.after : m_revision;
        std::string body = "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(asOf) + "}";
        auto reply = watch.reply;
        m_loop.after(m_policies[watch.process].answerTime, [this, body, reply] {
            if (!m_isDown)
                reply(200, body);
        });
    }

    std::string range() const
    {
        std::string items;
        for (const auto& [key, item] : m_items)
            items += (items.empty() ? "" : ",") + itemText(key, item.value, item.revision);
        return "{\"items\":[" + items + "],\"Truncated\":false,\"AsOf\":" + std::to_string(m_revision) + "}";
    }

    static std::string itemText(const std::string& key, const std::string& value, std::uint64_t revision)
    {
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(value) + "\",\"Revision\":" + std::to_string(revision)
            + ",\"Created\":" + std::to_string(revision) + ",\"Lease\":0}";
    }

    Loop& m_loop;
    Record& m_record;
    std::map<std::string, std::unique_ptr<HttpServer>> m_servers;
    std::map<std::string, Policy> m_policies;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::list<Watch> m_watches;
    std::uint64_t m_revision { 100 };
    std::uint64_t m_historyFloor {};
    std::uint64_t m_lastWatch {};
    bool m_isDown {};
};

// ---------------------------------------------------------------------------------------------------------------------
// Hosts, see "Hosts" and "Service discovery" in PROTOCOL.md.

using FlowKey = std::tuple<Address, Address>; ///< Consumer's end and the route's address.

struct HostOptions {
    std::string service { "web" };
    std::string zone { "zone-a" };
    unsigned slots { 4 };
    Milliseconds work { 20 }; ///< Time that a request takes, unless its path says otherwise.
    Milliseconds heartbeat { 1200 };
    Milliseconds warmup { 2000 };
};

/** One place for a host: a machine's application address. Each start is a new lifetime. */
class Host {
public:
    Host(Loop& loop, Record& record, Store& store, std::string name, Address app, Address outbound, HostOptions options)
        : m_loop(loop)
        , m_record(record)
        , m_store(store)
        , m_name(std::move(name))
        , m_app(app)
        , m_outbound(outbound)
        , m_options(std::move(options))
    {
    }

    void start(const std::string& id, bool isCold)
    {
        m_id = id;
        m_isRunning = true;
        m_state = "ready";
        m_coldUntil = isCold ? Clock::now() + m_options.warmup : Clock::time_point {};
        m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_sequence = 0;
        m_written.clear();
        m_lifetime = std::make_shared<int>(0);
        m_health = std::make_unique<HttpServer>(m_loop, m_app, [this](const std::string&, HttpServer::Reply reply) {
            reply(m_state == "ready" ? 200 : 503, "{}");
        });
        m_socket = std::make_unique<Udp>(m_loop, m_app, [this](const std::string& bytes) { onPacket(bytes); });
        m_record.write("%s: starts as %s%s", m_name.c_str(), id.c_str(), isCold ? ", cold" : "");
        beat();
    }

    /** The host ends without notice. Its entry expires after three heartbeat intervals of silence. */
    void crash()
    {
        m_record.write("%s: %s crashes", m_name.c_str(), m_id.c_str());
        end();
        expireEntry(m_id, 3 * m_options.heartbeat);
    }

    /** The host ends after it was drained. Its entry is removed. */
    void leave()
    {
        m_record.write("%s: %s has left", m_name.c_str(), m_id.c_str());
        end();
        expireEntry(m_id, Milliseconds(0));
    }

    void end()
    {
        m_isRunning = false;
        m_lifetime.reset();
        m_health.reset();
        m_socket.reset();
        m_flows.clear();
        m_waiting.clear();
        m_busy = 0;
    }

    void setState(const std::string& state)
    {
        m_state = state;
        m_record.write("%s: %s reports %s", m_name.c_str(), m_id.c_str(), state.c_str());
        writeEntry();
    }

    /** Writes the entry if the store is reachable and more than its `Seq` changed. */
    void writeEntry()
    {
        if (m_store.isDown())
            return;
        std::string content = entry(0);
        if (content == m_written)
            return;
        m_written = content;
        m_store.put("servers/" + m_id, entry(++m_sequence));
    }

    std::string entry(unsigned sequence) const
    {
        auto left = std::chrono::duration_cast<Milliseconds>(m_coldUntil - Clock::now()).count();
        std::string warm = m_coldUntil == Clock::time_point {} || left < 0 ? "0" : std::to_string(left);
        return "{\"Service\":\"" + m_options.service + "\",\"Addr\":\"" + textOf(m_app) + "\",\"Zone\":\""
            + m_options.zone + "\",\"Version\":\"v1\",\"MaxConcurrency\":" + std::to_string(m_options.slots)
            + ",\"State\":\"" + m_state + "\",\"WarmupLeftMs\":" + warm + ",\"Seq\":" + std::to_string(sequence)
            + ",\"born\":" + std::to_string(m_born) + "}";
    }

    struct Opening {
        Clock::time_point at;
        Address consumer;
        bool wasCold;
        std::string id;
    };
    struct Run {
        Clock::time_point at;
        std::string request;
        std::string id;
    };

    const std::string& id() const { return m_id; }
    const std::string& name() const { return m_name; }
    Address app() const { return m_app; }
    std::int64_t born() const { return m_born; }
    /** @return Whether a flow of this consumer is open here. */
    bool holds(Address consumer) const
    {
        for (const auto& [key, flow] : m_flows) {
            if (std::get<0>(key) == consumer && flow.isOpen)
                return true;
        }
        return false;
    }
    const std::vector<Opening>& openings() const { return m_openings; } ///< Opening packets taken, without copies.
    const std::vector<Run>& runs() const { return m_runs; }
    std::size_t forged() const { return m_forged; } ///< Packets whose sum was wrong.

private:
    struct Flow {
        std::uint32_t first {}; ///< The host's first sequence number.
        std::uint32_t next {}; ///< Next sequence number that the host sends.
        std::uint32_t expected {}; ///< Next sequence number of the consumer.
        bool isOpen {};
        std::string lastAnswer; ///< Sent again when the request is repeated.
        std::uint32_t lastAnswerSeq {};
        bool isWorking {};
    };

    void beat()
    {
        if (m_isRunning)
            writeEntry();
        std::weak_ptr<int> lifetime = m_lifetime;
        m_loop.after(m_options.heartbeat, [this, lifetime] {
            if (!lifetime.expired())
                beat();
        });
        // An entry that could not be written is written soon after the store is back.
        if (m_store.isDown())
            m_loop.after(Milliseconds(100), [this, lifetime] { retryEntry(lifetime); });
    }

    void retryEntry(std::weak_ptr<int> lifetime)
    {
        if (lifetime.expired())
            return;
        if (m_store.isDown())
            m_loop.after(Milliseconds(100), [this, lifetime] { retryEntry(lifetime); });
        else
            writeEntry();
    }

    void expireEntry(const std::string& id, Milliseconds delay)
    {
        m_loop.after(delay, [this, id] {
            if (m_store.isDown())
                expireEntry(id, Milliseconds(100));
            else if (!m_isRunning || m_id != id)
                m_store.remove("servers/" + id);
        });
    }

    void send(Packet packet)
    {
        packet.sum = packet.computeSum();
        m_socket->send(m_outbound, packet.encode());
    }

    void onPacket(const std::string& bytes)
    {
        Packet packet;
        if (!Packet::decode(bytes, packet) || packet.sum != packet.computeSum()) {
            ++m_forged;
            m_record.write("%s: gets a packet that its sender did not write so", m_name.c_str());
            return;
        }
        FlowKey key { packet.source, packet.destination };
        auto found = m_flows.find(key);
        bool isSyn = (packet.flags & flagSyn) && !(packet.flags & flagAck);
        if (isSyn) {
            if (found == m_flows.end()) {
                bool isCold = m_coldUntil != Clock::time_point {} && Clock::now() < m_coldUntil;
                m_openings.push_back({ Clock::now(), packet.source, isCold, m_id });
                m_record.write("%s: %s takes the opening packet of %s%s", m_name.c_str(), m_id.c_str(),
                    textOf(packet.source).c_str(), isCold ? " while cold" : "");
                std::uint32_t first = randomBits();
                found = m_flows.emplace(key, Flow { .first = first, .next = first + 1, .expected = packet.seq + 1 })
                            .first;
            }
            send({ .seq = found->second.first,
                .ack = packet.seq + 1,
                .flags = flagSyn | flagAck,
                .source = packet.destination,
                .destination = packet.source });
            return;
        }
        bool isHeld = found != m_flows.end()
            && (found->second.isOpen || packet.ack - found->second.first - 1 < 16);
        if (!isHeld) {
            packet.flags |= flagBounced;
            packet.pad = 0;
            m_record.write("%s: %s returns a packet of %s", m_name.c_str(), m_id.c_str(),
                textOf(packet.source).c_str());
            m_socket->send(m_outbound, packet.encode());
            return;
        }
        Flow& flow = found->second;
        if (packet.flags & flagRst) {
            m_flows.erase(found);
            return;
        }
        flow.isOpen = true;
        if (!packet.data.empty())
            onRequest(key, flow, packet);
        else if (packet.flags & flagFin) {
            send({ .seq = flow.next,
                .ack = packet.seq + 1,
                .flags = flagAck | flagFin,
                .source = packet.destination,
                .destination = packet.source });
            m_flows.erase(found);
        }
    }

    void onRequest(const FlowKey& key, Flow& flow, const Packet& packet)
    {
        if (packet.seq != flow.expected) {
            if (!flow.isWorking && !flow.lastAnswer.empty())
                sendAnswer(key, flow); // The request was repeated, so the answer was lost.
            return;
        }
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        flow.isWorking = true;
        auto field = packet.data.find("Request-Id: ");
        std::string request = packet.data.substr(field + 12, packet.data.find('\r', field) - field - 12);
        Milliseconds work = m_options.work;
        auto at = packet.data.find("/take/");
        if (at != std::string::npos)
            work = Milliseconds(std::strtol(packet.data.c_str() + at + 6, nullptr, 10));
        m_waiting.push_back({ key, request, work });
        runNext();
    }

    void runNext()
    {
        while (m_busy < m_options.slots && !m_waiting.empty()) {
            auto [key, request, work] = m_waiting.front();
            m_waiting.pop_front();
            ++m_busy;
            m_runs.push_back({ Clock::now(), request, m_id });
            m_record.write("%s: %s runs request %s", m_name.c_str(), m_id.c_str(), request.c_str());
            std::weak_ptr<int> lifetime = m_lifetime;
            m_loop.after(work, [this, lifetime, key = key, request = request] {
                if (lifetime.expired())
                    return;
                --m_busy;
                auto found = m_flows.find(key);
                if (found != m_flows.end()) {
                    Flow& flow = found->second;
                    flow.isWorking = false;
                    flow.lastAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: " + m_id
                        + "\r\nContent-Length: 5\r\n\r\nhello";
                    flow.lastAnswerSeq = flow.next;
                    flow.next += static_cast<std::uint32_t>(flow.lastAnswer.size());
                    sendAnswer(key, flow);
                }
                runNext();
            });
        }
    }

    void sendAnswer(const FlowKey& key, const Flow& flow)
    {
        send({ .seq = flow.lastAnswerSeq,
            .ack = flow.expected,
            .flags = flagAck,
            .source = std::get<1>(key),
            .destination = std::get<0>(key),
            .data = flow.lastAnswer });
    }

    struct Waiting {
        FlowKey key;
        std::string request;
        Milliseconds work;
    };

    Loop& m_loop;
    Record& m_record;
    Store& m_store;
    std::string m_name;
    Address m_app;
    Address m_outbound;
    HostOptions m_options;
    std::string m_id;
    std::string m_state;
    bool m_isRunning {};
    Clock::time_point m_coldUntil;
    std::int64_t m_born {};
    unsigned m_sequence {};
    std::string m_written;
    std::unique_ptr<HttpServer> m_health;
    std::unique_ptr<Udp> m_socket;
    std::map<FlowKey, Flow> m_flows;
    std::deque<Waiting> m_waiting;
    unsigned m_busy {};
    std::vector<Opening> m_openings;
    std::vector<Run> m_runs;
    std::size_t m_forged {};
    std::shared_ptr<int> m_lifetime; ///< Expires with the lifetime, so that its timers do nothing afterwards.
};

// ---------------------------------------------------------------------------------------------------------------------
// Consumers, see "Flows" in PROTOCOL.md.

/** One flow of a consumer. */
class Flow {
public:
    enum class End { None, Reset, TimedOut, Closed };

    /** @param router Balancer that the routers forward a packet to. */
    Flow(Loop& loop, Record& record, Udp& socket, Address self, Address route, std::function<Address()> router)
        : m_loop(loop)
        , m_record(record)
        , m_socket(socket)
        , m_self(self)
        , m_route(route)
        , m_router(std::move(router))
        , m_alive(std::make_shared<int>(0))
    {
        m_seq = randomBits();
        m_openedAt = Clock::now();
        m_record.write("consumer %s: opens a flow to %s", textOf(m_self).c_str(), textOf(m_route).c_str());
        sendSyn(0);
        later(Milliseconds(200), [this] { copySyn(1); });
        later(Milliseconds(600), [this] { copySyn(2); });
        later(Milliseconds(1400), [this] {
            if (!m_isOpen && m_end == End::None)
                finish(End::TimedOut, "is not opened in time");
        });
    }

    /** Sends a request once the flow is open. One at a time. */
    void request(const std::string& id, const std::string& path = "/")
    {
        m_requestId = id;
        m_path = path;
        m_isAnswered = false;
        m_answer.clear();
        if (m_isOpen)
            sendRequest();
    }

    void onPacket(const Packet& packet)
    {
        bool isReset = (packet.flags & flagRst) != 0;
        if (packet.sum != packet.computeSum()) {
            bool isOfSystem = isReset && !packet.sum && packet.data.empty();
            std::uint32_t distance = packet.seq - m_ack;
            bool isInWindow = distance <= resetWindow || -distance <= resetWindow;
            if (!isOfSystem || (m_isOpen && !isInWindow)) {
                ++m_forged;
                m_record.write("consumer %s: gets a packet that nobody may send: flags %u, seq %u, sum %u, own ack %u",
                    textOf(m_self).c_str(), packet.flags, packet.seq, packet.sum, m_ack);
                return;
            }
            m_wasOpenAtReset = m_isOpen;
            if (m_end == End::None)
                finish(End::Reset, m_isOpen ? "is reset by the system while open" : "is refused with a reset");
            return;
        }
        if (isReset) {
            finish(End::Reset, "is reset by its host");
            m_wasResetByHost = true;
            return;
        }
        if (m_end != End::None)
            return;
        if (packet.flags & flagSyn) {
            if (m_isOpen)
                return;
            m_isOpen = true;
            m_hostNext = packet.seq + 1;
            m_ack = m_hostNext;
            m_seq += 1;
            sendAck();
            if (!m_requestId.empty() && !m_isAnswered)
                sendRequest();
            return;
        }
        if (packet.seq != m_hostNext || packet.data.empty())
            return;
        m_hostNext += static_cast<std::uint32_t>(packet.data.size());
        m_answer = packet.data;
        m_isAnswered = true;
        m_seq += static_cast<std::uint32_t>(m_sent.size());
        m_sent.clear();
        m_record.write("consumer %s: request %s is answered", textOf(m_self).c_str(), m_requestId.c_str());
        // Each second packet is acknowledged at once, the others with the next data.
        if (++m_received % 2 == 0) {
            m_ack = m_hostNext;
            sendAck();
        }
    }

    bool isOpen() const { return m_isOpen; }
    bool isAnswered() const { return m_isAnswered; }
    End end() const { return m_end; }
    bool wasOpenAtReset() const { return m_wasOpenAtReset; }
    bool wasResetByHost() const { return m_wasResetByHost; }
    Address self() const { return m_self; }
    Clock::time_point openedAt() const { return m_openedAt; }
    std::size_t forged() const { return m_forged; }

private:
    void later(Milliseconds delay, std::function<void()> action)
    {
        std::weak_ptr<int> alive = m_alive;
        m_loop.after(delay, [alive, action = std::move(action)] {
            if (!alive.expired())
                action();
        });
    }

    void send(Packet packet)
    {
        packet.source = m_self;
        packet.destination = m_route;
        packet.sum = packet.computeSum();
        m_socket.send(m_router(), packet.encode());
    }

    void sendSyn(std::uint32_t copy) { send({ .seq = m_seq, .ack = copy, .flags = flagSyn }); }

    void copySyn(std::uint32_t copy)
    {
        if (!m_isOpen && m_end == End::None)
            sendSyn(copy);
    }

    void sendAck() { send({ .seq = m_seq, .ack = m_ack, .flags = flagAck }); }

    void sendRequest()
    {
        m_sent = "POST " + m_path + " HTTP/1.1\r\nRequest-Id: " + m_requestId + "\r\nContent-Length: 0\r\n\r\n";
        m_record.write("consumer %s: sends request %s", textOf(m_self).c_str(), m_requestId.c_str());
        transmit(m_requestId, Milliseconds(200));
    }

    void transmit(const std::string& id, Milliseconds interval)
    {
        if (m_isAnswered || m_end != End::None || id != m_requestId)
            return;
        m_ack = m_hostNext;
        send({ .seq = m_seq, .ack = m_ack, .flags = flagAck, .data = m_sent });
        later(interval, [this, id, interval] { transmit(id, std::min(interval * 2, Milliseconds(1600))); });
    }

    void finish(End end, const char* what)
    {
        m_end = end;
        m_record.write("consumer %s: the flow %s", textOf(m_self).c_str(), what);
    }

    Loop& m_loop;
    Record& m_record;
    Udp& m_socket;
    Address m_self;
    Address m_route;
    std::function<Address()> m_router;
    std::uint32_t m_seq {};
    std::uint32_t m_ack {}; ///< Last acknowledgement sent.
    std::uint32_t m_hostNext {};
    bool m_isOpen {};
    bool m_isAnswered {};
    bool m_wasOpenAtReset {};
    bool m_wasResetByHost {};
    End m_end { End::None };
    std::string m_requestId;
    std::string m_path;
    std::string m_sent;
    std::string m_answer;
    std::size_t m_received {};
    std::size_t m_forged {};
    Clock::time_point m_openedAt;
    std::shared_ptr<int> m_alive;
};

// ---------------------------------------------------------------------------------------------------------------------
// A small deployment.

struct RouteOptions {
    std::uint16_t port;
    std::string kind { "unsafe" };
    unsigned timeoutMs { 2500 };
    std::string service { "web" };
};

/** Addresses, settings and processes of one deployment. */
class World {
public:
    World(const std::string& recordPath)
        : m_record(recordPath)
        , m_store(m_loop, m_record)
    {
        char pattern[] = "/tmp/hawthorncroft-review-XXXXXX";
        if (!::mkdtemp(pattern))
            throw CannotRun("no temporary folder");
        m_directory = pattern;
        m_net = 127U << 24 | (16 + randomBits() % 200) << 16;
        m_port = static_cast<std::uint16_t>(20000 + randomBits() % 400 * 20);
        m_consumerSocket = std::make_unique<Udp>(
            m_loop, Address { consumerIp(), dataPort() }, [this](const std::string& bytes) { onConsumerPacket(bytes); });
    }

    ~World()
    {
        for (auto& [name, pid] : m_processes)
            ::kill(pid, SIGKILL);
        for (auto& [name, pid] : m_processes)
            ::waitpid(pid, nullptr, 0);
        m_hosts.clear();
        if (!std::getenv("KEEP"))
            std::system(("rm -rf '" + m_directory + "'").c_str());
    }

    Loop& loop() { return m_loop; }
    Record& record() { return m_record; }
    Store& store() { return m_store; }

    std::uint32_t balancerIp(unsigned i) const { return m_net | 1 << 8 | i; }
    std::uint32_t hostIp(unsigned i) const { return m_net | 2 << 8 | i; }
    std::uint32_t consumerIp() const { return m_net | 3 << 8 | 1; }
    std::uint32_t routeIp() const { return m_net | 9 << 8 | 1; }
    std::uint16_t dataPort() const { return m_port; }

    void run(unsigned milliseconds) { m_loop.run(Milliseconds(milliseconds)); }

    /** The operator writes a configuration. */
    void configure(unsigned version, const std::vector<RouteOptions>& routes, double warmupPerS = 0)
    {
        std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
        std::set<std::string> services;
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const auto& route = routes[i];
            services.insert(route.service);
            text += (i ? "," : "") + std::string("{\"Name\":\"r-") + std::to_string(route.port) + "\",\"Host\":\""
                + textOf(routeIp()) + "\",\"Prefix\":\"/" + std::to_string(route.port) + "/\",\"Kind\":\"" + route.kind
                + "\",\"TimeoutMs\":" + std::to_string(route.timeoutMs)
                + ",\"TargetLatencyMs\":150,\"Priority\":1,\"Service\":\"" + route.service + "\",\"MaxAttempts\":2}";
        }
        text += "],\"Services\":[";
        std::size_t count = 0;
        for (const auto& service : services) {
            char warmup[32];
            std::snprintf(warmup, sizeof warmup, "%.1f", warmupPerS);
            text += (count++ ? "," : "") + std::string("{\"Name\":\"") + service
                + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,"
                  "\"WarmupPerS\":"
                + warmup + "}";
        }
        text += "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
                "\"IdleTimeoutMs\":15000}}";
        m_store.put("op/config", text);
    }

    Host& addHost(unsigned i, const HostOptions& options = {})
    {
        auto port = static_cast<std::uint16_t>(m_port + 3);
        m_hosts[i] = std::make_unique<Host>(m_loop, m_record, m_store, "host " + std::to_string(i),
            Address { hostIp(i), port }, Address { hostIp(i), static_cast<std::uint16_t>(m_port + 2) }, options);
        m_hostOptions[i] = options;
        return *m_hosts[i];
    }
    Host& host(unsigned i) { return *m_hosts.at(i); }

    /** Number of balancers in the settings' seeds; at most three. */
    void setBalancers(unsigned count, std::vector<std::string> zones)
    {
        m_balancers = count;
        m_balancerZones = std::move(zones);
    }

    void startBalancer(unsigned i, bool isBootstrap = false)
    {
        std::string name = "balancer-" + std::to_string(i);
        Address data { balancerIp(i), m_port };
        std::string text = commonSettings(name, balancerIp(i), m_balancerZones.at(i - 1), isBootstrap)
            + ",\"packets\":\"" + textOf(data) + "\",\"linkMbps\":1000.0,\"graceSeconds\":6}";
        start(name, "target/hawthorncroft-platform-balancer", text);
    }

    void startAgent(unsigned i, bool isBootstrap = false)
    {
        std::string name = "agent-" + std::to_string(i);
        const auto& options = m_hostOptions.at(i);
        std::string text = commonSettings(name, hostIp(i), options.zone, isBootstrap) + ",\"packets\":\""
            + textOf(Address { hostIp(i), static_cast<std::uint16_t>(m_port + 2) }) + "\",\"target\":\""
            + textOf(Address { hostIp(i), static_cast<std::uint16_t>(m_port + 3) }) + "\",\"service\":\""
            + options.service + "\",\"warmupExcess\":1.5,\"warmupSlack\":5}";
        start(name, "target/hawthorncroft-platform-agent", text);
    }

    void kill(const std::string& name, int signal = SIGKILL)
    {
        m_record.write("%s gets signal %d", name.c_str(), signal);
        ::kill(m_processes.at(name), signal);
        if (signal == SIGKILL) {
            ::waitpid(m_processes.at(name), nullptr, 0);
            m_processes.erase(name);
        }
    }

    /** Waits until a process that got SIGTERM has ended. */
    void awaitEnd(const std::string& name, unsigned milliseconds)
    {
        pid_t pid = m_processes.at(name);
        bool hasEnded
            = m_loop.runUntil([&] { return ::waitpid(pid, nullptr, WNOHANG) == pid; }, Milliseconds(milliseconds));
        if (!hasEnded)
            throw CannotRun(name + " does not end");
        m_processes.erase(name);
        m_record.write("%s has ended", name.c_str());
    }

    bool isReady(const std::string& name)
    {
        bool isBalancer = name.starts_with("balancer");
        unsigned i = static_cast<unsigned>(std::stoul(name.substr(name.find('-') + 1)));
        Address address { isBalancer ? balancerIp(i) : hostIp(i), static_cast<std::uint16_t>(m_port + 1) };
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit { 0, 100000 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in remote = socketAddressOf(address);
        std::string answer;
        if (!::connect(descriptor, reinterpret_cast<sockaddr*>(&remote), sizeof remote)) {
            std::string request = "GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
            ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
            char buffer[256];
            ssize_t size = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (size > 0)
                answer.assign(buffer, static_cast<std::size_t>(size));
        }
        ::close(descriptor);
        return answer.find(" 200 ") != std::string::npos;
    }

    void awaitReady(const std::string& name, unsigned milliseconds = 8000)
    {
        auto end = Clock::now() + Milliseconds(milliseconds);
        while (!isReady(name)) {
            if (Clock::now() >= end)
                throw CannotRun(name + " does not become ready");
            run(20);
        }
        m_record.write("%s is ready", name.c_str());
    }

    /** Opens a flow; its packets go to the balancer that `balancer` holds at the time, as the routers decide. */
    Flow& open(std::uint16_t routePort, std::function<unsigned()> balancer)
    {
        Address self { consumerIp(), static_cast<std::uint16_t>(++m_lastConsumerPort) };
        auto router = [this, balancer] { return Address { balancerIp(balancer()), m_port }; };
        m_flows[self] = std::make_unique<Flow>(
            m_loop, m_record, *m_consumerSocket, self, Address { routeIp(), routePort }, router);
        return *m_flows[self];
    }
    Flow& open(std::uint16_t routePort, unsigned balancer)
    {
        return open(routePort, [balancer] { return balancer; });
    }

    std::map<Address, std::unique_ptr<Flow>>& flows() { return m_flows; }

private:
    std::string commonSettings(
        const std::string& name, std::uint32_t ip, const std::string& zone, bool isBootstrap)
    {
        if (!m_storePorts.contains(name)) {
            auto port = static_cast<std::uint16_t>(m_port + 6 + m_storePorts.size());
            m_storePorts[name] = port;
            m_store.listen(name, { m_net | 8 << 8 | 1, port });
        }
        std::string seeds;
        for (unsigned i = 1; i <= std::min(m_balancers, 3U); ++i)
            seeds += (i > 1 ? "," : "") + std::string("\"")
                + textOf(Address { balancerIp(i), static_cast<std::uint16_t>(m_port + 5) }) + "\"";
        return "{\"vm\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"data\":\""
            + textOf(Address { ip, m_port }) + "\",\"status\":\""
            + textOf(Address { ip, static_cast<std::uint16_t>(m_port + 1) }) + "\",\"fleetPort\":"
            + std::to_string(m_port + 4) + ",\"store\":\"" + textOf(Address { m_net | 8 << 8 | 1, m_storePorts[name] })
            + "\",\"seeds\":[" + seeds + "],\"isFirstStart\":" + (isBootstrap ? "true" : "false");
    }

    void start(const std::string& name, const std::string& program, const std::string& settings)
    {
        std::string file = m_directory + "/" + name + ".json";
        std::ofstream(file) << settings;
        m_record.write("%s is started: %s", name.c_str(), program.c_str());
        pid_t pid = ::fork();
        if (pid < 0)
            throw CannotRun("fork failed");
        if (!pid) {
            int output = ::open((m_directory + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            std::string variable = "HAWTHORNCROFT_BOOT=" + file;
            const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
            const char* arguments[] = { program.c_str(), nullptr };
            ::execve(program.c_str(), const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
            ::_exit(127);
        }
        m_processes[name] = pid;
    }

    void onConsumerPacket(const std::string& bytes)
    {
        Packet packet;
        if (!Packet::decode(bytes, packet)) {
            m_record.write("consumers: a packet that cannot be decoded arrives");
            return;
        }
        auto found = m_flows.find(packet.destination);
        if (found != m_flows.end())
            found->second->onPacket(packet);
    }

    Loop m_loop;
    Record m_record;
    Store m_store;
    std::string m_directory;
    std::uint32_t m_net {};
    std::uint16_t m_port {};
    unsigned m_balancers { 1 };
    std::vector<std::string> m_balancerZones;
    std::map<std::string, std::uint16_t> m_storePorts;
    std::map<std::string, pid_t> m_processes;
    std::map<unsigned, std::unique_ptr<Host>> m_hosts;
    std::map<unsigned, HostOptions> m_hostOptions;
    std::unique_ptr<Udp> m_consumerSocket;
    std::map<Address, std::unique_ptr<Flow>> m_flows;
    std::uint32_t m_lastConsumerPort { 40000 };
};

/** Runs a case: `case RECORD`. @return Exit status of the case. */
inline int runCase(int argc, char** argv, int (*body)(World& world, bool hasTrouble))
{
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    bool hasTrouble = !trouble || std::string(trouble) != "0";
    std::string path = argc > 1 ? argv[1] : "record.txt";
    for (int attempt = 1;; ++attempt) {
        try {
            World world(path);
            world.record().write("%s", hasTrouble ? "with the disruption" : "without the disruption");
            int status = body(world, hasTrouble);
            world.record().write("result: %s", status == exitHeld ? "the rule held" : "the rule was broken");
            std::printf("%s\n", status == exitHeld ? "held" : "broken");
            return status;
        } catch (const std::exception& error) {
            // A port may be taken; other addresses are drawn. Anything else fails again.
            std::string what = error.what();
            std::fprintf(stderr, "cannot run: %s\n", what.c_str());
            if (attempt < 3 && what.starts_with("cannot "))
                continue;
            std::FILE* file = std::fopen(path.c_str(), "a");
            if (file) {
                std::fprintf(file, "the case could not run: %s\n", what.c_str());
                std::fclose(file);
            }
            return exitCouldNotRun;
        }
    }
}

} // namespace review
