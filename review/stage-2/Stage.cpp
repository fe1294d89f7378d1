#include "Stage.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Stage {

namespace {

const Clock::time_point StartTime = Clock::now();

sockaddr_in socketAddress(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

/// Returns a port that is free on the address at the moment.
int freePort(const std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = socketAddress(address, 0);
    socklen_t length = sizeof to;
    int port = 0;
    if (bind(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0
        && getsockname(fd, reinterpret_cast<sockaddr *>(&to), &length) == 0) {
        port = ntohs(to.sin_port);
    }
    ::close(fd);
    return port;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos) {
        return "";
    }
    std::istringstream pairs(target.substr(start + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        if (pair.rfind(name + "=", 0) == 0) {
            return pair.substr(name.size() + 1);
        }
    }
    return "";
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartTime).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &file)
    : m_file(file)
{}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << nowMs() << " " << text << "\n" << std::flush;
}

std::optional<std::string> Message::find(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

int Message::status() const
{
    return startLine.rfind("HTTP/1.", 0) == 0 && startLine.size() >= 12
                   ? std::atoi(startLine.c_str() + 9)
                   : 0;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

Socket::~Socket()
{
    close();
}

bool Socket::connect(const std::string &address, int port, int receiveBuffer, int segment)
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segment > 0) {
        setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    if (receiveBuffer > 0) {
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = socketAddress(address, port);
    return ::connect(m_fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
}

bool Socket::send(std::string_view data)
{
    while (!data.empty()) {
        const ssize_t n = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Socket::receive(int timeoutMs, std::size_t max)
{
    pollfd state{ m_fd, POLLIN, 0 };
    if (poll(&state, 1, timeoutMs) <= 0) {
        failure = -1;
        return false;
    }
    std::string block(max, '\0');
    const ssize_t n = recv(m_fd, block.data(), block.size(), 0);
    if (n <= 0) {
        failure = n == 0 ? 0 : errno;
        return false;
    }
    buffer.append(block, 0, static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Socket::readMessage(int timeoutMs, bool isResponse)
{
    const std::int64_t end = nowMs() + timeoutMs;
    const auto left = [end] { return static_cast<int>(std::max<std::int64_t>(0, end - nowMs())); };
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(left())) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head(buffer.substr(0, headEnd));
    buffer.erase(0, headEnd + 4);
    std::string line;
    std::getline(head, line);
    message.startLine = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        line = line.substr(0, line.find('\r'));
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t start = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         start == std::string::npos ? "" : line.substr(start));
        }
    }
    if (isResponse && message.status() < 200) {
        return readMessage(left(), isResponse);
    }
    if (message.value("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (!receive(left())) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::stoul(buffer.substr(0, lineEnd), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + size + 2) {
                if (!receive(left())) {
                    return std::nullopt;
                }
            }
            message.body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return message;
            }
        }
    }
    const std::optional<std::string> stated = message.find("Content-Length");
    const std::size_t length = stated.has_value() ? std::stoul(*stated) : 0;
    while (buffer.size() < length) {
        if (!receive(left())) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return message;
}

void Socket::close(bool withReset)
{
    if (m_fd < 0) {
        return;
    }
    if (withReset) {
        const linger reset{ 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    ::close(m_fd);
    m_fd = -1;
}

Listener::Listener(std::string address, int port, Serve serve)
    : m_serve(std::move(serve))
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in to = socketAddress(address, port);
    socklen_t length = sizeof to;
    if (bind(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0 || listen(m_fd, 1'024) != 0) {
        throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
    }
    getsockname(m_fd, reinterpret_cast<sockaddr *>(&to), &length);
    m_port = ntohs(to.sin_port);
    m_thread = std::thread([this] {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Socket socket(fd);
                m_serve(socket);
            }).detach();
        }
    });
    m_thread.detach();
}

Listener::~Listener()
{
    shutdown(m_fd, SHUT_RDWR);
}

Store::Store(std::string address, Record &record)
    : m_record(record)
{
    m_listener = std::make_unique<Listener>(std::move(address), 0,
                                            [this](Socket &socket) { serve(socket); });
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(kind, name, spec);
    m_record.line("store put " + kind + "/" + name);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    erase(kind, name);
    m_record.line("store remove " + kind + "/" + name);
}

std::string Store::text(const std::string &name, const Object &object) const
{
    return "{\"metadata\":{\"name\":\"" + name
           + "\",\"revision\":" + std::to_string(object.revision)
           + ",\"created_at\":1,\"finalizers\":[],\"delete_requested\":false},\"spec\":"
           + object.spec + ",\"status\":null}";
}

void Store::change(const std::string &kind, const std::string &name, const std::string &spec)
{
    Object &object = m_objects[kind][name];
    if (object.spec == spec) {
        return;
    }
    object.spec = spec;
    object.revision = ++m_revision;
    m_events.push_back(
            { m_revision, kind, "{\"deleted\":false,\"object\":" + text(name, object) + "}" });
    m_changed.notify_all();
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const auto it = m_objects[kind].find(name);
    if (it == m_objects[kind].end()) {
        return;
    }
    it->second.revision = ++m_revision;
    m_events.push_back(
            { m_revision, kind, "{\"deleted\":true,\"object\":" + text(name, it->second) + "}" });
    m_objects[kind].erase(it);
    m_changed.notify_all();
}

void Store::serve(Socket &socket)
{
    while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
        int status = 200;
        const std::string body = answer(*request, status);
        if (!socket.send(response(status, { { "Content-Type", "application/json" } }, body))) {
            return;
        }
    }
}

std::string Store::answer(const Message &request, int &status)
{
    static const std::string Prefix = "/tarragonstage/objects/";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(Prefix, 0) != 0) {
        status = 404;
        return "{}";
    }
    const std::string rest = path.substr(Prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    const std::string method = request.method();
    std::unique_lock<std::mutex> lock(m_mutex);
    if (method == "GET" && name.empty() && !queryValue(target, "watch").empty()) {
        const std::uint64_t after = std::stoull(queryValue(target, "watch"));
        const std::string wait = queryValue(target, "wait_ms");
        const auto matches = [&](const Event &it) {
            return it.kind == kind && it.revision > after;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                           [&] { return std::any_of(m_events.begin(), m_events.end(), matches); });
        std::string events;
        for (const Event &it : m_events) {
            if (matches(it)) {
                events += (events.empty() ? "" : ",") + it.text;
            }
        }
        return "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}";
    }
    std::map<std::string, Object> &objects = m_objects[kind];
    if (method == "GET" && name.empty()) {
        std::string items;
        for (const auto &[id, object] : objects) {
            items += (items.empty() ? "" : ",") + text(id, object);
        }
        return "{\"items\":[" + items
               + "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}";
    }
    const auto found = objects.find(name);
    if (method == "GET") {
        status = found == objects.end() ? 404 : 200;
        return found == objects.end() ? "{}" : text(name, found->second);
    }
    if (method == "DELETE") {
        const std::string revision = queryValue(target, "revision");
        if (found == objects.end()) {
            status = 404;
            return "{}";
        }
        if (!revision.empty() && std::stoull(revision) != found->second.revision) {
            status = 409;
            return text(name, found->second);
        }
        erase(kind, name);
        return "{}";
    }
    // The product writes {"metadata":{"name":NAME,...},"spec":SPEC} without spaces.
    static const std::string SpecKey = "\"spec\":";
    static const std::string NameKey = "\"name\":\"";
    static const std::string RevisionKey = "\"revision\":";
    const std::size_t specAt = request.body.find(SpecKey);
    const std::size_t nameAt = request.body.find(NameKey);
    if (specAt == std::string::npos || nameAt == std::string::npos) {
        status = 400;
        return "{}";
    }
    const std::string spec = request.body.substr(specAt + SpecKey.size(),
                                                 request.body.size() - specAt - SpecKey.size() - 1);
    const std::size_t nameStart = nameAt + NameKey.size();
    name = request.body.substr(nameStart, request.body.find('"', nameStart) - nameStart);
    const auto known = objects.find(name);
    if (method == "POST" && known != objects.end()) {
        status = 409;
        return text(name, known->second);
    }
    if (method == "PUT" && known == objects.end()) {
        status = 404;
        return "{}";
    }
    const std::size_t revisionAt = request.body.substr(0, specAt).find(RevisionKey);
    if (method == "PUT" && revisionAt != std::string::npos
        && std::stoull(request.body.substr(revisionAt + RevisionKey.size()))
                   != known->second.revision) {
        status = 409;
        return text(name, known->second);
    }
    change(kind, name, spec);
    return text(name, objects[name]);
}

std::string response(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[key, value] : headers) {
        text += key + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

std::string upstreamSpec(const std::string &service, const std::string &address,
                         const std::string &zone, int slots, const std::string &state)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
           + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state
           + "\",\"cold_remaining_s\":0,\"seq\":1,\"born\":1790000000000}";
}

std::string desiredState(int version, const std::vector<RouteSpec> &routes)
{
    std::ostringstream text;
    text << "{\"version\":\"r" << version
         << "\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\","
            "\"target_latency_s\",\"priority\",\"service\",\"max_attempts\",\"session_affinity\","
            "\"allowed_regions\",\"traffic_split\"],\"rows\":[";
    std::vector<std::string> services;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const RouteSpec &it = routes[i];
        text << (i > 0 ? "," : "") << "[\"" << it.name << "\",\"shop.example\",\"" << it.prefix
             << "\",\"" << it.kind << "\"," << it.timeoutSeconds << "," << it.goalSeconds << ",1,\""
             << it.service << "\",2,false,[],null]";
        if (std::find(services.begin(), services.end(), it.service) == services.end()) {
            services.push_back(it.service);
        }
    }
    text << "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\","
            "\"protocol\",\"tls\",\"cold_start_s\",\"cold_per_s\"],\"rows\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text << (i > 0 ? "," : "") << "[\"" << services[i]
             << "\",\"/health\",330,\"h1\",false,3.0,15.0]";
    }
    text << "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            "\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    return text.str();
}

Gateway::Gateway(const std::string &program, const std::string &folder, int number, int storePort,
                 const Machine &machine, Record &record)
    : m_program(program)
    , m_folder(folder)
    , m_address("127.0.1." + std::to_string(number))
    , m_record(record)
{
    for (int i = 0; i < 5; ++i) {
        m_ports.push_back(freePort(m_address));
    }
    m_settings = folder + "/gateway-" + std::to_string(number) + ".yaml";
    std::ofstream out(m_settings);
    // deploy/gateway.yaml.in as the platform fills it in, with the bounds of kinisi-stands.
    out << "instance: \"edge-" << number << "\"\n"
        << "failureDomain: \"thess-a\"\nregion: \"gr-north\"\n";
    static const char *const Names[] = { "front", "readiness", "lookup", "rpc", "metrics" };
    for (std::size_t i = 0; i < m_ports.size(); ++i) {
        out << Names[i] << ": \"" << m_address << ":" << m_ports[i] << "\"\n";
    }
    out << "store: \"127.0.0.1:" << storePort << "\"\n"
        << "failureDomains:\n  \"thess-a\": \"gr-north\"\n  \"athens-a\": \"gr-attica\"\n"
        << "bounds:\n  retryShare: 0.2\n  extraRetries: 58\n  stopGraceSeconds: 6\n"
        << "  lookupTtlSeconds: 5\n  drainSeconds: 2.5\n"
        << "memoryMegabytes: " << machine.memoryMegabytes << "\nmaxDescriptors: 4100\n"
        << "capacityCores: \"" << machine.cores << "\"\nlinkMegabits: \"" << machine.linkMegabits
        << "\"\nlog:\n  level: INFO\n";
}

Gateway::~Gateway()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Gateway::start()
{
    const std::string log = m_settings + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        // The process must not outlive a stage that is stopped.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        setenv("TARRAGONSTAGE_NODE_FILE", m_settings.c_str(), 1);
        execl(m_program.c_str(), m_program.c_str(), "gateway", nullptr);
        _exit(127);
    }
    m_record.line("gateway " + m_address + " started, pid " + std::to_string(m_pid));
}

void Gateway::signal(int number)
{
    m_record.line("gateway " + m_address + " gets signal " + std::to_string(number));
    kill(m_pid, number);
}

std::optional<int> Gateway::wait(int timeoutMs)
{
    for (const std::int64_t end = nowMs() + timeoutMs; nowMs() <= end; sleepMs(20)) {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_record.line("gateway " + m_address + " ended, wait status " + std::to_string(status));
            return status;
        }
    }
    return std::nullopt;
}

bool Gateway::waitReady(int timeoutMs)
{
    for (const std::int64_t end = nowMs() + timeoutMs; nowMs() <= end; sleepMs(50)) {
        Socket socket;
        if (socket.connect(m_address, m_ports[1])
            && socket.send("GET /tarragonstage/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const std::optional<Message> answer = socket.readMessage(1'000, true);
            if (answer.has_value() && answer->status() == 200) {
                m_record.line("gateway " + m_address + " is ready");
                return true;
            }
        }
    }
    return false;
}

long Gateway::memoryKiB(const std::string &key) const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind(key + ":", 0) == 0) {
            return std::atol(line.c_str() + key.size() + 1);
        }
    }
    return 0;
}

} // namespace Stage
