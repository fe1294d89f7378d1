#pragma once

// Stand-ins for the cases of the second review: the platform's store, upstreams and clients, as
// threads of one process on loopback addresses. They use only the C++ library and sockets.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Stage {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the time since the start of the process in milliseconds.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// The record of a case: one line per event, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Head and body of a request or a response.
struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;

    std::optional<std::string> find(std::string_view name) const;
    std::string value(std::string_view name) const { return find(name).value_or(""); }
    /// Status of a response; 0 if it is malformed.
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// A TCP connection with blocking calls.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {}
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// Connects. `receiveBuffer` is the size of the receive buffer and `segment` the maximum
    /// segment size, as on a network link; 0 leaves the system's defaults for loopback.
    bool connect(const std::string &address, int port, int receiveBuffer = 0, int segment = 0);
    bool send(std::string_view data);
    /// Reads until the buffer has at least one more byte. Returns false at the end or after the
    /// timeout.
    bool receive(int timeoutMs, std::size_t max = 65'536);
    /// Reads a message. Returns nothing if the connection ends or times out before it is complete.
    std::optional<Message> readMessage(int timeoutMs, bool isResponse);
    /// Closes the connection; with a reset if asked.
    void close(bool withReset = false);
    int fd() const { return m_fd; }
    /// Bytes received and not used by readMessage().
    std::string buffer;
    /// Why the last receive() failed: the errno, 0 at the end of the stream, -1 after a timeout.
    int failure = 0;

private:
    int m_fd;
};

/// Listens on an address and serves each connection in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Socket &)>;
    /// Port 0 takes a free port.
    Listener(std::string address, int port, Serve serve);
    ~Listener();
    int port() const { return m_port; }

private:
    int m_fd = -1;
    int m_port = 0;
    Serve m_serve;
    std::thread m_thread;
};

/// The platform's store: lists, watches and conditional writes of objects.
class Store
{
public:
    Store(std::string address, Record &record);
    int port() const { return m_listener->port(); }
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    void serve(Socket &socket);
    std::string answer(const Message &request, int &status);
    std::string text(const std::string &name, const Object &object) const;
    void change(const std::string &kind, const std::string &name, const std::string &spec);
    void erase(const std::string &kind, const std::string &name);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    std::unique_ptr<Listener> m_listener;
};

/// Returns a response with a length.
std::string response(int status, const Headers &headers, std::string_view body);

/// Returns the registration of an upstream.
std::string upstreamSpec(const std::string &service, const std::string &address,
                         const std::string &zone, int slots, const std::string &state = "ready");

/// A route of the desired state.
struct RouteSpec
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeoutSeconds = 5;
    double goalSeconds = 1;
};

/// Returns a desired state with the host "shop.example".
std::string desiredState(int version, const std::vector<RouteSpec> &routes);

/// Limits of a machine, as in the settings that the platform fills in.
struct Machine
{
    int memoryMegabytes = 260;
    const char *cores = "0.2";
    const char *linkMegabits = "1000";
};

/// The product as the deploy file starts it: `target/bin/tarragonstage gateway`.
class Gateway
{
public:
    /// `number` selects the loopback address, 127.0.1.number.
    Gateway(const std::string &program, const std::string &folder, int number, int storePort,
            const Machine &machine, Record &record);
    ~Gateway();
    void start();
    void signal(int number);
    /// Waits for the end of the process. Returns its wait status, or nothing after the timeout.
    std::optional<int> wait(int timeoutMs);
    /// Waits until the process says that it is ready.
    bool waitReady(int timeoutMs);
    const std::string &address() const { return m_address; }
    int frontPort() const { return m_ports[0]; }
    pid_t pid() const { return m_pid; }
    /// Returns a figure of /proc/PID/status in KiB, such as "VmRSS".
    long memoryKiB(const std::string &key) const;

private:
    std::string m_program;
    std::string m_folder;
    std::string m_address;
    std::string m_settings;
    std::vector<int> m_ports;
    pid_t m_pid = -1;
    Record &m_record;
};

} // namespace Stage
