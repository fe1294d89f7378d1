#pragma once

// Stand-ins for the platform's store, targets and callers, and helpers to run the daemon as a
// separate process on loopback. Used by the cases of the review only.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace Lab {

using Json = nlohmann::json;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Returns the seconds since the start of the case.
inline double now()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepUntil(double time)
{
    const double left = time - now();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

/// Whether the disruption is part of the run (TROUBLE is not 0).
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The file record.txt: what was sent, answered and run, with the time of each.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now());
        m_file << time << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Adds a line to the record, formatted as by printf().
__attribute__((format(printf, 1, 2))) inline void note(const char *format, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    Record::instance().line(text);
}

/// Head of an HTTP request or response. The names of its fields are in lower case.
struct Head
{
    std::string startLine;
    std::map<std::string, std::string> fields;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::size_t contentLength() const
    {
        return std::strtoul(field("content-length").c_str(), nullptr, 10);
    }
    /// Method and target of a request.
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const std::size_t start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    /// Status of a response; 0 if there is none.
    int status() const
    {
        const std::size_t start = startLine.find(' ');
        return start == std::string::npos ? 0 : std::atoi(startLine.c_str() + start);
    }
};

/// A connected socket with buffered reading.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(m_socket); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int socket() const { return m_socket; }
    /// Whether the connection has ended or could not be read.
    bool hasEnded() const { return m_ended; }
    bool hasTimedOut() const { return m_timedOut; }

    bool send(const std::string &data)
    {
        std::size_t done = 0;
        while (done < data.size()) {
            const ssize_t n =
                    ::send(m_socket, data.data() + done, data.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    bool readHead(Head &head, double timeout)
    {
        const double deadline = now() + timeout;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
        }
        const std::string text = m_input.substr(0, end + 2);
        m_input.erase(0, end + 4);
        head = Head();
        std::size_t start = text.find("\r\n");
        head.startLine = text.substr(0, start);
        start += 2;
        while (start < text.size()) {
            const std::size_t lineEnd = text.find("\r\n", start);
            const std::string line = text.substr(start, lineEnd - start);
            start = lineEnd + 2;
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char &ch : name) {
                ch = static_cast<char>(std::tolower(static_cast<unsigned char>(ch)));
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            head.fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return true;
    }
    bool readBody(std::string &body, std::size_t length, double timeout)
    {
        const double deadline = now() + timeout;
        while (m_input.size() < length) {
            if (!fill(deadline)) {
                return false;
            }
        }
        body = m_input.substr(0, length);
        m_input.erase(0, length);
        return true;
    }

private:
    bool fill(double deadline)
    {
        const double left = deadline - now();
        pollfd waiting{ m_socket, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            m_timedOut = true;
            return false;
        }
        char data[65536];
        const ssize_t n = recv(m_socket, data, sizeof data, 0);
        if (n <= 0) {
            m_ended = true;
            return false;
        }
        m_input.append(data, static_cast<std::size_t>(n));
        return true;
    }

    int m_socket;
    std::string m_input;
    bool m_ended = false;
    bool m_timedOut = false;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Connects to a server; null if that fails.
inline std::unique_ptr<Connection> connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

/// A server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Connection &, const std::string &peer)>;

    Server(std::string ip, int port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {}
    ~Server() { stop(); }

    void start()
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(m_ip, m_port);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, 512) != 0) {
            throw std::runtime_error("cannot listen on " + m_ip + ":" + std::to_string(m_port));
        }
        m_isStopping = false;
        m_acceptor = std::thread([this] { accept(); });
    }
    /// Closes the listener and resets all connections, like a process that is killed.
    void stop()
    {
        if (!m_acceptor.joinable()) {
            return;
        }
        m_isStopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_sockets) {
                const linger reset{ 1, 0 };
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(fd, SHUT_RDWR);
            }
            threads.swap(m_threads);
        }
        for (std::thread &it : threads) {
            it.join();
        }
    }
    bool isStopping() const { return m_isStopping; }
    const std::string &ip() const { return m_ip; }
    int port() const { return m_port; }

private:
    void accept()
    {
        while (!m_isStopping) {
            sockaddr_in peer{};
            socklen_t length = sizeof peer;
            const int fd =
                    accept4(m_listener, reinterpret_cast<sockaddr *>(&peer), &length, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            char name[INET_ADDRSTRLEN] = {};
            inet_ntop(AF_INET, &peer.sin_addr, name, sizeof name);
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(fd);
            m_threads.emplace_back([this, fd, peerName = std::string(name)] {
                {
                    Connection connection(fd);
                    m_handler(connection, peerName);
                    const std::lock_guard inner(m_mutex);
                    m_sockets.erase(fd);
                }
            });
        }
    }

    std::string m_ip;
    int m_port;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{ false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::vector<std::thread> m_threads;
};

/// The platform's store. It answers as its pages say; faults are set by the members below.
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_server(ip, port, [this](Connection &connection, const std::string &peer) {
            serve(connection, peer);
        })
    {}
    ~Store() { stop(); }

    void start() { m_server.start(); }
    void stop()
    {
        m_isStopping = true;
        m_changed.notify_all();
        m_server.stop();
    }

    /// Writes an object as the operator or a target does. Returns the time of the acknowledgement.
    double put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec);
        return now();
    }
    double remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
        return now();
    }

    /// Calls from these addresses get 503.
    void reject(const std::string &peer, bool isRejected)
    {
        const std::lock_guard lock(m_mutex);
        if (isRejected) {
            m_rejected.insert(peer);
        } else {
            m_rejected.erase(peer);
        }
    }
    /// While set, the answers of calls whose target starts with the text are lost: the call is
    /// done, and its connection returns nothing further.
    void loseAnswersTo(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        m_lostPrefix = prefix;
    }
    /// Called with each call and its status; 0 if the answer was lost.
    std::function<void(const std::string &peer, const std::string &call, int status)> onCall;
    /// Time for which events are kept.
    double historySeconds = 20;

private:
    struct Change
    {
        double at;
        std::uint64_t revision;
        std::string kind;
        /// The object as JSON; large objects take less memory as text.
        std::string object;
        bool isRemoval;
    };

    void write(const std::string &kind, const std::string &name, const Json &spec)
    {
        const auto known = m_objects.find({ kind, name });
        if (known != m_objects.end() && known->second.at("spec") == spec) {
            return;
        }
        const Json object = { { "metadata",
                                { { "name", name },
                                  { "revision", ++m_revision },
                                  { "created_at", 1 },
                                  { "finalizers", Json::array() },
                                  { "delete_requested", false } } },
                              { "spec", spec },
                              { "status", nullptr } };
        m_objects[{ kind, name }] = object;
        record(kind, object, false);
    }
    void erase(const std::string &kind, const std::string &name)
    {
        const auto known = m_objects.find({ kind, name });
        if (known == m_objects.end()) {
            return;
        }
        Json object = known->second;
        m_objects.erase(known);
        object["metadata"]["revision"] = ++m_revision;
        record(kind, object, true);
    }
    void record(const std::string &kind, const Json &object, bool isRemoval)
    {
        forgetHistory();
        m_changes.push_back(Change{ now(), m_revision, kind, object.dump(), isRemoval });
        m_changed.notify_all();
    }
    void forgetHistory()
    {
        while (!m_changes.empty() && now() - m_changes.front().at > historySeconds) {
            m_oldestRevision = m_changes.front().revision;
            m_changes.pop_front();
        }
    }

    void serve(Connection &connection, const std::string &peer)
    {
        Head head;
        while (connection.readHead(head, 600)) {
            std::string body;
            if (!connection.readBody(body, head.contentLength(), 10)) {
                return;
            }
            std::string text;
            const int status = answer(connection, head, body, peer, text);
            if (status == 0) {
                return;
            }
            bool isLost = false;
            {
                const std::lock_guard lock(m_mutex);
                isLost = !m_lostPrefix.empty()
                         && (head.method() + " " + head.target()).rfind(m_lostPrefix, 0) == 0;
            }
            if (onCall) {
                onCall(peer, head.method() + " " + head.target(), isLost ? 0 : status);
            }
            if (isLost) {
                // Nothing is answered on this connection any more.
                Head next;
                while (connection.readHead(next, 600)) {
                }
                return;
            }
            if (!connection.send("HTTP/1.1 " + std::to_string(status)
                                 + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    /// Returns the status and sets the text of the answer; 0 if the caller has gone.
    int answer(Connection &connection, const Head &head, const std::string &body,
               const std::string &peer, std::string &text)
    {
        std::unique_lock lock(m_mutex);
        if (m_rejected.contains(peer)) {
            return 503;
        }
        const std::string target = head.target();
        const std::string path = target.substr(0, target.find('?'));
        static const std::string Prefix = "/tarragonstage/objects/";
        if (path.rfind(Prefix, 0) != 0) {
            return 404;
        }
        std::map<std::string, std::string> query;
        if (target.find('?') != std::string::npos) {
            std::string rest = target.substr(target.find('?') + 1) + "&";
            while (!rest.empty()) {
                const std::string pair = rest.substr(0, rest.find('&'));
                rest.erase(0, pair.size() + 1);
                const std::size_t equals = pair.find('=');
                if (equals != std::string::npos) {
                    query[pair.substr(0, equals)] = pair.substr(equals + 1);
                }
            }
        }
        const std::string rest = path.substr(Prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name =
                rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        const std::string method = head.method();
        if (method == "GET" && name.empty()) {
            return query.contains("watch") ? watch(lock, connection, kind, query, peer, text)
                                           : list(kind, query, text);
        }
        const auto known = m_objects.find({ kind, name });
        if (method == "POST") {
            const Json object = Json::parse(body);
            const std::string created = object.at("metadata").at("name");
            const auto existing = m_objects.find({ kind, created });
            if (existing != m_objects.end()) {
                text = existing->second.dump();
                return 409;
            }
            write(kind, created, object.at("spec"));
            text = m_objects.at({ kind, created }).dump();
            return 200;
        }
        if (known == m_objects.end()) {
            return 404;
        }
        const std::uint64_t revision = known->second.at("metadata").at("revision");
        if (method == "PUT") {
            const Json object = Json::parse(body);
            if (object.at("metadata").value("revision", revision) != revision) {
                text = known->second.dump();
                return 409;
            }
            write(kind, name, object.at("spec"));
            text = m_objects.at({ kind, name }).dump();
            return 200;
        }
        text = known->second.dump();
        if (method == "DELETE") {
            if (query.contains("revision") && std::stoull(query["revision"]) != revision) {
                return 409;
            }
            erase(kind, name);
        }
        return 200;
    }

    int list(const std::string &kind, std::map<std::string, std::string> &query, std::string &text)
    {
        constexpr std::size_t PageLength = 500;
        Json items = Json::array();
        bool hasMore = false;
        for (auto it = m_objects.upper_bound({ kind, query["after"] });
             it != m_objects.end() && it->first.first == kind; ++it) {
            hasMore = items.size() >= PageLength;
            if (hasMore) {
                break;
            }
            items.push_back(it->second);
        }
        text = Json({ { "items", items }, { "has_more", hasMore }, { "as_of", m_revision } })
                       .dump();
        return 200;
    }

    int watch(std::unique_lock<std::mutex> &lock, Connection &connection, const std::string &kind,
              std::map<std::string, std::string> &query, const std::string &peer, std::string &text)
    {
        const std::uint64_t after = std::stoull(query["watch"]);
        const double end = now() + std::stod(query["wait_ms"]) / 1000;
        while (true) {
            forgetHistory();
            if (m_isStopping) {
                return 0;
            }
            if (m_rejected.contains(peer)) {
                return 503;
            }
            if (after < m_oldestRevision) {
                return 410;
            }
            std::string events;
            for (const Change &it : m_changes) {
                if (it.kind == kind && it.revision > after) {
                    events += events.empty() ? "" : ",";
                    events += "{\"deleted\":" + std::string(it.isRemoval ? "true" : "false")
                              + ",\"object\":" + it.object + "}";
                }
            }
            if (!events.empty() || now() >= end) {
                text = "{\"as_of\":" + std::to_string(m_revision) + ",\"events\":[" + events + "]}";
                return 200;
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
            char ch = 0;
            if (recv(connection.socket(), &ch, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
                return 0;
            }
        }
    }

    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopping{ false };
    std::map<std::pair<std::string, std::string>, Json> m_objects;
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRevision = 0;
    std::set<std::string> m_rejected;
    std::string m_lostPrefix;
};

/// A run of a request at a target.
struct Run
{
    std::string attempt;
    std::string target;
    double at = 0;
};

/// All runs of a case.
class Runs
{
public:
    void add(const Run &run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// An upstream server of the pages: it runs each request for a while and answers it with its seal.
class Target
{
public:
    Target(Store &store, Runs &runs, std::string id, std::string service, std::string zone,
           const std::string &ip, int port, double workSeconds)
        : m_store(store)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_workSeconds(workSeconds)
        , m_server(ip, port,
                   [this](Connection &connection, const std::string &) { serve(connection); })
    {}

    const std::string &id() const { return m_id; }
    const std::string &zone() const { return m_zone; }
    const std::string &service() const { return m_service; }
    void start()
    {
        m_server.start();
        announce("ready");
    }
    void stop() { m_server.stop(); }
    /// Makes the target send these bytes after every n-th complete answer, `delay` seconds later.
    void sendSurplus(const std::string &bytes, int every, double delay)
    {
        m_surplus = bytes;
        m_surplusEvery = every;
        m_surplusDelay = delay;
    }
    int surplusCount() const { return m_surplusCount; }
    /// Makes the target turn away every n-th request, which does not run.
    void refuseSome(const std::string &answer, int every)
    {
        m_refusal = answer;
        m_refuseEvery = every;
    }
    double announce(const std::string &state)
    {
        m_isLeaving = state == "draining";
        return m_store.put("servers", m_id,
                           { { "service", m_service },
                             { "address", m_server.ip() + ":" + std::to_string(m_server.port()) },
                             { "zone", m_zone },
                             { "version", "v1" },
                             { "slots", 6 },
                             { "state", state },
                             { "cold_remaining_s", 0 },
                             { "seq", ++m_sequence },
                             { "born", 1700000000000 } });
    }

private:
    void serve(Connection &connection)
    {
        Head head;
        double surplusAt = 0;
        while (true) {
            if (!connection.readHead(head, surplusAt > 0 ? surplusAt - now() : 600)) {
                if (surplusAt == 0 || connection.hasEnded()) {
                    return;
                }
                sendSurplus(connection, surplusAt);
                continue;
            }
            std::string body;
            if (!connection.readBody(body, head.contentLength(), 10)) {
                return;
            }
            const std::string attempt = head.field("attempt-id");
            if (head.field("expected-instance") != m_id) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                                + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (m_refuseEvery > 0 && ++m_requests % m_refuseEvery == 0) {
                note("target: %s turns %s away", m_id.c_str(), attempt.c_str());
                connection.send(m_refusal);
                continue;
            }
            m_runs.add(Run{ attempt, m_id, now() });
            const double end = now() + m_workSeconds;
            if (surplusAt > 0 && surplusAt < end) {
                sleepUntil(surplusAt);
                sendSurplus(connection, surplusAt);
            }
            sleepUntil(end);
            if (m_server.isStopping()) {
                return;
            }
            const std::string text = "answer of " + m_id + " to " + attempt + "\n";
            if (!connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: "
                                 + m_id + "." + attempt + "\r\nServer-Load: 1,0,6\r\n"
                                 + (m_isLeaving ? "Server-Leaving: 1\r\n" : "") + "Content-Length: "
                                 + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
            if (m_surplusEvery > 0 && ++m_answers % m_surplusEvery == 0) {
                surplusAt = now() + m_surplusDelay;
            }
        }
    }
    void sendSurplus(Connection &connection, double &surplusAt)
    {
        note("target: %s sends surplus bytes", m_id.c_str());
        connection.send(m_surplus);
        ++m_surplusCount;
        surplusAt = 0;
    }

    Store &m_store;
    Runs &m_runs;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    double m_workSeconds;
    std::atomic<bool> m_isLeaving{ false };
    int m_sequence = 0;
    std::string m_refusal;
    int m_refuseEvery = 0;
    std::atomic<int> m_requests{ 0 };
    std::string m_surplus;
    int m_surplusEvery = 0;
    double m_surplusDelay = 0;
    std::atomic<int> m_answers{ 0 };
    std::atomic<int> m_surplusCount{ 0 };
    Server m_server;
};

/// The daemon, run by the command of deploy/system.toml.
class Gateway
{
public:
    struct Place
    {
        std::string name;
        std::string zone;
        std::string region;
        std::string ip;
    };

    Gateway(Place place, int firstPort, std::string storeAddress, std::string folder)
        : m_place(std::move(place))
        , m_firstPort(firstPort)
        , m_storeAddress(std::move(storeAddress))
        , m_folder(std::move(folder))
    {}
    ~Gateway() { kill(); }

    const Place &place() const { return m_place; }
    int frontPort() const { return m_firstPort + 1; }
    int readinessPort() const { return m_firstPort + 2; }

    /// Starts the process with the settings that deploy/gateway.yaml.in makes of a small
    /// deployment.
    void start(const std::map<std::string, std::string> &zones)
    {
        const std::string file = m_folder + "/" + m_place.name + ".yaml";
        std::ofstream settings(file);
        const auto endpoint = [this](int offset) {
            return "\"" + m_place.ip + ":" + std::to_string(m_firstPort + offset) + "\"\n";
        };
        settings << "instance: \"" << m_place.name << "\"\nfailureDomain: \"" << m_place.zone
                 << "\"\nregion: \"" << m_place.region << "\"\nfront: " << endpoint(1)
                 << "readiness: " << endpoint(2) << "lookup: " << endpoint(3)
                 << "rpc: " << endpoint(4) << "metrics: " << endpoint(5) << "store: \""
                 << m_storeAddress << "\"\nfailureDomains:\n";
        for (const auto &[zone, region] : zones) {
            settings << "  \"" << zone << "\": \"" << region << "\"\n";
        }
        settings << "firstStart: true\nbounds:\n  retryShare: 0.2\n  extraRetries: 58\n"
                    "  stopGraceSeconds: 6\n  lookupTtlSeconds: 5\n  drainSeconds: 2.5\n"
                    "log:\n  level: INFO\n";
        settings.close();
        const std::string log = m_folder + "/" + m_place.name + ".log";
        m_process = fork();
        if (m_process == 0) {
            // The daemon ends with the case, however the case ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("TARRAGONSTAGE_NODE_FILE", file.c_str(), 1);
            if (std::freopen(log.c_str(), "w", stdout) == nullptr
                || dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
                _exit(127);
            }
            execl("target/bin/tarragonstage", "target/bin/tarragonstage", "gateway",
                  static_cast<char *>(nullptr));
            _exit(127);
        }
    }
    void kill()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
            m_process = 0;
        }
    }
    /// Whether the process is still running.
    bool isRunning() { return m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == 0; }
    pid_t process() const { return m_process; }
    bool isReady() const
    {
        const std::unique_ptr<Connection> connection = connectTo(m_place.ip, readinessPort());
        Head head;
        return connection != nullptr
               && connection->send("GET /tarragonstage/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
               && connection->readHead(head, 1) && head.status() == 200;
    }
    std::string logText() const
    {
        std::ifstream file(m_folder + "/" + m_place.name + ".log");
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

private:
    Place m_place;
    int m_firstPort;
    std::string m_storeAddress;
    std::string m_folder;
    pid_t m_process = 0;
};

/// A request of a caller and how it ended.
struct Call
{
    std::string attempt;
    std::string entry;
    std::string path;
    double sentAt = 0;
    double endedAt = 0;
    /// Status of the answer; 0 if the connection ended without one, -1 if nothing came in time.
    int status = -1;
    bool hasSeal = false;
    std::string body;
};

/// A caller with a connection that it keeps open.
class Caller
{
public:
    Caller(const Gateway &gateway, std::string host)
        : m_gateway(gateway)
        , m_host(std::move(host))
    {}

    Call request(const std::string &method, const std::string &path, const std::string &attempt,
                 int deadlineMs, const std::string &body = "", const std::string &fields = "")
    {
        Call call;
        call.attempt = attempt;
        call.entry = m_gateway.place().name;
        call.path = path;
        if (m_connection == nullptr || m_connection->hasEnded() || m_connection->hasTimedOut()) {
            m_connection = connectTo(m_gateway.place().ip, m_gateway.frontPort());
        }
        call.sentAt = now();
        if (m_connection == nullptr) {
            call.status = 0;
            return call;
        }
        std::string text =
                method + " " + path + " HTTP/1.1\r\nHost: " + m_host + "\r\nAttempt-Id: " + attempt
                + "\r\nRequest-Deadline: " + std::to_string(deadlineMs) + "\r\n" + fields;
        if (method == "POST") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        m_connection->send(text + "\r\n" + body);
        Head head;
        if (m_connection->readHead(head, deadlineMs / 1000.0 + 1)
            && m_connection->readBody(call.body, head.contentLength(), 1)) {
            call.status = head.status();
            call.hasSeal = head.fields.contains("response-seal");
        } else {
            call.status = m_connection->hasEnded() ? 0 : -1;
        }
        call.endedAt = now();
        if (call.status <= 0 || head.field("connection") == "close") {
            m_connection.reset();
        }
        return call;
    }

private:
    const Gateway &m_gateway;
    std::string m_host;
    std::unique_ptr<Connection> m_connection;
};

/// Returns a port from which `count` ports are free on the address.
inline int freePorts(const std::string &ip, int count)
{
    std::srand(static_cast<unsigned int>(getpid()));
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 20000 + std::rand() % 10000;
        bool areFree = true;
        for (int i = 0; i < count && areFree; ++i) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            const sockaddr_in address = addressOf(ip, first + i);
            areFree = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            close(fd);
        }
        if (areFree) {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

/// Waits until the condition holds. Throws if it does not hold in time.
inline void waitFor(const char *what, double timeout, const std::function<bool()> &condition)
{
    const double end = now() + timeout;
    while (!condition()) {
        if (now() > end) {
            throw std::runtime_error(std::string("did not happen in time: ") + what);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

/// Runs a case. The first argument is the folder for record.txt, the second a temporary folder.
inline int runCase(int argc, char **argv,
                   const std::function<int(const std::string &temporaryFolder)> &run)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s FOLDER TEMPORARY-FOLDER\n", argv[0]);
        return CouldNotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    Record::instance().open(std::string(argv[1]) + "/record.txt");
    now();
    try {
        const int code = run(argv[2]);
        note("exit code %d: %s", code, code == RuleHeld ? "the rule held" : "the rule was broken");
        return code;
    } catch (const std::exception &error) {
        note("the case could not run: %s", error.what());
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
        return CouldNotRun;
    }
}

} // namespace Lab
