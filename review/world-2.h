/**
 * @file world-2.h
 * Stand-ins for the cases 6 to 10: the platform's store, hosts, routers and consumers, and the processes of the system
 * as the deploy file starts them. Everything but the processes runs in one thread around poll(). It follows PROTOCOL.md
 * and DEPLOY.md; names are those of the pages.
 */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review2 {

/** The case cannot run, for example because a process does not start. */
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/** record.txt: what was sent, answered and run, with the time in milliseconds since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        char time[32];
        snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(nowMs()) / 1000);
        m_out << time << text << std::endl;
    }

private:
    std::ofstream m_out;
};

/** poll() loop with timers. */
class Loop {
public:
    using Action = std::function<void()>;

    void watch(int descriptor, short events, Action action) { m_watched[descriptor] = { events, std::move(action) }; }
    void unwatch(int descriptor) { m_watched.erase(descriptor); }
    void after(std::int64_t ms, Action action) { m_timers.emplace(nowMs() + ms, std::move(action)); }
    void stop() { m_isStopped = true; }

    void run()
    {
        while (!m_isStopped) {
            while (!m_timers.empty() && m_timers.begin()->first <= nowMs()) {
                Action action = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                action();
                if (m_isStopped)
                    return;
            }
            std::vector<pollfd> polled;
            for (const auto& [descriptor, watched] : m_watched)
                polled.push_back({ descriptor, watched.events, 0 });
            std::int64_t wait
                = m_timers.empty() ? 100 : std::clamp<std::int64_t>(m_timers.begin()->first - nowMs(), 0, 100);
            poll(polled.data(), polled.size(), static_cast<int>(wait));
            for (const pollfd& each : polled) {
                auto found = m_watched.find(each.fd);
                if (!each.revents || found == m_watched.end())
                    continue;
                Action action = found->second.action; // The action may end the watch.
                action();
            }
        }
    }

private:
    struct Watched {
        short events {};
        Action action;
    };
    std::map<int, Watched> m_watched;
    std::multimap<std::int64_t, Action> m_timers;
    bool m_isStopped {};
};

inline sockaddr_in socketAddress(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Non-blocking socket bound to an address. @throws CannotRun */
inline int boundSocket(int type, const std::string& ip, std::uint16_t port)
{
    int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    if (type == SOCK_STREAM)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    int bytes = 4 << 20;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in address = socketAddress(ip, port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        throw CannotRun(ip + ":" + std::to_string(port) + ": " + strerror(errno));
    return descriptor;
}

class Udp {
public:
    using Handler = std::function<void(const std::vector<std::uint8_t>&)>;

    Udp(Loop& loop, const std::string& ip, std::uint16_t port, Handler handler)
        : m_loop(loop)
        , m_descriptor(boundSocket(SOCK_DGRAM, ip, port))
    {
        loop.watch(m_descriptor, POLLIN, [this, handler = std::move(handler)] {
            std::vector<std::uint8_t> bytes(65536);
            for (int i = 0; i < 256; ++i) {
                ssize_t size = recv(m_descriptor, bytes.data(), bytes.size(), 0);
                if (size < 0)
                    return;
                handler({ bytes.begin(), bytes.begin() + size });
            }
        });
    }
    Udp(const Udp&) = delete;
    Udp& operator=(const Udp&) = delete;
    ~Udp()
    {
        m_loop.unwatch(m_descriptor);
        close(m_descriptor);
    }

    void send(const std::string& ip, std::uint16_t port, const std::vector<std::uint8_t>& bytes)
    {
        sockaddr_in to = socketAddress(ip, port);
        sendto(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    }

private:
    Loop& m_loop;
    int m_descriptor;
};

/** HTTP/1.1 server for bodiless requests; an answer may be given later, or never. */
class Http {
public:
    struct Connection {
        int descriptor { -1 };
        std::string input;
    };
    using Peer = std::shared_ptr<Connection>;
    using Handler = std::function<void(Peer, const std::string& target)>;

    Http(Loop& loop, const std::string& ip, std::uint16_t port, Handler handler)
        : m_loop(loop)
        , m_listener(boundSocket(SOCK_STREAM, ip, port))
        , m_handler(std::move(handler))
    {
        if (listen(m_listener, 128) != 0)
            throw CannotRun("listen: " + std::string(strerror(errno)));
        loop.watch(m_listener, POLLIN, [this] { accept(); });
    }
    Http(const Http&) = delete;
    Http& operator=(const Http&) = delete;
    ~Http()
    {
        m_loop.unwatch(m_listener);
        close(m_listener);
        for (const auto& peer : std::set<Peer>(m_peers))
            drop(peer);
    }

    void answer(const Peer& peer, int status, const std::string& body, const std::string& headers = {})
    {
        if (peer->descriptor < 0)
            return;
        std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status")
            + "\r\nContent-Type: application/json\r\n" + headers + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < text.size()) {
            ssize_t size = ::send(peer->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size < 0 && errno == EAGAIN) {
                pollfd waited { peer->descriptor, POLLOUT, 0 };
                poll(&waited, 1, 100);
                continue;
            }
            if (size < 0)
                return drop(peer);
            sent += static_cast<std::size_t>(size);
        }
    }

    void drop(const Peer& peer)
    {
        if (peer->descriptor < 0)
            return;
        m_loop.unwatch(peer->descriptor);
        close(peer->descriptor);
        peer->descriptor = -1;
        m_peers.erase(peer);
    }

private:
    void accept()
    {
        int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        auto peer = std::make_shared<Connection>();
        peer->descriptor = descriptor;
        m_peers.insert(peer);
        m_loop.watch(descriptor, POLLIN, [this, peer] { read(peer); });
    }

    void read(const Peer& peer)
    {
        char bytes[4096];
        ssize_t size = recv(peer->descriptor, bytes, sizeof(bytes), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN))
            return drop(peer);
        if (size > 0)
            peer->input.append(bytes, static_cast<std::size_t>(size));
        std::size_t end = peer->input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        std::istringstream head(peer->input.substr(0, end));
        std::string method;
        std::string target;
        head >> method >> target;
        peer->input.erase(0, end + 4);
        m_handler(peer, target);
    }

    Loop& m_loop;
    int m_listener;
    Handler m_handler;
    std::set<Peer> m_peers;
};

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        std::size_t size = std::min<std::size_t>(3, text.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
            bits = bits << 8 | (i < size ? static_cast<std::uint8_t>(text[at + i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            out += i <= size ? digits[bits >> (18 - 6 * i) & 63] : '=';
    }
    return out;
}

/** The platform's metadata store: range reads and watches. */
class Store {
public:
    enum class State { Up, Busy, Silent };

    Store(Loop& loop, Record& record, const std::string& ip, std::uint16_t port)
        : m_loop(loop)
        , m_record(record)
        , m_ip(ip)
        , m_http(std::make_unique<Http>(
              loop, ip, port, [this](Http::Peer peer, const std::string& target) { onCall(std::move(peer), target); }))
    {
    }

    /** @return Whether the store accepted the write; the return is the ack. */
    bool put(const std::string& key, const std::string& value)
    {
        if (m_state != State::Up)
            return false;
        m_items[key] = { value, ++m_revision, false };
        m_record.line("store: ack revision %llu: %s = %.200s", static_cast<unsigned long long>(m_revision), key.c_str(),
            value.c_str());
        answerWatches();
        return true;
    }

    bool remove(const std::string& key)
    {
        auto found = m_items.find(key);
        if (m_state != State::Up || found == m_items.end() || found->second.isRemoved)
            return false;
        found->second = { {}, ++m_revision, true };
        m_record.line("store: ack revision %llu: %s removed", static_cast<unsigned long long>(m_revision), key.c_str());
        answerWatches();
        return true;
    }

    void setState(State state)
    {
        m_state = state;
        m_record.line("store: %s", state == State::Up ? "up" : state == State::Busy ? "answers 503" : "silent");
        if (state == State::Busy) {
            for (const Watch& watch : std::exchange(m_watches, {}))
                answer(watch.peer, 503, "{}");
        }
        answerWatches();
    }

    State state() const { return m_state; }

    /** The same store is reached at a further port, too. */
    void listenAt(std::uint16_t port)
    {
        m_nextHttp = std::make_unique<Http>(m_loop, m_ip, port,
            [this](Http::Peer peer, const std::string& target) { onCall(std::move(peer), target); });
        m_record.line("store: is reached at port %u, too", port);
    }

    /** The first port closes. */
    void closeFirstPort()
    {
        std::erase_if(m_watches, [](const Watch&) { return true; });
        m_http.reset();
        m_record.line("store: is no longer reached at its first port");
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision {};
        bool isRemoved {};
    };
    struct Watch {
        Http::Peer peer;
        std::uint64_t after {};
        std::uint64_t number {};
    };

    void answer(const Http::Peer& peer, int status, const std::string& body)
    {
        (m_nextHttp ? m_nextHttp : m_http)->answer(peer, status, body);
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        at += name.size() + 1;
        std::string raw = target.substr(at, target.find('&', at) - at);
        std::string text;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                text += raw[i];
            }
        }
        return text;
    }

    void onCall(Http::Peer peer, const std::string& target)
    {
        if (m_state == State::Silent)
            return; // Nothing further comes on this connection.
        if (m_state == State::Busy)
            return answer(peer, 503, "{}");
        if (target.starts_with("/kv-range"))
            return answer(peer, 200, range(parameter(target, "Prefix"), parameter(target, "after")));
        if (!target.starts_with("/kv-watch"))
            return answer(peer, 404, "{}");
        std::string after = parameter(target, "after");
        std::string wait = parameter(target, "WaitMs");
        std::uint64_t number = ++m_lastWatch;
        m_watches.push_back({ std::move(peer), after.empty() ? 0 : std::stoull(after), number });
        m_loop.after(wait.empty() ? 1000 : std::stoll(wait), [this, number] { endWatch(number); });
        answerWatches();
    }

    std::string range(const std::string& prefix, const std::string& after) const
    {
        std::string items;
        int count = 0;
        bool isTruncated = false;
        for (const auto& [key, item] : m_items) {
            if (item.isRemoved || !key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            if (count++ == 500) {
                isTruncated = true;
                break;
            }
            items += (items.empty() ? "" : ",") + text(key, item);
        }
        return "{\"items\":[" + items + "],\"Truncated\":" + (isTruncated ? "true" : "false")
            + ",\"AsOf\":" + std::to_string(m_revision) + "}";
    }

    static std::string text(const std::string& key, const Item& item)
    {
        std::string head = "{\"Key\":\"" + key + "\",\"Revision\":" + std::to_string(item.revision);
        if (item.isRemoved)
            return head + ",\"Deleted\":true}";
        return head + ",\"Value\":\"" + base64(item.value) + "\",\"Created\":" + std::to_string(item.revision)
            + ",\"Lease\":0}";
    }

    std::string events(std::uint64_t after) const
    {
        std::map<std::uint64_t, std::string> sorted;
        for (const auto& [key, item] : m_items) {
            if (item.revision > after)
                sorted[item.revision] = text(key, item);
        }
        std::string list;
        for (const auto& [revision, event] : sorted)
            list += (list.empty() ? "" : ",") + event;
        return "{\"events\":[" + list + "],\"AsOf\":" + std::to_string(m_revision) + "}";
    }

    void answerWatches()
    {
        if (m_state != State::Up)
            return;
        std::vector<Watch> waiting;
        for (Watch& watch : std::exchange(m_watches, {})) {
            if (watch.after < m_revision)
                answer(watch.peer, 200, events(watch.after));
            else
                waiting.push_back(std::move(watch));
        }
        m_watches.insert(m_watches.end(), waiting.begin(), waiting.end());
    }

    void endWatch(std::uint64_t number)
    {
        auto found = std::find_if(
            m_watches.begin(), m_watches.end(), [&](const Watch& watch) { return watch.number == number; });
        if (found == m_watches.end() || m_state == State::Silent)
            return;
        answer(found->peer, 200, events(found->after));
        m_watches.erase(found);
    }

    Loop& m_loop;
    Record& m_record;
    std::map<std::string, Item> m_items;
    std::vector<Watch> m_watches;
    std::uint64_t m_revision { 100 };
    std::uint64_t m_lastWatch {};
    State m_state { State::Up };
    std::string m_ip;
    std::unique_ptr<Http> m_http;
    std::unique_ptr<Http> m_nextHttp; ///< Null while the store is reached at one port only.
};

constexpr std::uint8_t FIN = 1;
constexpr std::uint8_t RST = 2;
constexpr std::uint8_t SYN = 8;
constexpr std::uint8_t ACK = 32;
constexpr std::uint8_t BOUNCED = 128;

/** A packet with the fields of PROTOCOL.md. */
struct Packet {
    std::uint32_t echo {};
    std::uint32_t seq {};
    std::uint32_t ack {};
    std::uint8_t flags {};
    std::uint8_t pad {};
    std::uint32_t sum {};
    std::uint32_t src {}; ///< Addresses as integers in host order.
    std::uint32_t dst {};
    std::uint16_t sport {};
    std::uint16_t dport {};
    std::string data;

    bool has(std::uint8_t bits) const { return (flags & bits) == bits; }

    /** The keyed sum over all fields except `echo`, `pad` and BOUNCED. */
    std::uint32_t rightSum() const
    {
        std::uint32_t hash = 2166136261U ^ 0x5eed1234U;
        auto add = [&](std::uint64_t value) {
            for (int i = 0; i < 8; ++i)
                hash = (hash ^ static_cast<std::uint8_t>(value >> (8 * i))) * 16777619U;
        };
        add(seq), add(ack), add(flags & ~BOUNCED), add(src), add(dst), add(sport), add(dport), add(data.size());
        for (char c : data)
            add(static_cast<std::uint8_t>(c));
        return hash;
    }

    std::vector<std::uint8_t> bytes() const
    {
        std::vector<std::uint8_t> out;
        auto put = [&](std::uint32_t value, int size) {
            for (int i = 0; i < size; ++i)
                out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
        };
        put(echo, 4), put(static_cast<std::uint32_t>(data.size()), 2), put(seq, 4), put(ack, 4), put(flags, 1);
        put(pad, 1), put(sum, 4), put(src, 4), put(dst, 4), put(sport, 2), put(dport, 2);
        out.insert(out.end(), data.begin(), data.end());
        return out;
    }

    static std::optional<Packet> parse(const std::vector<std::uint8_t>& in)
    {
        if (in.size() < 32)
            return std::nullopt;
        auto get = [&](std::size_t at, int size) {
            std::uint32_t value = 0;
            for (int i = 0; i < size; ++i)
                value |= static_cast<std::uint32_t>(in[at + static_cast<std::size_t>(i)]) << (8 * i);
            return value;
        };
        if (in.size() != 32 + get(4, 2))
            return std::nullopt;
        Packet packet { get(0, 4), get(6, 4), get(10, 4), in[14], in[15], get(16, 4), get(20, 4), get(24, 4),
            static_cast<std::uint16_t>(get(28, 2)), static_cast<std::uint16_t>(get(30, 2)), {} };
        packet.data.assign(in.begin() + 32, in.end());
        return packet;
    }
};

inline std::uint32_t ipNumber(const std::string& ip) { return ntohl(socketAddress(ip, 0).sin_addr.s_addr); }

inline std::string ipText(std::uint32_t number)
{
    return std::to_string(number >> 24) + "." + std::to_string(number >> 16 & 255) + "."
        + std::to_string(number >> 8 & 255) + "." + std::to_string(number & 255);
}

/** Ports that are the same on all machines of a day. */
struct Ports {
    std::uint16_t data {};
    std::uint16_t ready {};
    std::uint16_t control {};
    std::uint16_t outbound {};
    std::uint16_t app {};
    std::uint16_t internal {}; ///< First of InternalPortRange.
    std::uint16_t store {};
};

/** Figures of the installation; those of the small sites where nothing else is said. */
struct Figures {
    std::int64_t heartbeatMs { 770 };
    double warmupS { 2 };
    double warmupPerS { 0 };
    double warmupExcess { 1.5 };
    double warmupSlack { 5 };
    int slots { 5 };
    std::int64_t workMs { 30 };
    std::int64_t restartMs { 500 }; ///< Delay after which the platform starts a process again.
};

/** A flow that opened at a host. */
struct OpenedFlow {
    std::int64_t synArrivedAt {};
    std::int64_t openedAt {};
};

/** An application host with its registration in the store. */
class Host {
public:
    Host(Loop& loop, Record& record, Store& store, const Ports& ports, const Figures& figures, std::string ip,
        std::string service, std::string zone, std::string id)
        : m_loop(loop)
        , m_record(record)
        , m_store(store)
        , m_ports(ports)
        , m_figures(figures)
        , m_ip(std::move(ip))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_id(std::move(id))
        , m_random(std::random_device()())
    {
    }

    /** Starts a new lifetime under the same id. @param isCold It starts during traffic. */
    void start(bool isCold)
    {
        ++m_lifetime;
        m_born = unixMs();
        m_coldUntil = isCold ? nowMs() + static_cast<std::int64_t>(m_figures.warmupS * 1000) : 0;
        m_health = std::make_unique<Http>(m_loop, m_ip, m_ports.app, [this](Http::Peer peer, const std::string&) {
            m_health->answer(peer, 200, "{}", "Instance-Id: " + m_id + "\r\n");
        });
        m_udp = std::make_unique<Udp>(
            m_loop, m_ip, m_ports.app, [this](const std::vector<std::uint8_t>& bytes) { onBytes(bytes); });
        m_isRunning = true;
        m_record.line("host %s: starts%s", m_id.c_str(), isCold ? ", cold" : "");
        registerSelf(m_lifetime);
        if (isCold)
            m_loop.after(static_cast<std::int64_t>(m_figures.warmupS * 1000),
                [this, lifetime = m_lifetime] { registerSelf(lifetime); });
    }

    /** The process ends without notice. Its entry expires after three heartbeats of silence. */
    void crash()
    {
        ++m_lifetime;
        m_isRunning = false;
        m_health.reset();
        m_udp.reset();
        m_flows.clear();
        m_busy = 0;
        m_record.line("host %s: crashes", m_id.c_str());
        expire(m_lifetime, 3 * m_figures.heartbeatMs);
    }

    std::string address() const { return m_ip + ":" + std::to_string(m_ports.app); }
    const std::string& ip() const { return m_ip; }
    const std::string& id() const { return m_id; }
    const std::string& zone() const { return m_zone; }
    const std::string& service() const { return m_service; }
    bool isRunning() const { return m_isRunning; }
    std::int64_t coldUntil() const { return m_coldUntil; }
    const std::vector<OpenedFlow>& opened() const { return m_opened; }
    int ran() const { return m_ran; }
    int altered() const { return m_altered; }

private:
    struct Flow {
        std::uint32_t seq {}; ///< Of the next byte that this host sends.
        std::uint32_t expected {}; ///< Next byte of the consumer.
        bool isOpen {};
        std::int64_t synArrivedAt {};
        std::string input;
        std::optional<Packet> unacked;
    };
    using Key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

    void registerSelf(int lifetime)
    {
        if (lifetime != m_lifetime)
            return;
        std::int64_t left = std::max<std::int64_t>(m_coldUntil - nowMs(), 0);
        std::string value = "{\"Service\":\"" + m_service + "\",\"Addr\":\"" + address() + "\",\"Zone\":\"" + m_zone
            + "\",\"Version\":\"v1\",\"MaxConcurrency\":" + std::to_string(m_figures.slots)
            + ",\"State\":\"ready\",\"WarmupLeftMs\":" + std::to_string(left) + ",\"Seq\":" + std::to_string(++m_seq)
            + ",\"born\":" + std::to_string(m_born) + "}";
        if (!m_store.put("servers/" + m_id, value))
            m_loop.after(200, [this, lifetime] { registerSelf(lifetime); });
    }

    void expire(int lifetime, std::int64_t inMs)
    {
        m_loop.after(inMs, [this, lifetime] {
            if (lifetime != m_lifetime)
                return; // It has started again.
            if (m_store.state() != Store::State::Up)
                return expire(lifetime, 200);
            m_store.remove("servers/" + m_id);
        });
    }

    void onBytes(const std::vector<std::uint8_t>& bytes)
    {
        auto packet = Packet::parse(bytes);
        if (!packet)
            return;
        if (packet->sum != packet->rightSum()) {
            ++m_altered;
            m_record.line("host %s: packet that its sender did not write so", m_id.c_str());
            return;
        }
        Key key { packet->src, packet->sport, packet->dst, packet->dport };
        auto found = m_flows.find(key);
        if (packet->has(SYN) && !packet->has(ACK)) {
            if (found == m_flows.end()) {
                found
                    = m_flows
                          .emplace(key,
                              Flow { static_cast<std::uint32_t>(m_random()), packet->seq + 1, false, nowMs(), {}, {} })
                          .first;
            } else if (found->second.isOpen) {
                return;
            }
            return send(*packet, SYN | ACK, found->second.seq, found->second.expected, {});
        }
        bool isHeld = found != m_flows.end() && (found->second.isOpen || packet->ack == found->second.seq + 1);
        if (!isHeld)
            return bounce(*packet);
        Flow& flow = found->second;
        if (!flow.isOpen) {
            flow.isOpen = true;
            ++flow.seq;
            m_opened.push_back({ flow.synArrivedAt, nowMs() });
        }
        if (packet->has(RST)) {
            m_flows.erase(found);
            return;
        }
        if (flow.unacked && packet->has(ACK)
            && static_cast<std::int32_t>(
                   packet->ack - (flow.unacked->seq + static_cast<std::uint32_t>(flow.unacked->data.size())))
                >= 0)
            flow.unacked.reset();
        if (!packet->data.empty()) {
            if (packet->seq == flow.expected) {
                flow.expected += static_cast<std::uint32_t>(packet->data.size());
                flow.input += packet->data;
                runRequest(key, *packet, flow);
            }
            send(*packet, ACK, flow.seq, flow.expected, {});
        }
        if (packet->has(FIN)) {
            send(*packet, ACK | FIN, flow.seq, flow.expected + 1, {});
            m_flows.erase(found);
        }
    }

    void runRequest(const Key& key, const Packet& packet, Flow& flow)
    {
        std::size_t end = flow.input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        std::size_t at = flow.input.find("Request-Id: ");
        std::string requestId = flow.input.substr(at + 12, flow.input.find("\r\n", at) - at - 12);
        flow.input.clear();
        ++m_ran;
        ++m_busy;
        m_record.line("host %s: runs %s, %d at work", m_id.c_str(), requestId.c_str(), m_busy);
        m_loop.after(m_figures.workMs, [this, key, packet, requestId, lifetime = m_lifetime] {
            if (lifetime != m_lifetime)
                return;
            --m_busy;
            auto found = m_flows.find(key);
            if (found == m_flows.end())
                return;
            Flow& answered = found->second;
            std::string body = "ran " + requestId;
            std::string text = "HTTP/1.1 200 OK\r\nServer-Stamp: " + m_id + "\r\nRequest-Id: " + requestId
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            answered.unacked = packetTo(packet, ACK, answered.seq, answered.expected, text);
            answered.seq += static_cast<std::uint32_t>(text.size());
            sendAgain(key, 200, lifetime, answered.unacked->seq);
        });
    }

    void sendAgain(const Key& key, std::int64_t wait, int lifetime, std::uint32_t seq)
    {
        auto found = m_flows.find(key);
        bool isDue = lifetime == m_lifetime && found != m_flows.end() && found->second.unacked
            && found->second.unacked->seq == seq;
        if (!isDue || wait > 12800)
            return;
        m_udp->send(m_ip, m_ports.outbound, found->second.unacked->bytes());
        m_loop.after(std::min<std::int64_t>(wait, 1600), [=, this] { sendAgain(key, wait * 2, lifetime, seq); });
    }

    static Packet packetTo(
        const Packet& received, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, std::string data)
    {
        Packet packet { 0, seq, ack, flags, 0, 0, received.dst, received.src, received.dport, received.sport,
            std::move(data) };
        packet.sum = packet.rightSum();
        return packet;
    }

    void send(const Packet& received, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data)
    {
        m_udp->send(m_ip, m_ports.outbound, packetTo(received, flags, seq, ack, data).bytes());
    }

    void bounce(Packet packet)
    {
        packet.flags |= BOUNCED;
        packet.pad = 0;
        m_udp->send(m_ip, m_ports.outbound, packet.bytes());
    }

    Loop& m_loop;
    Record& m_record;
    Store& m_store;
    const Ports& m_ports;
    const Figures& m_figures;
    std::string m_ip;
    std::string m_service;
    std::string m_zone;
    std::string m_id;
    std::mt19937 m_random;
    std::unique_ptr<Http> m_health;
    std::unique_ptr<Udp> m_udp;
    std::map<Key, Flow> m_flows;
    std::vector<OpenedFlow> m_opened;
    std::int64_t m_born {};
    std::int64_t m_coldUntil {};
    int m_lifetime {};
    int m_seq {};
    int m_busy {};
    int m_ran {};
    int m_altered {};
    bool m_isRunning {};
};

/** A process of the system. The platform starts it again when it ends, unless it was stopped. */
class Process {
public:
    Process(Loop& loop, Record& record, const Figures& figures, std::string name, std::string program,
        std::string folder, std::string settings)
        : m_loop(loop)
        , m_record(record)
        , m_figures(figures)
        , m_name(std::move(name))
        , m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_settings(std::move(settings))
    {
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process()
    {
        m_isWanted = false;
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }

    void start()
    {
        std::string file = m_folder + "/" + m_name + ".json";
        std::ofstream(file) << m_settings;
        std::string log = m_folder + "/" + m_name + ".log";
        m_isWanted = true;
        m_pid = fork();
        if (m_pid == 0) {
            int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            std::string variable = "HAWTHORNCROFT_BOOT=" + file;
            char path[] = "PATH=/usr/bin:/bin";
            char* environment[] = { path, variable.data(), nullptr };
            char* arguments[] = { m_program.data(), nullptr };
            execve(m_program.c_str(), arguments, environment);
            _exit(127);
        }
        ++m_starts;
        m_record.line("process %s: started, id %d", m_name.c_str(), m_pid);
        check();
    }

    /** After this the platform uses other settings for the next start. */
    void setSettings(std::string settings) { m_settings = std::move(settings); }

    /** The platform changes the settings file of the running process. */
    void changeSettings(std::string settings)
    {
        m_settings = std::move(settings);
        std::ofstream(m_folder + "/" + m_name + ".json") << m_settings;
        m_record.line("process %s: its settings file has changed", m_name.c_str());
    }

    void signal(int number)
    {
        m_record.line("process %s: signal %d", m_name.c_str(), number);
        if (m_pid > 0)
            kill(m_pid, number);
    }

    int starts() const { return m_starts; }
    int ownEnds() const { return m_ownEnds; }
    const std::string& name() const { return m_name; }

private:
    void check()
    {
        m_loop.after(5, [this] {
            int status = 0;
            if (m_pid <= 0 || !m_isWanted)
                return;
            if (waitpid(m_pid, &status, WNOHANG) != m_pid)
                return check();
            m_pid = -1;
            m_record.line("process %s: ended, status %d", m_name.c_str(), status);
            m_ownEnds += !WIFSIGNALED(status) && WEXITSTATUS(status);
            m_loop.after(m_figures.restartMs, [this] { start(); });
        });
    }

    Loop& m_loop;
    Record& m_record;
    const Figures& m_figures;
    std::string m_name;
    std::string m_program;
    std::string m_folder;
    std::string m_settings;
    pid_t m_pid { -1 };
    int m_starts {};
    int m_ownEnds {};
    bool m_isWanted {};
};

/** Routers of one zone: forward each packet to a node in rotation, by a steady hash of the addresses and ports. */
class Routers {
public:
    Routers(Loop& loop, Record& record, const Ports& ports)
        : m_loop(loop)
        , m_record(record)
        , m_ports(ports)
    {
    }

    void add(const std::string& ip)
    {
        m_nodes.push_back({ ip, 2 });
        probe(m_nodes.size() - 1);
    }

    std::size_t inRotation() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.misses < 2; }));
    }

    std::string nodeFor(const Packet& packet) const
    {
        bool areAllUsed = inRotation() * 2 < m_nodes.size();
        std::string best;
        std::uint64_t highest = 0;
        for (const Node& node : m_nodes) {
            if (node.misses >= 2 && !areAllUsed)
                continue;
            std::uint64_t hash = (static_cast<std::uint64_t>(packet.src) << 32 | packet.sport)
                ^ (static_cast<std::uint64_t>(packet.dst) << 24 | packet.dport)
                ^ static_cast<std::uint64_t>(ipNumber(node.ip)) << 7;
            hash = (hash ^ hash >> 31) * 0x9e3779b97f4a7c15ULL;
            hash = (hash ^ hash >> 29) * 0xbf58476d1ce4e5b9ULL;
            if (best.empty() || hash > highest) {
                best = node.ip;
                highest = hash;
            }
        }
        return best;
    }

private:
    struct Node {
        std::string ip;
        int misses {};
    };

    void probe(std::size_t index)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in to = socketAddress(m_nodes[index].ip, m_ports.ready);
        connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to));
        auto isDone = std::make_shared<bool>(false);
        auto isSent = std::make_shared<bool>(false);
        auto finish = [this, index, descriptor, isDone](bool isReady) {
            if (std::exchange(*isDone, true))
                return;
            m_loop.unwatch(descriptor);
            close(descriptor);
            Node& node = m_nodes[index];
            bool wasIn = node.misses < 2;
            node.misses = isReady ? 0 : node.misses + 1;
            if (wasIn != (node.misses < 2))
                m_record.line("routers: %s is %s rotation", node.ip.c_str(), wasIn ? "out of" : "in");
        };
        m_loop.watch(descriptor, POLLIN | POLLOUT, [this, descriptor, finish, isSent] {
            if (!std::exchange(*isSent, true)) {
                std::string text = "GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
                if (::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) < 0)
                    return finish(false);
                m_loop.watch(descriptor, POLLIN, [descriptor, finish] {
                    char bytes[512] {};
                    ssize_t size = recv(descriptor, bytes, sizeof(bytes) - 1, 0);
                    finish(size > 12 && std::string(bytes).find(" 200") != std::string::npos);
                });
            }
        });
        m_loop.after(450, [finish] { finish(false); });
        m_loop.after(500, [this, index] { probe(index); });
    }

    Loop& m_loop;
    Record& m_record;
    const Ports& m_ports;
    std::vector<Node> m_nodes;
};

/** How the attempt of a consumer ended. */
enum class End { Answered, Refused, NotOpened, ResetWhileOpen, NoAnswer };

inline const char* nameOf(End end)
{
    switch (end) {
    case End::Answered:
        return "answered";
    case End::Refused:
        return "reset before the flow opened";
    case End::NotOpened:
        return "no SYN+ACK";
    case End::ResetWhileOpen:
        return "reset of the open flow";
    default:
        return "no answer";
    }
}

struct Attempt {
    std::string id;
    std::int64_t sentAt {};
    std::int64_t endedAt {};
    std::optional<End> end;
    bool isMixed {}; ///< A success that is not the host's whole answer to this request.
};

/** A consumer that keeps one flow open for many requests, with pauses between them. */
struct Feed {
    std::uint16_t port {};
    std::int64_t openedAt {};
    std::int64_t lastSentAt {};
    std::int64_t resetAt {};
    int answered {};
    bool isOpen {};
    bool isReset {}; ///< Reset by the system: a host's reset has a sum that is not 0.
    bool isResetByHost {};
};

/** Consumers behind one address. */
class Consumers {
public:
    Consumers(Loop& loop, Record& record, const Ports& ports, Routers& routers, std::string ip)
        : m_loop(loop)
        , m_record(record)
        , m_ports(ports)
        , m_routers(routers)
        , m_ip(std::move(ip))
        , m_random(std::random_device()())
        , m_udp(loop, m_ip, ports.data, [this](const std::vector<std::uint8_t>& bytes) { onBytes(bytes); })
    {
    }

    /** Opens a flow and sends a request on it every `gapMs` until `untilMs`. */
    void feed(const std::string& host, std::uint16_t port, std::int64_t gapMs, std::int64_t untilMs)
    {
        std::uint16_t sport = m_nextPort;
        request(host, port, untilMs - nowMs());
        Flow& flow = m_flows.at(sport);
        flow.feed = m_feeds.size();
        flow.gapMs = gapMs;
        flow.untilMs = untilMs;
        m_feeds.push_back({ .port = sport });
    }

    const std::vector<Feed>& feeds() const { return m_feeds; }

    /** Sends one request on a flow of its own; further tries are further calls. */
    void request(const std::string& host, std::uint16_t port, std::int64_t budgetMs)
    {
        std::uint16_t sport = m_nextPort++;
        Flow& flow = m_flows[sport];
        flow.attempt = m_attempts.size();
        flow.dst = ipNumber(host);
        flow.dport = port;
        flow.seq = static_cast<std::uint32_t>(m_random());
        std::string id = "r" + std::to_string(m_attempts.size()) + "-" + m_ip;
        m_attempts.push_back({ id, nowMs(), 0, std::nullopt, false });
        sendSyn(sport, 0);
        m_loop.after(200, [this, sport] { sendSyn(sport, 1); });
        m_loop.after(600, [this, sport] { sendSyn(sport, 2); });
        m_loop.after(1400, [this, sport] {
            auto found = m_flows.find(sport);
            if (found != m_flows.end() && !found->second.isOpen)
                finish(sport, End::NotOpened);
        });
        m_loop.after(budgetMs, [this, sport] {
            if (m_flows.contains(sport))
                finish(sport, End::NoAnswer);
        });
    }

    const std::vector<Attempt>& attempts() const { return m_attempts; }

private:
    struct Flow {
        std::size_t attempt {};
        std::uint32_t dst {};
        std::uint16_t dport {};
        std::uint32_t seq {};
        std::uint32_t ack {};
        std::string request;
        bool isOpen {};
        std::optional<std::size_t> feed; ///< Index in m_feeds.
        std::int64_t gapMs {};
        std::int64_t untilMs {};
        int requests {};
    };

    /** The next request of a feed, if the one before was answered. */
    void nextRequest(std::uint16_t sport)
    {
        auto found = m_flows.find(sport);
        if (found == m_flows.end() || nowMs() >= found->second.untilMs)
            return;
        Flow& flow = found->second;
        flow.request = "GET /feed HTTP/1.1\r\nHost: c\r\nRequest-Id: " + m_attempts[flow.attempt].id + "."
            + std::to_string(++flow.requests) + "\r\n\r\n";
        sendRequest(sport, flow.requests, 200);
    }

    Packet packet(std::uint16_t sport, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, std::string data)
    {
        const Flow& flow = m_flows.at(sport);
        Packet result { 0, seq, ack, flags, 0, 0, ipNumber(m_ip), flow.dst, sport, flow.dport, std::move(data) };
        result.sum = result.rightSum();
        return result;
    }

    void send(const Packet& sent) { m_udp.send(m_routers.nodeFor(sent), m_ports.data, sent.bytes()); }

    void sendSyn(std::uint16_t sport, std::uint32_t copy)
    {
        auto found = m_flows.find(sport);
        if (found != m_flows.end() && !found->second.isOpen)
            send(packet(sport, SYN, found->second.seq, copy, {}));
    }

    /** Sends the request, and again until it is answered. */
    void sendRequest(std::uint16_t sport, int number, std::int64_t wait)
    {
        auto found = m_flows.find(sport);
        if (found == m_flows.end() || found->second.requests != number || found->second.request.empty())
            return;
        Flow& flow = found->second;
        if (flow.feed)
            m_feeds[*flow.feed].lastSentAt = nowMs();
        send(packet(sport, ACK, flow.seq + 1, flow.ack, flow.request));
        m_loop.after(wait, [=, this] { sendRequest(sport, number, std::min<std::int64_t>(wait * 2, 1600)); });
    }

    void onBytes(const std::vector<std::uint8_t>& bytes)
    {
        auto received = Packet::parse(bytes);
        if (!received || !m_flows.contains(received->dport))
            return;
        std::uint16_t sport = received->dport;
        Flow& flow = m_flows.at(sport);
        if (received->src != flow.dst || received->sport != flow.dport)
            return;
        if (received->has(RST)) {
            if (flow.feed) {
                Feed& feed = m_feeds[*flow.feed];
                feed.resetAt = nowMs();
                (received->sum ? feed.isResetByHost : feed.isReset) = true;
            }
            return finish(sport, flow.isOpen ? End::ResetWhileOpen : End::Refused);
        }
        if (received->has(SYN | ACK)) {
            if (flow.isOpen)
                return;
            flow.isOpen = true;
            flow.ack = received->seq + 1;
            flow.request = "GET /work HTTP/1.1\r\nHost: c\r\nRequest-Id: " + m_attempts[flow.attempt].id + "\r\n\r\n";
            if (flow.feed) {
                m_feeds[*flow.feed].isOpen = true;
                m_feeds[*flow.feed].openedAt = nowMs();
                return nextRequest(sport);
            }
            sendRequest(sport, 0, 200);
            return;
        }
        if (received->data.empty() || received->seq != flow.ack)
            return;
        Attempt& attempt = m_attempts[flow.attempt];
        bool isWhole = received->sum == received->rightSum() && received->data.starts_with("HTTP/1.1 200")
            && received->data.find("Server-Stamp: ") != std::string::npos
            && received->data.ends_with("ran " + attempt.id + (flow.feed ? "." + std::to_string(flow.requests) : ""));
        attempt.isMixed = !isWhole;
        flow.ack += static_cast<std::uint32_t>(received->data.size());
        if (flow.feed) {
            ++m_feeds[*flow.feed].answered;
            flow.seq += static_cast<std::uint32_t>(flow.request.size());
            flow.request.clear();
            send(packet(sport, ACK, flow.seq + 1, flow.ack, {}));
            m_loop.after(flow.gapMs, [this, sport] { nextRequest(sport); });
            return;
        }
        send(packet(sport, ACK | FIN, flow.seq + 1 + static_cast<std::uint32_t>(flow.request.size()), flow.ack, {}));
        finish(sport, End::Answered);
    }

    void finish(std::uint16_t sport, End end)
    {
        Attempt& attempt = m_attempts[m_flows.at(sport).attempt];
        attempt.end = end;
        attempt.endedAt = nowMs();
        m_record.line("consumer: %s sent at %.3f: %s", attempt.id.c_str(), static_cast<double>(attempt.sentAt) / 1000,
            nameOf(end));
        m_flows.erase(sport);
    }

    Loop& m_loop;
    Record& m_record;
    const Ports& m_ports;
    Routers& m_routers;
    std::string m_ip;
    std::mt19937 m_random;
    std::map<std::uint16_t, Flow> m_flows;
    std::vector<Attempt> m_attempts;
    std::vector<Feed> m_feeds;
    std::uint16_t m_nextPort { 20000 };
    Udp m_udp;
};

/** A small deployment: machines in zones, the store, and the processes of the deploy file. */
class World {
public:
    World(const std::string& caseFolder, Figures figures)
        : record(caseFolder + "/record.txt")
        , figures(figures)
        , m_root(std::filesystem::absolute(caseFolder + "/../..").lexically_normal().string())
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw CannotRun("no temporary folder");
        m_folder = pattern;
        m_net = "127." + std::to_string(32 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
        choosePorts();
        store = std::make_unique<Store>(loop, record, m_net + "1", ports.store);
        routers = std::make_unique<Routers>(loop, record, ports);
    }

    ~World()
    {
        processes.clear();
        if (!getenv("KEEP"))
            std::filesystem::remove_all(m_folder);
        else
            fprintf(stderr, "kept: %s\n", m_folder.c_str());
    }

    /** Adds a frontend machine with its balancer. Consumers are in the zone of the first one. */
    Process& addFrontend(const std::string& zone)
    {
        std::string ip = m_net + std::to_string(10 + m_frontends++);
        auto fields = commonFields("frontend-" + zone + "-" + std::to_string(m_frontends), ip, zone);
        fields["Listen.DatagramAddr"] = quoted(ip + ":" + std::to_string(ports.data));
        fields["Limits.LinkMbps"] = "1000.0";
        fields["Limits.CpuShare"] = "0.25";
        fields["Hash"] = quoted("steady");
        fields["Bounds.GraceS"] = "6";
        Process& process = addProcess("balancer", fields);
        if (m_consumerZone.empty())
            m_consumerZone = zone;
        if (zone == m_consumerZone)
            consumerFrontends.push_back({ ip, &process });
        return process;
    }

    /** Adds a side machine with a host and its agent. */
    Host& addSide(const std::string& service, const std::string& zone)
    {
        std::string ip = m_net + std::to_string(100 + m_sides++);
        hosts.push_back(std::make_unique<Host>(
            loop, record, *store, ports, figures, ip, service, zone, "i-host" + std::to_string(m_sides)));
        auto fields = commonFields("side-" + zone + "-" + std::to_string(m_sides), ip, zone);
        fields["Listen.DatagramAddr"] = quoted(ip + ":" + std::to_string(ports.data));
        fields["Listen.outbound"] = quoted(ip + ":" + std::to_string(ports.outbound));
        fields["app"] = quoted(hosts.back()->address());
        fields["Service"] = quoted(service);
        fields["Bounds.WarmupExcess"] = number(figures.warmupExcess);
        fields["Bounds.WarmupSlack"] = number(figures.warmupSlack);
        agents.push_back(&addProcess("agent", fields));
        return *hosts.back();
    }

    /** The operator writes a configuration with one route to one service. */
    void configure(const std::string& service)
    {
        store->put("op/config",
            "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"198.18.0.1\",\"Prefix\":\"/8443/"
            "\",\"Kind\":\"safe\","
            "\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\""
                + service + "\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"" + service
                + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":"
                + number(figures.warmupS) + ",\"WarmupPerS\":" + number(figures.warmupPerS)
                + "}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
                  "\"IdleTimeoutMs\":15000}}");
    }

    /** Starts hosts, processes and routers. @param later Host that is added later with its machine; may be null. */
    void start(const Host* later = nullptr)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i].get() != later)
                hosts[i]->start(false);
        }
        for (auto& process : processes) {
            bool isLater = later && later == hosts.back().get() && process.get() == agents.back();
            if (!isLater)
                process->start();
        }
        // All processes have read the settings of the first start by then; later starts get Bootstrap = false.
        loop.after(400, [this] {
            for (std::size_t i = 0; i < processes.size(); ++i)
                processes[i]->setSettings(m_laterSettings[i]);
        });
        // While one of the zone's nodes is in rotation, the routers use no other zone.
        for (const auto& [ip, process] : consumerFrontends)
            routers->add(ip);
        consumers = std::make_unique<Consumers>(loop, record, ports, *routers, m_net + "5");
    }

    /** Changes `platform.Addr` in the settings files of all machines. */
    void moveStore(std::uint16_t port)
    {
        std::string before = quoted(m_net + "1:" + std::to_string(ports.store));
        std::string after = quoted(m_net + "1:" + std::to_string(port));
        for (std::size_t i = 0; i < processes.size(); ++i) {
            std::string& settings = m_laterSettings[i];
            settings.replace(settings.find(before), before.size(), after);
            processes[i]->changeSettings(settings);
        }
    }

    /**
     * Judges FAILBACK for a host that was cold once.
     * @return Exit status: 1 when the host took more than `limit` flows in one second while it was cold.
     */
    int judgeColdHost(const Host& host, std::size_t limit)
    {
        std::int64_t from = host.coldUntil() - static_cast<std::int64_t>(figures.warmupS * 1000);
        std::vector<std::int64_t> times; // Opening packets reach a host within a millisecond here.
        for (const OpenedFlow& flow : host.opened()) {
            if (flow.synArrivedAt >= from && flow.synArrivedAt < host.coldUntil())
                times.push_back(flow.synArrivedAt);
        }
        std::size_t most = 0;
        std::int64_t mostAt = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1000)
                ++first;
            if (last - first + 1 > most) {
                most = last - first + 1;
                mostAt = times[first];
            }
        }
        int answered = 0;
        for (const Attempt& attempt : consumers->attempts())
            answered += attempt.end == End::Answered;
        record.line(
            "cold host: %zu flows while it was cold (%.3f to %.3f), at most %zu in one second, from %.3f; allowed %zu",
            times.size(), static_cast<double>(from) / 1000, static_cast<double>(host.coldUntil()) / 1000, most,
            static_cast<double>(mostAt) / 1000, limit);
        record.line("%d of %zu requests answered", answered, consumers->attempts().size());
        if (static_cast<std::size_t>(answered) * 2 < consumers->attempts().size() || times.empty())
            throw CannotRun("the deployment did not come up");
        record.line(most > limit ? "BROKEN: the cold host got more than it may" : "held");
        printf("%zu flows in one second, %zu allowed\n", most, limit);
        return most > limit ? 1 : 0;
    }

    static std::string number(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    Loop loop;
    Record record;
    Figures figures;
    Ports ports;
    std::unique_ptr<Store> store;
    std::unique_ptr<Routers> routers;
    std::unique_ptr<Consumers> consumers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<Process*> agents; ///< In the order of `hosts`.
    std::vector<std::pair<std::string, Process*>> consumerFrontends; ///< Those in the consumers' zone.

private:
    static std::string quoted(const std::string& text) { return "\"" + text + "\""; }

    void choosePorts()
    {
        std::mt19937 random(std::random_device {}());
        for (int attempt = 0; attempt < 50; ++attempt) {
            auto first = static_cast<std::uint16_t>(10000 + random() % 20000);
            ports = { first, static_cast<std::uint16_t>(first + 1), static_cast<std::uint16_t>(first + 2),
                static_cast<std::uint16_t>(first + 3), static_cast<std::uint16_t>(first + 4),
                static_cast<std::uint16_t>(first + 10), static_cast<std::uint16_t>(first + 5) };
            try {
                for (std::uint16_t port = first; port < first + 26; ++port) {
                    close(boundSocket(SOCK_STREAM, m_net + "1", port));
                    close(boundSocket(SOCK_DGRAM, m_net + "1", port));
                }
                return;
            } catch (const CannotRun&) {
            }
        }
        throw CannotRun("no free ports");
    }

    std::map<std::string, std::string> commonFields(
        const std::string& name, const std::string& ip, const std::string& zone)
    {
        return { { "NodeName", quoted(name) }, { "Zone", quoted(zone) },
            { "Listen.Ready", quoted(ip + ":" + std::to_string(ports.ready)) },
            { "InternalPortRange.0", std::to_string(ports.internal) },
            { "platform.Addr", quoted(m_net + "1:" + std::to_string(ports.store)) } };
    }

    /** Fills in the template of a role, as the platform does. */
    std::string render(const std::string& role, const std::map<std::string, std::string>& fields) const
    {
        std::ifstream file(m_root + "/deploy/" + role + ".json");
        std::string text { std::istreambuf_iterator<char>(file), {} };
        if (text.empty())
            throw CannotRun("deploy/" + role + ".json cannot be read");
        std::string out;
        std::size_t at = 0;
        for (std::size_t open = text.find("{{"); open != std::string::npos; open = text.find("{{", at)) {
            std::size_t end = text.find("}}", open);
            std::string name = text.substr(open + 2, end - open - 2);
            name = name.substr(0, name.find('|'));
            auto found = fields.find(name);
            if (found == fields.end())
                throw CannotRun("unknown field in the template: " + name);
            out += text.substr(at, open - at) + found->second;
            at = end + 2;
        }
        return out + text.substr(at);
    }

    Process& addProcess(const std::string& role, std::map<std::string, std::string> fields)
    {
        // Seeds name the first machines that serve control_plane.
        std::string seeds;
        for (int i = 0; i < 3; ++i)
            seeds += (i ? "," : "") + quoted(m_net + std::to_string(10 + i) + ":" + std::to_string(ports.control));
        fields["Seeds"] = "[" + seeds + "]";
        std::string name = fields["NodeName"].substr(1, fields["NodeName"].size() - 2);
        fields["Bootstrap"] = "true";
        std::string first = render(role, fields);
        fields["Bootstrap"] = "false";
        m_laterSettings.push_back(render(role, fields));
        std::string program = m_root + "/target/hawthorncroft-platform-" + role;
        if (access(program.c_str(), X_OK) != 0)
            throw CannotRun(program + " is missing: run the build of the deploy file");
        processes.push_back(std::make_unique<Process>(loop, record, figures, name, program, m_folder, first));
        return *processes.back();
    }

    std::string m_root;
    std::string m_folder;
    std::string m_net;
    std::string m_consumerZone;
    std::vector<std::string> m_laterSettings;
    int m_frontends {};
    int m_sides {};
};

/** @return Whether the case is to bring about its disruption. */
inline bool hasTrouble()
{
    const char* text = getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace review2
