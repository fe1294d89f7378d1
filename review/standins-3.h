// Stand-ins for the platform's store, upstreams and clients, shared by the cases 11 to 15.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

inline void pauseFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Whether the case is played with its disruption; TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

/// Writes what was sent, answered and run to record.txt, with seconds since the start.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_out(file, std::ios::trunc)
        , m_start(Clock::now())
    {}
    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const double at = std::chrono::duration<double>(Clock::now() - m_start).count();
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", at);
        m_out << stamp << text << '\n';
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::uint16_t portOf(int fd)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

inline int listenOnLoopback()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0) {
        std::perror("listen");
        std::exit(CouldNotRun);
    }
    return fd;
}

/// Returns ports that are free at the moment, all different.
inline std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<int> fds;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        fds.push_back(listenOnLoopback());
        ports.push_back(portOf(fds.back()));
    }
    for (const int it : fds) {
        close(it);
    }
    return ports;
}

/// Head of a request or response. Field names are in lower case.
struct Head
{
    std::string line;
    std::map<std::string, std::string> fields;
    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::size_t length() const { return std::strtoull(field("content-length").c_str(), nullptr, 10); }
    /// Status of a response.
    int status() const { return line.size() < 12 ? 0 : std::atoi(line.c_str() + 9); }
    std::string method() const { return line.substr(0, line.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = line.find(' ') + 1;
        return line.substr(begin, line.find(' ', begin) - begin);
    }
};

/// How reading from a connection ended.
enum class End { None, Closed, Reset, TimedOut };

inline const char *toString(End end)
{
    switch (end) {
    case End::None:
        return "open";
    case End::Closed:
        return "closed";
    case End::Reset:
        return "reset";
    case End::TimedOut:
        return "silent";
    }
    return "";
}

struct Answer
{
    Head head;
    std::string body;
    /// Whether the response was complete by its framing.
    bool isWhole = false;
    End end = End::None;
    int status() const { return head.status(); }
};

class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { closeNow(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(std::uint16_t port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    void setTimeout(milliseconds time)
    {
        const timeval tv{ time.count() / 1000, (time.count() % 1000) * 1000 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    }
    bool send(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t n = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            data.remove_prefix(std::size_t(n));
        }
        return true;
    }
    /// Receives more bytes; false at the end of the connection.
    bool receive()
    {
        char buf[65'536];
        const ssize_t n = recv(m_fd, buf, sizeof buf, 0);
        if (n > 0) {
            m_input.append(buf, std::size_t(n));
            return true;
        }
        if (n == 0) {
            m_end = End::Closed;
        } else {
            m_end = errno == EAGAIN || errno == EWOULDBLOCK ? End::TimedOut : End::Reset;
        }
        return false;
    }
    std::optional<std::string> readUntil(std::string_view mark)
    {
        std::size_t at = 0;
        while ((at = m_input.find(mark)) == std::string::npos) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        const std::string result = m_input.substr(0, at + mark.size());
        m_input.erase(0, at + mark.size());
        return result;
    }
    std::optional<std::string> read(std::size_t size)
    {
        while (m_input.size() < size) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        const std::string result = m_input.substr(0, size);
        m_input.erase(0, size);
        return result;
    }
    std::optional<Head> readHead()
    {
        const std::optional<std::string> text = readUntil("\r\n\r\n");
        if (!text.has_value()) {
            return std::nullopt;
        }
        Head head;
        std::istringstream in(*text);
        std::getline(in, head.line);
        head.line.erase(head.line.find_last_not_of("\r") + 1);
        for (std::string line; std::getline(in, line) && line != "\r";) {
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char &ch : name) {
                ch = char(std::tolower(ch));
            }
            const std::size_t first = line.find_first_not_of(" \t", colon + 1);
            const std::size_t last = line.find_last_not_of(" \t\r");
            head.fields[name] = first == std::string::npos || last < first
                                        ? std::string()
                                        : line.substr(first, last - first + 1);
        }
        return head;
    }
    /// Reads the final response to a request other than HEAD.
    Answer readAnswer()
    {
        Answer answer;
        do {
            const std::optional<Head> head = readHead();
            if (!head.has_value()) {
                answer.head = {};
                answer.end = m_end;
                return answer;
            }
            answer.head = *head;
        } while (answer.status() < 200);
        if (strcasecmp(answer.head.field("transfer-encoding").c_str(), "chunked") == 0) {
            while (true) {
                const std::optional<std::string> line = readUntil("\r\n");
                const std::size_t size = line.has_value() ? std::stoul(*line, nullptr, 16) : 0;
                const std::optional<std::string> data =
                        line.has_value() ? read(size + 2) : std::nullopt;
                if (!data.has_value()) {
                    answer.body += std::exchange(m_input, {});
                    break;
                }
                answer.body.append(*data, 0, size);
                if (size == 0) {
                    answer.isWhole = true;
                    break;
                }
            }
        } else if (answer.head.fields.contains("content-length")) {
            const std::optional<std::string> body = read(answer.head.length());
            answer.isWhole = body.has_value();
            answer.body = body.has_value() ? *body : std::exchange(m_input, {});
        } else {
            while (receive()) {
            }
            answer.body = std::exchange(m_input, {});
            answer.isWhole = m_end == End::Closed;
        }
        answer.end = m_end;
        return answer;
    }
    std::size_t buffered() const { return m_input.size(); }
    void discardBuffered() { m_input.clear(); }
    End end() const { return m_end; }
    int descriptor() const { return m_fd; }
    void shutdownSending() { shutdown(m_fd, SHUT_WR); }
    void reset()
    {
        const linger off{ 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
        closeNow();
    }
    void closeNow()
    {
        if (m_fd >= 0) {
            close(std::exchange(m_fd, -1));
        }
    }

private:
    int m_fd;
    std::string m_input;
    End m_end = End::None;
};

/// Accepts connections and serves each on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;
    explicit Listener(Serve serve)
        : m_fd(listenOnLoopback())
    {
        std::thread([fd = m_fd, serve] {
            while (true) {
                const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) {
                    return;
                }
                std::thread([client, serve] {
                    Connection connection(client);
                    serve(connection);
                }).detach();
            }
        }).detach();
    }
    std::uint16_t port() const { return portOf(m_fd); }

private:
    int m_fd;
};

/// Returns the text of a member of a JSON object, empty if there is none.
inline std::string jsonMember(const std::string &object, const std::string &key)
{
    std::size_t depth = 0;
    std::size_t begin = std::string::npos;
    std::string lastText;
    for (std::size_t i = 0; i < object.size(); ++i) {
        const char ch = object[i];
        if (ch == '"') {
            const std::size_t start = ++i;
            while (i < object.size() && object[i] != '"') {
                i += object[i] == '\\' ? 2 : 1;
            }
            if (depth == 1 && begin == std::string::npos) {
                lastText = object.substr(start, i - start);
            }
        } else if (ch == '{' || ch == '[') {
            ++depth;
        } else if (ch == '}' || ch == ']') {
            if (--depth == 0 && begin != std::string::npos) {
                return object.substr(begin, i - begin);
            }
        } else if (ch == ':' && depth == 1 && begin == std::string::npos && lastText == key) {
            begin = i + 1;
        } else if (ch == ',' && depth == 1) {
            if (begin != std::string::npos) {
                return object.substr(begin, i - begin);
            }
            lastText.clear();
        }
    }
    return {};
}

inline std::string unquoted(const std::string &text)
{
    const std::size_t first = text.find('"');
    return first == std::string::npos ? text : text.substr(first + 1, text.rfind('"') - first - 1);
}

/// The platform's store: lists, watches, and conditional writes.
class Store
{
public:
    Store()
        : m_listener([this](Connection &connection) { serve(connection); })
    {}
    std::uint16_t port() const { return m_listener.port(); }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase(kind, name);
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string text;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
        bool isRemoval = false;
    };

    std::string write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::uint64_t revision = ++m_revision;
        const std::string text = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":"
                                 + std::to_string(revision)
                                 + ",\"created_at\":0,\"finalizers\":[],\"delete_requested\":false}"
                                   ",\"spec\":"
                                 + spec + ",\"status\":{}}";
        m_objects[{ kind, name }] = Object{ revision, text };
        m_events.push_back(Event{ revision, kind, text, false });
        m_changed.notify_all();
        return text;
    }
    void erase(const std::string &kind, const std::string &name)
    {
        const auto it = m_objects.find({ kind, name });
        if (it != m_objects.end()) {
            m_events.push_back(Event{ ++m_revision, kind, it->second.text, true });
            m_objects.erase(it);
            m_changed.notify_all();
        }
    }
    static std::uint64_t number(const std::string &query, const std::string &key)
    {
        const std::size_t at = query.find(key + "=");
        return at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + key.size() + 1,
                                                           nullptr, 10);
    }
    void serve(Connection &connection)
    {
        while (const std::optional<Head> head = connection.readHead()) {
            const std::optional<std::string> body = connection.read(head->length());
            if (!body.has_value()) {
                return;
            }
            const auto [status, text] = call(*head, *body);
            if (!connection.send("HTTP/1.1 " + std::to_string(status)
                                 + " Done\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }
    std::pair<int, std::string> call(const Head &head, const std::string &body)
    {
        static const std::string prefix = "/tarragonstage/objects/";
        const std::string target = head.target();
        const std::size_t mark = target.find('?');
        const std::string query = mark == std::string::npos ? std::string() : target.substr(mark);
        const std::string path = target.substr(prefix.size(), mark == std::string::npos
                                                                      ? std::string::npos
                                                                      : mark - prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        std::unique_lock<std::mutex> lock(m_mutex);
        if (head.method() == "GET" && name.empty()) {
            return query.find("watch=") == std::string::npos ? list(kind)
                                                             : watch(kind, query, lock);
        }
        if (head.method() == "POST") {
            name = unquoted(jsonMember(jsonMember(body, "metadata"), "name"));
        }
        const auto found = m_objects.find({ kind, name });
        const bool exists = found != m_objects.end();
        if (head.method() == "POST") {
            return exists ? std::pair(409, found->second.text)
                          : std::pair(201, write(kind, name, jsonMember(body, "spec")));
        }
        if (!exists) {
            return { 404, "{}" };
        }
        const std::uint64_t expected =
                head.method() == "PUT"
                        ? std::strtoull(jsonMember(jsonMember(body, "metadata"), "revision").c_str(),
                                        nullptr, 10)
                        : number(query, "revision");
        if (expected != 0 && expected != found->second.revision) {
            return { 409, found->second.text };
        }
        if (head.method() == "PUT") {
            return { 200, write(kind, name, jsonMember(body, "spec")) };
        }
        if (head.method() == "DELETE") {
            erase(kind, name);
            return { 200, "{}" };
        }
        return { 200, found->second.text };
    }
    std::pair<int, std::string> list(const std::string &kind) const
    {
        std::string items;
        for (const auto &[key, object] : m_objects) {
            if (key.first == kind) {
                items += (items.empty() ? "" : ",") + object.text;
            }
        }
        return { 200, "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":"
                              + std::to_string(m_revision) + "}" };
    }
    std::pair<int, std::string> watch(const std::string &kind, const std::string &query,
                                      std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t after = number(query, "watch");
        const Clock::time_point until = Clock::now() + milliseconds(number(query, "wait_ms"));
        while (true) {
            std::string events;
            for (const Event &it : m_events) {
                if (it.revision > after && it.kind == kind) {
                    events += (events.empty() ? "" : ",") + ("{\"object\":" + it.text)
                              + ",\"deleted\":" + (it.isRemoval ? "true" : "false") + "}";
                }
            }
            if (!events.empty() || Clock::now() >= until) {
                return { 200, "{\"events\":[" + events + "],\"as_of\":"
                                      + std::to_string(m_revision) + "}" };
            }
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<Event> m_events;
    Listener m_listener;
};

/// An upstream. The handler serves one request and returns whether the connection stays open. It
/// gets the request's head; the body has not been read yet.
class Upstream
{
public:
    using Handler = std::function<bool(Connection &, const Head &)>;
    Upstream(Store &store, const std::string &id, const std::string &service, int slots,
             Handler handler)
        : m_listener([handler, id](Connection &connection) {
            while (const std::optional<Head> head = connection.readHead()) {
                if (head->field("expected-instance") != id) {
                    connection.read(head->length());
                    connection.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                                    + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (!handler(connection, *head)) {
                    return;
                }
            }
        })
    {
        store.put("servers", id,
                  "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                          + std::to_string(m_listener.port())
                          + "\",\"zone\":\"thess-a\",\"version\":\"v1\",\"slots\":"
                          + std::to_string(slots)
                          + ",\"state\":\"ready\",\"cold_remaining_s\":0,\"seq\":1,"
                            "\"born\":1700000000000}");
    }

private:
    Listener m_listener;
};

/// Head of an upstream's response to the request, without framing.
inline std::string responseStart(const Head &request, int status, const std::string &seal)
{
    return "HTTP/1.1 " + std::to_string(status) + " Done\r\nAttempt-Id: "
           + request.field("attempt-id") + "\r\nResponse-Seal: " + seal + "\r\n";
}

inline std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
}

struct RouteRow
{
    std::string name;
    std::string prefix;
    std::string kind;
    double timeout;
    std::string service;
    int attempts;
};

/// The desired state, as the operator writes it.
inline std::string desiredState(int version, const std::vector<RouteRow> &routes,
                                const std::vector<std::string> &services, std::size_t maxBody)
{
    std::ostringstream out;
    out << "{\"version\":\"r" << version
        << "\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\","
           "\"target_latency_s\",\"priority\",\"max_attempts\",\"service\"],\"rows\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const RouteRow &it = routes[i];
        out << (i == 0 ? "" : ",") << "[\"" << it.name << "\",\"stand.example\",\"" << it.prefix
            << "\",\"" << it.kind << "\"," << it.timeout << ",0.6,1," << it.attempts << ",\""
            << it.service << "\"]";
    }
    out << "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\","
           "\"cold_start_s\",\"cold_per_s\"],\"rows\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        out << (i == 0 ? "" : ",") << "[\"" << services[i] << "\",\"/health\",330,3,15]";
    }
    out << "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" << maxBody
        << ",\"header_timeout_s\":5,\"idle_timeout_s\":20}}";
    return out.str();
}

/// A machine: the gateway, started by the line `run` of the deploy file with its settings file.
class Machine
{
public:
    Machine(const std::string &folder, const std::string &name, std::uint16_t storePort,
            int memoryMegabytes)
        : m_name(name)
        , m_ports(freePorts(5))
        , m_settings(folder + "/" + name + ".yaml")
        , m_log(folder + "/" + name + ".log")
    {
        const auto at = [](std::uint16_t port) {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        std::ofstream out(m_settings);
        out << "instance: \"" << name << "\"\nfailureDomain: \"thess-a\"\nregion: \"gr-north\"\n"
            << "front: " << at(m_ports[0]) << "readiness: " << at(m_ports[1])
            << "lookup: " << at(m_ports[2]) << "rpc: " << at(m_ports[3])
            << "metrics: " << at(m_ports[4]) << "store: " << at(storePort)
            << "failureDomains:\n  \"thess-a\": \"gr-north\"\n  \"athens-a\": \"gr-attica\"\n"
            << "bounds:\n  retryShare: 0.2\n  extraRetries: 58\n  stopGraceSeconds: 6\n"
            << "  lookupTtlSeconds: 5\n  drainSeconds: 2.5\nmemoryMegabytes: " << memoryMegabytes
            << "\nmaxDescriptors: 4100\ncapacityCores: \"0.2\"\nlinkMegabits: \"1000\"\n"
            << "log:\n  level: INFO\n";
    }
    ~Machine() { kill(SIGKILL); }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    void start()
    {
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("TARRAGONSTAGE_NODE_FILE", m_settings.c_str(), 1);
            std::freopen(m_log.c_str(), "a", stdout);
            dup2(1, 2);
            execl("target/bin/tarragonstage", "target/bin/tarragonstage", "gateway", nullptr);
            _exit(127);
        }
    }
    /// Waits until the machine says that it is ready.
    bool waitUntilReady()
    {
        const Clock::time_point until = Clock::now() + std::chrono::seconds(15);
        while (Clock::now() < until && isRunning()) {
            if (const std::unique_ptr<Connection> connection = Connection::open(m_ports[1])) {
                connection->setTimeout(milliseconds(1'000));
                connection->send("GET /tarragonstage/readiness HTTP/1.1\r\nHost: machine\r\n\r\n");
                if (connection->readAnswer().status() == 200) {
                    return true;
                }
            }
            pauseFor(milliseconds(50));
        }
        return false;
    }
    bool isRunning()
    {
        if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process) {
            m_process = -1;
        }
        return m_process > 0;
    }
    /// How the process ended.
    std::string ending() const
    {
        return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status))
                                     : "exit code " + std::to_string(WEXITSTATUS(m_status));
    }
    void kill(int number)
    {
        if (isRunning()) {
            ::kill(m_process, number);
            waitpid(m_process, &m_status, 0);
            m_process = -1;
        }
    }
    /// Memory of the process in bytes.
    std::size_t memory() const
    {
        std::ifstream in("/proc/" + std::to_string(m_process) + "/statm");
        std::size_t size = 0;
        std::size_t resident = 0;
        in >> size >> resident;
        return resident * std::size_t(sysconf(_SC_PAGESIZE));
    }
    std::uint16_t front() const { return m_ports[0]; }
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
    std::vector<std::uint16_t> m_ports;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = -1;
    int m_status = 0;
};

/// A folder for settings and logs, removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) == nullptr) {
            std::exit(CouldNotRun);
        }
        m_path = name;
    }
    ~TemporaryFolder() { static_cast<void>(std::system(("rm -rf '" + m_path + "'").c_str())); }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// A request of a client, with the fields that every client sends.
inline std::string requestStart(const std::string &method, const std::string &path,
                                const std::string &id, int deadlineMs)
{
    return method + " " + path + " HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: " + id
           + "\r\nRequest-Deadline: " + std::to_string(deadlineMs) + "\r\n";
}

/// Ends the case. Threads of stand-ins may still run, so that no destructor of a static object may.
[[noreturn]] inline void finish(Record &record, int code)
{
    record.line(code == RuleBroken ? "RESULT the rule was broken"
                : code == RuleHeld ? "RESULT the rule held"
                                   : "RESULT the case could not run");
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace Review
