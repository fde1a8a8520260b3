// Stand-ins for the cases of this review: the platform's store, hosts, consumers and routers in one process, and the
// system's two programs as child processes on loopback addresses. They follow PROTOCOL.md; one header, used by the
// scenario of each case.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
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
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using Action = std::function<void()>;

inline double now()
{
    timespec t {};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return double(t.tv_sec) + double(t.tv_nsec) / 1e9;
}

inline std::uint64_t unixMs()
{
    timespec t {};
    clock_gettime(CLOCK_REALTIME, &t);
    return std::uint64_t(t.tv_sec) * 1000 + std::uint64_t(t.tv_nsec) / 1000000;
}

/** Deterministic numbers, so that runs differ in timing only. */
inline std::uint64_t mix(std::uint64_t x)
{
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

struct Addr {
    std::uint32_t ip {};
    std::uint16_t port {};
    auto operator<=>(const Addr&) const = default;
};

inline std::string textOf(std::uint32_t ip)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
    return text;
}
inline std::string textOf(Addr a) { return textOf(a.ip) + ":" + std::to_string(a.port); }

inline sockaddr_in sockaddrOf(Addr a)
{
    sockaddr_in s {};
    s.sin_family = AF_INET;
    s.sin_addr.s_addr = htonl(a.ip);
    s.sin_port = htons(a.port);
    return s;
}

[[noreturn]] inline void cannotRun(const std::string& why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

// Event loop.

class Loop {
public:
    void watch(int fd, Action readable) { m_fds[fd] = std::move(readable); }
    void forget(int fd) { m_fds.erase(fd); }
    void at(double time, Action action) { m_timers.emplace(time, std::move(action)); }
    void after(double seconds, Action action) { at(now() + seconds, std::move(action)); }
    void stop() { m_stopped = true; }
    void run()
    {
        while (!m_stopped) {
            while (!m_timers.empty() && m_timers.begin()->first <= now() && !m_stopped) {
                Action action = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                action();
            }
            std::vector<pollfd> fds;
            for (auto& [fd, action] : m_fds)
                fds.push_back({ fd, POLLIN, 0 });
            double wait = m_timers.empty() ? 0.1 : std::max(0.0, m_timers.begin()->first - now());
            poll(fds.data(), fds.size(), int(wait * 1000) + (wait > 0));
            for (auto& p : fds) {
                auto found = p.revents ? m_fds.find(p.fd) : m_fds.end();
                if (found == m_fds.end())
                    continue;
                Action action = found->second; // The handler may remove itself.
                action();
            }
        }
    }

private:
    std::map<int, Action> m_fds;
    std::multimap<double, Action> m_timers;
    bool m_stopped {};
};

inline int openUdp(Addr local)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in s = sockaddrOf(local);
    int size = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, reinterpret_cast<sockaddr*>(&s), sizeof(s)) != 0)
        cannotRun("bind UDP " + textOf(local) + ": " + std::strerror(errno));
    return fd;
}

inline int openTcp(Addr local)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in s = sockaddrOf(local);
    if (bind(fd, reinterpret_cast<sockaddr*>(&s), sizeof(s)) != 0 || listen(fd, 128) != 0)
        cannotRun("listen " + textOf(local) + ": " + std::strerror(errno));
    return fd;
}

inline void sendUdp(int fd, Addr to, const std::string& bytes)
{
    sockaddr_in s = sockaddrOf(to);
    sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&s), sizeof(s));
}

// Record of what was sent, answered and run.

class Record {
public:
    explicit Record(const std::string& path)
        : m_start(now())
    {
        m_file = std::fopen(path.c_str(), "w");
        if (!m_file)
            cannotRun("cannot write " + path);
    }
    double time() const { return now() - m_start; }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[1000];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        std::fprintf(m_file, "%8.3f  %s\n", time(), text);
        std::fflush(m_file);
    }
    /** A line that is also printed. */
    void say(const std::string& text)
    {
        line("%s", text.c_str());
        std::printf("%8.3f  %s\n", time(), text.c_str());
        std::fflush(stdout);
    }

private:
    double m_start;
    std::FILE* m_file;
};

// HTTP server: small GET requests only.

class Http {
public:
    using Reply = std::function<void(int status, const std::string& headers, const std::string& body)>;
    using Handler = std::function<void(const std::string& target, Reply reply)>;

    Http(Loop& loop, Addr local, Handler handler)
        : m_loop(loop)
        , m_local(local)
        , m_handler(std::move(handler))
    {
    }
    ~Http() { close(); }

    void open()
    {
        m_listener = openTcp(m_local);
        m_loop.watch(m_listener, [this] { accept(); });
    }
    /** Ends the listener and all connections. */
    void close()
    {
        if (m_listener >= 0) {
            m_loop.forget(m_listener);
            ::close(m_listener);
            m_listener = -1;
        }
        while (!m_connections.empty())
            drop(m_connections.begin()->first);
    }

private:
    struct Connection {
        std::string input;
        std::uint64_t id {};
    };
    void accept()
    {
        int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        m_connections[fd] = { {}, ++m_nextId };
        m_loop.watch(fd, [this, fd] { read(fd); });
    }
    void drop(int fd)
    {
        m_loop.forget(fd);
        ::close(fd);
        m_connections.erase(fd);
    }
    void read(int fd)
    {
        char buffer[8192];
        ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            drop(fd);
            return;
        }
        if (size < 0)
            return;
        Connection& c = m_connections[fd];
        c.input.append(buffer, std::size_t(size));
        std::size_t end = c.input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        std::string head = c.input.substr(0, end);
        c.input.erase(0, end + 4);
        std::size_t a = head.find(' ');
        std::string target = a == std::string::npos ? "" : head.substr(a + 1, head.find(' ', a + 1) - a - 1);
        std::uint64_t id = c.id;
        m_handler(target, [this, fd, id](int status, const std::string& headers, const std::string& body) {
            auto found = m_connections.find(fd);
            if (found == m_connections.end() || found->second.id != id)
                return;
            std::string reply = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other")
                + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers
                + "\r\n" + body;
            for (std::size_t at = 0; at < reply.size();) {
                ssize_t n = ::send(fd, reply.data() + at, reply.size() - at, MSG_NOSIGNAL);
                if (n > 0) {
                    at += std::size_t(n);
                    continue;
                }
                if (n < 0 && errno != EAGAIN)
                    return;
                pollfd p { fd, POLLOUT, 0 };
                poll(&p, 1, 100);
            }
        });
    }

    Loop& m_loop;
    Addr m_local;
    Handler m_handler;
    int m_listener { -1 };
    std::map<int, Connection> m_connections;
    std::uint64_t m_nextId {};
};

inline std::string base64(const std::string& in)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned v = (unsigned(std::uint8_t(in[i])) << 16) | (i + 1 < in.size() ? unsigned(std::uint8_t(in[i + 1])) << 8 : 0)
            | (i + 2 < in.size() ? unsigned(std::uint8_t(in[i + 2])) : 0);
        out += digits[v >> 18];
        out += digits[(v >> 12) & 63];
        out += i + 1 < in.size() ? digits[(v >> 6) & 63] : '=';
        out += i + 2 < in.size() ? digits[v & 63] : '=';
    }
    return out;
}

// The platform's metadata store.

class Store {
public:
    Store(Loop& loop, Addr local)
        : m_loop(loop)
        , m_http(loop, local, [this](const std::string& target, Http::Reply reply) { answer(target, std::move(reply)); })
    {
        m_http.open();
    }

    struct Item {
        std::string value;
        std::uint64_t revision {};
        std::uint64_t created {};
    };
    struct Copy {
        std::map<std::string, Item> items;
        std::uint64_t revision {};
    };

    /** @return Revision of the change. */
    std::uint64_t put(const std::string& key, const std::string& value)
    {
        auto found = m_state.items.find(key);
        std::uint64_t created = found == m_state.items.end() ? m_state.revision + 1 : found->second.created;
        m_state.items[key] = { value, ++m_state.revision, created };
        m_history.push_back({ m_state.revision, key, value, false });
        wake();
        return m_state.revision;
    }
    std::uint64_t remove(const std::string& key)
    {
        if (!m_state.items.erase(key))
            return m_state.revision;
        m_history.push_back({ ++m_state.revision, key, {}, true });
        wake();
        return m_state.revision;
    }
    bool has(const std::string& key) const { return m_state.items.contains(key); }
    std::string valueOf(const std::string& key) const
    {
        auto found = m_state.items.find(key);
        return found == m_state.items.end() ? std::string() : found->second.value;
    }
    std::uint64_t revision() const { return m_state.revision; }
    std::uint64_t calls() const { return m_calls; }

    Copy copy() const { return m_state; }
    /** The store is away: no listener, all connections end. */
    void goAway()
    {
        m_watches.clear();
        m_http.close();
    }
    /** Comes back from a copy: what was acknowledged since is lost, revisions go back, the era rises by one. */
    void comeBackFrom(const Copy& copy)
    {
        m_state = copy;
        std::erase_if(m_history, [&](const Event& e) { return e.revision > copy.revision; });
        ++m_era;
        m_http.open();
    }

private:
    struct Event {
        std::uint64_t revision {};
        std::string key;
        std::string value;
        bool isDeleted {};
    };
    struct Watch {
        std::uint64_t after {};
        std::string prefix;
        double until {};
        Http::Reply reply;
    };

    static std::string decoded(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += char(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            std::size_t next = target.find('&', at + 1);
            std::string part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            std::size_t eq = part.find('=');
            if (eq != std::string::npos)
                query[part.substr(0, eq)] = decoded(part.substr(eq + 1));
            at = next;
        }
        return query;
    }
    std::string headers() const { return "Store-Era: " + std::to_string(m_era) + "\r\n"; }
    static std::string jsonOf(const std::string& key, const Item& item)
    {
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(item.value)
            + "\",\"Revision\":" + std::to_string(item.revision) + ",\"Created\":" + std::to_string(item.created)
            + ",\"Lease\":0}";
    }
    void answer(const std::string& target, Http::Reply reply)
    {
        ++m_calls;
        auto query = queryOf(target);
        // The store answers after 4 ms, as the sheets say.
        m_loop.after(0.004, [this, target, query, reply]() mutable { serve(target, query, reply); });
    }
    void serve(const std::string& target, std::map<std::string, std::string>& query, Http::Reply& reply)
    {
        if (target.starts_with("/kv-range")) {
            std::string body;
            std::size_t count = 0;
            bool isTruncated = false;
            for (auto& [key, item] : m_state.items) {
                if (!key.starts_with(query["Prefix"]) || (query.contains("after") && key <= query["after"]))
                    continue;
                if (count++ == 500) {
                    isTruncated = true;
                    break;
                }
                body += (body.empty() ? "" : ",") + jsonOf(key, item);
            }
            reply(200, headers(),
                "{\"items\":[" + body + "],\"Truncated\":" + (isTruncated ? "true" : "false")
                    + ",\"AsOf\":" + std::to_string(m_state.revision) + "}");
            return;
        }
        if (target.starts_with("/kv-key")) {
            auto found = m_state.items.find(query["Key"]);
            if (found == m_state.items.end())
                reply(404, headers(), "{\"AsOf\":" + std::to_string(m_state.revision) + "}");
            else
                reply(200, headers(),
                    "{\"Item\":" + jsonOf(found->first, found->second) + ",\"AsOf\":" + std::to_string(m_state.revision) + "}");
            return;
        }
        if (!target.starts_with("/kv-watch")) {
            reply(404, headers(), "{}");
            return;
        }
        Watch watch { std::strtoull(query["after"].c_str(), nullptr, 10), query["Prefix"],
            now() + std::min(30000.0, std::atof(query["WaitMs"].c_str())) / 1000, reply };
        if (watch.after > m_state.revision) {
            reply(410, headers(), "{}"); // A revision that the store doesn't have.
            return;
        }
        m_watches.push_back(std::move(watch));
        m_loop.at(m_watches.back().until, [this] { wake(); });
        wake();
    }
    void wake()
    {
        auto watches = std::exchange(m_watches, {});
        for (Watch& watch : watches) {
            std::string events;
            for (const Event& e : m_history) {
                if (e.revision <= watch.after || !e.key.starts_with(watch.prefix))
                    continue;
                auto item = e.isDeleted ? "{\"Key\":\"" + e.key + "\",\"Revision\":" + std::to_string(e.revision)
                        + ",\"Deleted\":true}"
                                        : jsonOf(e.key, { e.value, e.revision, e.revision });
                events += (events.empty() ? "" : ",") + item;
            }
            if (events.empty() && now() < watch.until)
                m_watches.push_back(std::move(watch));
            else
                watch.reply(
                    200, headers(), "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(m_state.revision) + "}");
        }
    }

    Loop& m_loop;
    Copy m_state { {}, 100 };
    std::vector<Event> m_history;
    std::vector<Watch> m_watches;
    std::uint64_t m_era { 1 };
    std::uint64_t m_calls {};
    Http m_http;
};

// Packets of flows.

constexpr std::uint8_t FIN = 1, RST = 2, SYN = 8, ACK = 32, BOUNCED = 128;

struct Packet {
    std::uint32_t echo {}, seq {}, ack {};
    std::uint8_t flags {}, pad {};
    std::uint32_t sum {};
    Addr src, dst;
    std::string data;
};

inline std::string encode(const Packet& p)
{
    std::string b(32 + p.data.size(), '\0');
    auto put = [&](std::size_t at, std::uint64_t v, int n) {
        for (int i = 0; i < n; ++i)
            b[at + std::size_t(i)] = char(v >> (8 * i));
    };
    put(0, p.echo, 4), put(4, p.data.size(), 2), put(6, p.seq, 4), put(10, p.ack, 4), put(14, p.flags, 1);
    put(15, p.pad, 1), put(16, p.sum, 4), put(20, p.src.ip, 4), put(24, p.dst.ip, 4), put(28, p.src.port, 2);
    put(30, p.dst.port, 2);
    std::memcpy(b.data() + 32, p.data.data(), p.data.size());
    return b;
}

inline std::uint32_t sumOf(Packet p)
{
    p.echo = p.sum = 0;
    p.pad = 0;
    p.flags &= std::uint8_t(~BOUNCED);
    std::uint64_t h = 0x5eed;
    for (char c : encode(p))
        h = mix(h ^ std::uint8_t(c));
    return std::uint32_t(h) | 1;
}

inline bool decode(const char* bytes, std::size_t size, Packet& p)
{
    auto get = [&](std::size_t at, int n) {
        std::uint64_t v = 0;
        for (int i = 0; i < n; ++i)
            v |= std::uint64_t(std::uint8_t(bytes[at + std::size_t(i)])) << (8 * i);
        return v;
    };
    if (size < 32 || size != 32 + get(4, 2))
        return false;
    p.echo = std::uint32_t(get(0, 4)), p.seq = std::uint32_t(get(6, 4)), p.ack = std::uint32_t(get(10, 4));
    p.flags = std::uint8_t(get(14, 1)), p.pad = std::uint8_t(get(15, 1)), p.sum = std::uint32_t(get(16, 4));
    p.src = { std::uint32_t(get(20, 4)), std::uint16_t(get(28, 2)) };
    p.dst = { std::uint32_t(get(24, 4)), std::uint16_t(get(30, 2)) };
    p.data.assign(bytes + 32, size - 32);
    return true;
}

// Ports: the same on all machines.

struct Ports {
    std::uint16_t data {}, ready {}, control {}, outbound {}, app {}, fleet {}, store {};

    static Ports choose()
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            std::uint16_t base = std::uint16_t(20000 + mix(std::uint64_t(getpid()) * 64 + unsigned(attempt)) % 10000);
            bool isFree = true;
            for (std::uint16_t i = 0; i < 7 && isFree; ++i) {
                for (int type : { SOCK_DGRAM, SOCK_STREAM }) {
                    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                    int on = 1;
                    if (type == SOCK_STREAM)
                        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
                    sockaddr_in s = sockaddrOf({ 0x7f000000 | 1, std::uint16_t(base + i) });
                    s.sin_addr.s_addr = INADDR_ANY;
                    isFree &= bind(fd, reinterpret_cast<sockaddr*>(&s), sizeof(s)) == 0;
                    close(fd);
                }
            }
            if (isFree)
                return { base, std::uint16_t(base + 1), std::uint16_t(base + 2), std::uint16_t(base + 3),
                    std::uint16_t(base + 4), std::uint16_t(base + 5), std::uint16_t(base + 6) };
        }
        cannotRun("no free ports");
    }
};

// A host behind an agent.

struct Taken {
    double at {}; ///< When the host took the opening packet.
    double sentAt {}; ///< When the consumer sent it.
};

class World;

class Host {
public:
    Host(World& world, int number, std::string zone, std::string service);
    void start();
    void writeEntry();
    void heartbeat();
    /** The host's software is updated; it writes its entry. */
    void setVersion(const std::string& text)
    {
        version = text;
        heartbeat();
    }

    int number;
    std::string zone, service, id, state { "ready" }, version { "v1" };
    Addr app;
    int slots { 5 };
    double workS { 0.039 };
    std::uint64_t born {};
    std::vector<Taken> taken; ///< Opening packets, one for each flow.
    int runs {};
    int bounced {};

private:
    struct Flow {
        std::uint32_t seq {};
        std::uint32_t callerNext {};
        bool isOpen {};
        std::string answer; ///< Last answer, for a repeated request.
        std::uint32_t answeredTo {};
    };
    void onReadable();
    void onPacket(Packet p);
    void reply(const Packet& to, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data);
    std::string entry();

    World& m_world;
    int m_socket { -1 };
    std::unique_ptr<Http> m_health;
    bool m_isRunning {};
    std::uint64_t m_life {};
    int m_seq {};
    std::map<std::pair<Addr, Addr>, Flow> m_flows;
};

/** A consumer's attempt on a flow of its own: opening, one request, end. */
struct Attempt {
    std::string requestId;
    Addr caller;
    double sentAt {};
    std::uint32_t seq {}, hostSeq {};
    int copies {};
    bool isOpen {}, isDone {};
    std::string request;
    double answeredAt {};
    bool wasReset {};
};

struct Child {
    pid_t pid {};
    std::string name, program, settings;
    std::uint32_t ip {};
    std::string zone;
    bool isBalancer {};
    bool isInRotation { true };
    int misses {};
};

struct MachineSpec {
    std::string zone;
    std::string service; ///< Of the host; empty for an entry machine.
};

class World {
public:
    explicit World(const std::string& folder)
        : record(folder + "/record.txt")
    {
        signal(SIGPIPE, SIG_IGN);
        const char* trouble = std::getenv("TROUBLE");
        hasTrouble = !trouble || std::string(trouble) != "0";
        char pattern[] = "/tmp/review-lab-XXXXXX";
        const char* made = mkdtemp(pattern);
        if (!made)
            cannotRun("no temporary folder");
        m_temporary = made;
        ports = Ports::choose();
        store = std::make_unique<Store>(loop, Addr { storeIp, ports.store });
    }
    ~World() { endAll(); }

    /** Ends all child processes. */
    void endAll()
    {
        if (std::exchange(m_hasEnded, true))
            return;
        for (auto& [name, child] : children) {
            if (child.pid > 0) {
                ::kill(child.pid, SIGCONT);
                ::kill(child.pid, SIGKILL);
                waitpid(child.pid, nullptr, 0);
                child.pid = 0;
            }
        }
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_temporary, ignored);
        else
            std::printf("logs in %s\n", m_temporary.c_str());
    }

    // Operator.

    struct Route {
        std::string name;
        std::uint16_t port {};
        std::string kind { "unsafe" };
        std::string service;
        int timeoutMs { 2000 };
        int priority { 1 };
    };
    void writeConfig(std::vector<Route> routes, const std::vector<std::string>& services)
    {
        ++m_version;
        std::string text = "{\"Version\":" + std::to_string(m_version) + ",\"Routes\":[";
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const Route& r = routes[i];
            text += std::string(i ? "," : "") + "{\"Name\":\"" + r.name + "\",\"Host\":\"" + textOf(routeIp)
                + "\",\"Prefix\":\"/" + std::to_string(r.port) + "/\",\"Kind\":\"" + r.kind
                + "\",\"TimeoutMs\":" + std::to_string(r.timeoutMs) + ",\"TargetLatencyMs\":200,\"Priority\":"
                + std::to_string(r.priority) + ",\"Service\":\"" + r.service + "\",\"MaxAttempts\":2}";
        }
        text += "],\"Services\":[";
        for (std::size_t i = 0; i < services.size(); ++i) {
            text += std::string(i ? "," : "") + "{\"Name\":\"" + services[i]
                + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,"
                  "\"WarmupPerS\":0.0}";
        }
        text += "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
                "\"IdleTimeoutMs\":15000}}";
        std::uint64_t revision = store->put("op/config", text);
        record.line("operator: configuration version %d acknowledged at revision %llu", m_version,
            static_cast<unsigned long long>(revision));
    }

    // Machines.

    void addBalancers(const std::vector<std::string>& zones)
    {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            Child child { .name = "balancer-" + std::to_string(i + 1), .program = "target/hawthorncroft-platform-balancer" };
            child.ip = balancerBase + std::uint32_t(i) + 1;
            child.zone = zones[i];
            child.isBalancer = true;
            children[child.name] = child;
        }
    }
    void addHosts(const std::vector<std::pair<std::string, std::string>>& zoneAndService)
    {
        for (auto& [zone, service] : zoneAndService) {
            int number = int(hosts.size()) + 1;
            hosts.push_back(std::make_unique<Host>(*this, number, zone, service));
            Child child { .name = "agent-" + std::to_string(number), .program = "target/hawthorncroft-platform-agent" };
            child.ip = hostBase + std::uint32_t(number);
            child.zone = zone;
            children[child.name] = child;
        }
    }
    Host& host(int number) { return *hosts[std::size_t(number) - 1]; }

    void startAll()
    {
        for (auto& [name, child] : children)
            startChild(name, true);
        probe();
        beat();
    }
    void startChild(const std::string& name, bool isFirst)
    {
        Child& child = children.at(name);
        child.settings = m_temporary + "/" + name + ".json";
        std::ofstream(child.settings) << settingsOf(child, isFirst);
        pid_t parent = getpid();
        pid_t pid = fork();
        if (pid < 0)
            cannotRun("fork");
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(3);
            int log = open((m_temporary + "/" + name + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("HAWTHORNCROFT_BOOT", child.settings.c_str(), 1);
            execl(child.program.c_str(), child.program.c_str(), static_cast<char*>(nullptr));
            _exit(3);
        }
        child.pid = pid;
        record.line("process %s started", name.c_str());
    }
    /** @return Whether all balancers answer 200 to the routers. */
    bool areAllReady() const
    {
        for (auto& [name, child] : children) {
            if (child.isBalancer && (child.misses || !m_answered.contains(name)))
                return false;
        }
        return true;
    }

    // Consumers: one attempt on a flow of its own from each zone in turn.

    void startTraffic(double perSecond, std::uint16_t routePort, double until)
    {
        if (m_consumerSockets.empty()) {
            for (std::uint32_t i = 0; i < zones.size(); ++i) {
                int fd = openUdp({ consumerBase + i + 1, ports.data });
                m_consumerSockets.push_back(fd);
                loop.watch(fd, [this, fd] { onConsumerReadable(fd); });
            }
        }
        scheduleAttempt(now(), 1 / perSecond, routePort, now() + until);
    }
    void attempt(std::uint32_t zone, std::uint16_t routePort)
    {
        std::uint16_t port = std::uint16_t(10000 + m_nextCaller++ % 50000);
        Addr caller { consumerBase + zone + 1, port };
        Attempt& a = attempts[caller];
        if (a.sentAt > 0 && !a.isDone)
            return;
        a = {};
        a.caller = caller;
        a.requestId = "q" + std::to_string(++m_nextRequest);
        a.sentAt = now();
        a.seq = std::uint32_t(mix(m_nextRequest));
        a.request = "POST /work HTTP/1.1\r\nHost: x\r\nRequest-Id: " + a.requestId + "\r\nContent-Length: 20\r\n\r\n"
            + std::string(20, 'b');
        m_routeOf[caller] = { routeIp, routePort };
        ++sent;
        m_sentTo[routePort].emplace_back(a.requestId, a.sentAt);
        sentTimes[flowOf(a)] = a.sentAt;
        sendOpening(a, a.sentAt);
    }
    std::pair<Addr, Addr> flowOf(const Attempt& a) { return { a.caller, m_routeOf[a.caller] }; }

    /** @return Requests to a route, with the time of their first opening packet. */
    std::vector<std::pair<std::string, double>> sentTo(std::uint16_t routePort) const
    {
        auto found = m_sentTo.find(routePort);
        return found == m_sentTo.end() ? std::vector<std::pair<std::string, double>> {} : found->second;
    }

    // What the routers do: a hash over the nodes of the zone that are in rotation.
    const Child* routerChoice(std::uint32_t zone, Addr caller)
    {
        auto inZone = [&](bool isReadyOnly, const std::string& name) {
            std::vector<const Child*> list;
            for (auto& [n, c] : children) {
                if (c.isBalancer && (name.empty() || c.zone == name) && (!isReadyOnly || c.isInRotation))
                    list.push_back(&c);
            }
            return list;
        };
        auto all = inZone(false, zones[zone]);
        auto list = inZone(true, zones[zone]);
        if (list.size() * 2 < all.size())
            list = list.empty() ? inZone(true, "") : all;
        if (list.empty())
            list = inZone(false, "");
        const Child* best = nullptr;
        std::uint64_t highest = 0;
        for (const Child* c : list) {
            std::uint64_t h = mix(mix(caller.ip * 65536ULL + caller.port) ^ c->ip);
            if (!best || h > highest)
                best = c, highest = h;
        }
        return best;
    }

    Loop loop;
    Record record;
    Ports ports;
    std::unique_ptr<Store> store;
    std::map<std::string, Child> children;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> zones { "sofia-a", "sofia-b", "sofia-c" };
    std::map<Addr, Attempt> attempts;
    std::map<std::pair<Addr, Addr>, double> sentTimes; ///< Consumer's first opening packet of a flow.
    double heartbeatS { 0.77 };
    bool hasTrouble { true };
    bool isStoreWritable { true };
    int sent {}, answered {}, resets {};
    std::map<std::string, int> runsOf; ///< Runs by request id.

    static constexpr std::uint32_t balancerBase = 0x7f000100, hostBase = 0x7f000200, consumerBase = 0x7f000300,
                                   storeIp = 0x7f000401, routeIp = 0x7f000901;

private:
    /** Fills in the templates of the deploy file, as the platform does. */
    std::string settingsOf(const Child& child, bool isFirst)
    {
        std::map<std::string, std::string> values;
        auto quoted = [](const std::string& t) { return "\"" + t + "\""; };
        auto addr = [&](std::uint16_t port) { return quoted(textOf({ child.ip, port })); };
        values["NodeName"] = quoted(child.name);
        values["Zone"] = quoted(child.zone);
        values["Listen.outbound"] = addr(ports.outbound);
        values["Listen.DatagramAddr"] = addr(ports.data);
        values["Listen.Ready"] = addr(ports.ready);
        values["InternalPortRange.0"] = std::to_string(ports.fleet);
        values["platform.Addr"] = quoted(textOf({ storeIp, ports.store }));
        std::string seeds;
        int count = 0;
        for (auto& [name, c] : children) {
            if (c.isBalancer && count++ < 3)
                seeds += std::string(seeds.empty() ? "" : ",") + quoted(textOf({ c.ip, ports.control }));
        }
        values["Seeds"] = "[" + seeds + "]";
        values["Bootstrap"] = isFirst ? "true" : "false";
        values["app"] = addr(ports.app);
        values["Bounds.WarmupExcess"] = "1.5";
        values["Bounds.WarmupSlack"] = "5";
        values["Bounds.GraceS"] = "6";
        values["Limits.LinkMbps"] = "1000.0";
        values["Limits.CpuShare"] = "0.25";
        values["Hash"] = quoted("steady");
        if (!child.isBalancer)
            values["Service"] = quoted(hosts[child.ip - hostBase - 1]->service);
        std::ifstream file(child.isBalancer ? "deploy/balancer.json" : "deploy/agent.json");
        std::stringstream text;
        text << file.rdbuf();
        std::string in = text.str(), out;
        if (in.empty())
            cannotRun("no template in deploy/; run in the repository's root");
        for (std::size_t at = 0; at < in.size();) {
            std::size_t open = in.find("{{", at);
            if (open == std::string::npos) {
                out += in.substr(at);
                break;
            }
            std::size_t end = in.find("}}", open);
            std::string name = in.substr(open + 2, end - open - 2);
            name = name.substr(0, name.find('|'));
            if (!values.contains(name))
                cannotRun("template names " + name);
            out += in.substr(at, open - at) + values[name];
            at = end + 2;
        }
        return out;
    }

    /** The routers ask each node twice per second; after two misses it is out of rotation. */
    void probe()
    {
        loop.after(0.5, [this] { probe(); });
        for (auto& [name, child] : children) {
            if (!child.isBalancer)
                continue;
            int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            sockaddr_in s = sockaddrOf({ child.ip, ports.ready });
            auto isAnswered = std::make_shared<bool>(false);
            connect(fd, reinterpret_cast<sockaddr*>(&s), sizeof(s));
            std::string key = name;
            loop.after(0.02, [fd] {
                static const char request[] = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                (void)!::send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
            });
            loop.after(0.4, [this, fd, key, isAnswered] {
                char buffer[512];
                ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
                close(fd);
                Child& c = children.at(key);
                bool isReady = size > 12 && std::string(buffer, 12) == "HTTP/1.1 200";
                if (isReady) {
                    c.misses = 0;
                    c.isInRotation = true;
                    m_answered.insert(key);
                } else if (++c.misses >= 2) {
                    c.isInRotation = false;
                }
            });
        }
    }
    void beat()
    {
        loop.after(heartbeatS, [this] { beat(); });
        for (auto& host : hosts)
            host->heartbeat();
    }
    void scheduleAttempt(double at, double gap, std::uint16_t routePort, double until)
    {
        if (at > until)
            return;
        loop.at(at, [this, at, gap, routePort, until] {
            attempt(std::uint32_t(m_nextZone++ % zones.size()), routePort);
            scheduleAttempt(at + gap, gap, routePort, until);
        });
    }
    void send(const Attempt& a, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data)
    {
        Packet p;
        p.seq = seq, p.ack = ack, p.flags = flags, p.src = a.caller, p.dst = m_routeOf[a.caller], p.data = data;
        p.sum = sumOf(p);
        std::uint32_t zone = a.caller.ip - consumerBase - 1;
        if (const Child* node = routerChoice(zone, a.caller))
            sendUdp(m_consumerSockets[zone], { node->ip, ports.data }, encode(p));
    }
    void sendOpening(Attempt& a, double start)
    {
        send(a, SYN, a.seq, std::uint32_t(a.copies), "");
        static const double copyAt[] = { 0.2, 0.6, 1.4 };
        int copy = a.copies++;
        Addr key = a.caller;
        loop.at(start + copyAt[copy], [this, key, start, copy] {
            Attempt& b = attempts[key];
            if (b.sentAt != start || b.isOpen || b.isDone)
                return;
            if (copy == 2)
                b.isDone = true; // Ended without a run.
            else
                sendOpening(b, start);
        });
    }
    void sendRequest(Addr key, double start, double wait)
    {
        Attempt& a = attempts[key];
        if (a.sentAt != start || a.isDone)
            return;
        if (now() > start + 2.0) {
            a.isDone = true; // The time budget has ended.
            return;
        }
        send(a, ACK, a.seq + 1, a.hostSeq + 1, a.request);
        loop.after(wait, [this, key, start, wait] { sendRequest(key, start, std::min(wait * 2, 1.6)); });
    }
    void onConsumerReadable(int fd)
    {
        char buffer[2048];
        ssize_t size;
        while ((size = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
            Packet p;
            if (!decode(buffer, std::size_t(size), p))
                continue;
            auto found = attempts.find(p.dst);
            if (found == attempts.end() || found->second.isDone)
                continue;
            Attempt& a = found->second;
            if (p.src != m_routeOf[p.dst])
                continue;
            if (p.flags & RST) {
                a.isDone = a.wasReset = true;
                ++resets;
            } else if ((p.flags & SYN) && !a.isOpen && p.ack == a.seq + 1) {
                a.isOpen = true;
                a.hostSeq = p.seq;
                sendRequest(a.caller, a.sentAt, 0.2);
            } else if (!p.data.empty() && a.isOpen) {
                a.isDone = true;
                a.answeredAt = now();
                ++answered;
                send(a, ACK | FIN, a.seq + 1 + std::uint32_t(a.request.size()), p.seq + std::uint32_t(p.data.size()), "");
            }
        }
    }

    std::string m_temporary;
    std::set<std::string> m_answered;
    std::vector<int> m_consumerSockets;
    std::map<Addr, Addr> m_routeOf;
    std::map<std::uint16_t, std::vector<std::pair<std::string, double>>> m_sentTo;
    std::uint64_t m_nextCaller {}, m_nextRequest {}, m_nextZone {};
    int m_version {};
    bool m_hasEnded {};
};

inline Host::Host(World& world, int n, std::string z, std::string s)
    : number(n)
    , zone(std::move(z))
    , service(std::move(s))
    , id("h" + std::to_string(n) + "-" + std::to_string(mix(std::uint64_t(n)) % 100000))
    , app { World::hostBase + std::uint32_t(n), world.ports.app }
    , m_world(world)
{
}

inline void Host::start()
{
    m_isRunning = true;
    ++m_life;
    m_seq = 0;
    m_flows.clear();
    state = "ready";
    born = unixMs();
    m_socket = openUdp(app);
    m_world.loop.watch(m_socket, [this] { onReadable(); });
    m_health = std::make_unique<Http>(m_world.loop, app,
        [](const std::string&, Http::Reply reply) { reply(200, "", "{}"); });
    m_health->open();
    m_world.record.line("host %d (%s, %s) starts", number, zone.c_str(), service.c_str());
    heartbeat();
}

inline std::string Host::entry()
{
    return "\"Service\":\"" + service + "\",\"Addr\":\"" + textOf(app) + "\",\"Zone\":\"" + zone
        + "\",\"Version\":\"" + version + "\",\"MaxConcurrency\":" + std::to_string(slots) + ",\"State\":\"" + state
        + "\",\"WarmupLeftMs\":0,\"born\":" + std::to_string(born);
}

inline void Host::heartbeat()
{
    if (m_isRunning && m_world.isStoreWritable)
        writeEntry();
}

inline void Host::writeEntry()
{
    ++m_seq;
    std::string text = entry();
    std::string stored = m_world.store->valueOf("servers/" + id);
    if (stored.starts_with("{" + text + ",\"Seq\":"))
        return; // The entry changes when more than Seq changes.
    std::uint64_t revision = m_world.store->put("servers/" + id, "{" + text + ",\"Seq\":" + std::to_string(m_seq) + "}");
    m_world.record.line("host %d writes its entry at revision %llu: %s", number,
        static_cast<unsigned long long>(revision), text.c_str());
}

inline void Host::onReadable()
{
    char buffer[2048];
    ssize_t size;
    while (m_socket >= 0 && (size = recv(m_socket, buffer, sizeof(buffer), 0)) > 0) {
        Packet p;
        if (decode(buffer, std::size_t(size), p))
            onPacket(std::move(p));
    }
}

inline void Host::reply(
    const Packet& to, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data)
{
    Packet p;
    p.seq = seq, p.ack = ack, p.flags = flags, p.src = to.dst, p.dst = to.src, p.data = data;
    p.sum = sumOf(p);
    if (m_socket >= 0)
        sendUdp(m_socket, { app.ip, m_world.ports.outbound }, encode(p));
}

inline void Host::onPacket(Packet p)
{
    auto key = std::pair(p.src, p.dst);
    auto found = m_flows.find(key);
    if (p.flags & SYN) {
        if (found == m_flows.end()) {
            found = m_flows.emplace(key, Flow {}).first;
            found->second.seq = std::uint32_t(mix(p.src.port * 977ULL + app.ip + m_life * 7919)) | 0x10000;
            found->second.callerNext = p.seq + 1;
            taken.push_back({ now(), m_world.sentTimes[key] });
            m_world.record.line("host %d (%s) takes the opening packet of %s, sent %.3f s before", number, zone.c_str(),
                textOf(p.src).c_str(), now() - taken.back().sentAt);
        }
        reply(p, SYN | ACK, found->second.seq, p.seq + 1, "");
        return;
    }
    bool isChosen = found != m_flows.end() && (found->second.isOpen || p.ack == found->second.seq + 1);
    if (!isChosen) {
        ++bounced;
        p.flags |= BOUNCED;
        p.pad = 0;
        if (m_socket >= 0)
            sendUdp(m_socket, { app.ip, m_world.ports.outbound }, encode(p));
        return;
    }
    Flow& flow = found->second;
    flow.isOpen = true;
    if (p.flags & RST) {
        m_flows.erase(found);
        return;
    }
    if (p.flags & FIN) {
        reply(p, ACK | FIN, flow.seq + 1 + std::uint32_t(flow.answer.size()), p.seq + std::uint32_t(p.data.size()) + 1, "");
        return;
    }
    if (p.data.empty())
        return;
    if (p.seq != flow.callerNext) {
        if (!flow.answer.empty() && p.seq == flow.answeredTo)
            reply(p, ACK, flow.seq + 1, flow.callerNext, flow.answer);
        return;
    }
    flow.answeredTo = p.seq;
    flow.callerNext = p.seq + std::uint32_t(p.data.size());
    std::size_t at = p.data.find("Request-Id: ");
    std::string request = at == std::string::npos ? "?" : p.data.substr(at + 12, p.data.find('\r', at) - at - 12);
    ++runs;
    ++m_world.runsOf[request];
    m_world.record.line("host %d runs %s", number, request.c_str());
    std::uint64_t life = m_life;
    m_world.loop.after(workS, [this, key, life, p] {
        auto again = m_flows.find(key);
        if (life != m_life || !m_isRunning || again == m_flows.end())
            return;
        Flow& f = again->second;
        f.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
        reply(p, ACK, f.seq + 1, f.callerNext, f.answer);
    });
}

} // namespace lab
