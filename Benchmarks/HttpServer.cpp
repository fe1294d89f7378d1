#include "net/HttpServer.h"
#include "net/EventLoop.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

// Compares HttpServer with a plain evhttp server. Both send the same response over persistent
// connections, in alternating rounds of one run; the result is the number of requests per second of
// the server's processor time. The client is a child process, so that its processor time is not
// included. Exits with 1 if the median ratio is below RatioBound.

namespace Tarragon {
namespace {

constexpr int Connections = 32;
constexpr int RequestsPerRound = 60'000;
constexpr int Rounds = 9;
/// Length of a lookup response with four entries.
constexpr std::size_t BodyBytes = 420;
/// Minimum median ratio of HttpServer's requests per second to those of evhttp (the stated target).
constexpr double RatioBound = 0.8;

constexpr std::string_view Request =
        "GET /v1/lookup?service=catalog&caller=10.12.13.14 HTTP/1.1\r\n"
        "Host: 127.0.0.1:8080\r\nUser-Agent: benchmark\r\nAccept: application/json\r\n\r\n";

const std::string &body()
{
    static const std::string text(BodyBytes, 'x');
    return text;
}

void require(bool condition, const char *what)
{
    if (!condition) {
        std::perror(what);
        std::exit(1);
    }
}

/// Message that makes the child run one round. The child replies with the number of completed
/// requests.
struct RoundOrder
{
    std::uint16_t port = 0;
    int requests = 0;
};

std::vector<pollfd> connectAll(std::uint16_t port)
{
    std::vector<pollfd> result;
    for (int i = 0; i < Connections; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        require(connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0,
                "connect");
        result.push_back({ fd, POLLIN, 0 });
    }
    return result;
}

/// Keeps one request in progress on each connection until all responses have arrived.
void runRequests(std::vector<pollfd> &sockets, int requests)
{
    int started = 0;
    int answered = 0;
    std::vector<std::string> inputs(sockets.size());
    const auto start = [&started, requests](int fd) {
        if (started < requests) {
            ++started;
            require(write(fd, Request.data(), Request.size()) == ssize_t(Request.size()), "write");
        }
    };
    for (const pollfd &socket : sockets) {
        start(socket.fd);
    }
    std::array<char, 16'384> buf{};
    while (answered < requests) {
        require(poll(sockets.data(), sockets.size(), -1) > 0, "poll");
        for (std::size_t i = 0; i < sockets.size(); ++i) {
            if (sockets[i].revents == 0) {
                continue;
            }
            const ssize_t n = read(sockets[i].fd, buf.data(), buf.size());
            require(n > 0, "read");
            std::string &input = inputs[i];
            input.append(buf.data(), std::size_t(n));
            const std::size_t head = input.find("\r\n\r\n");
            if (head != std::string::npos && input.size() >= head + 4 + BodyBytes) {
                require(input.starts_with("HTTP/1.1 200 ") && input.size() == head + 4 + BodyBytes,
                        "unexpected response");
                input.clear();
                ++answered;
                start(sockets[i].fd);
            }
        }
    }
}

/// Runs in the child: executes one round for each message from the pipe, until the pipe is closed.
void runClient(int orders, int results)
{
    std::vector<std::pair<std::uint16_t, std::vector<pollfd>>> servers;
    RoundOrder order;
    while (read(orders, &order, sizeof order) == ssize_t(sizeof order)) {
        auto it = std::find_if(servers.begin(), servers.end(),
                               [&order](const auto &server) { return server.first == order.port; });
        if (it == servers.end()) {
            servers.emplace_back(order.port, connectAll(order.port));
            it = std::prev(servers.end());
        }
        runRequests(it->second, order.requests);
        require(write(results, &order.requests, sizeof order.requests) > 0, "write");
    }
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &tv) {
        return double(tv.tv_sec) + double(tv.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void onBareRequest(evhttp_request *request, void *)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body().data(), body().size());
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Runs both servers and controls the child through two pipes.
class Comparison
{
public:
    Comparison(int orders, int results)
        : m_orders(orders)
        , m_results(results)
        , m_server(m_loop, "127.0.0.1", 0, {},
                   [](const HttpExchangePtr &exchange) {
                       HttpHeaders headers;
                       headers.add("Content-Type", "application/json");
                       exchange->reply(HTTP_OK, headers, body());
                   })
        , m_bare(evhttp_new(m_loop.base()))
    {
        evhttp_set_gencb(m_bare, onBareRequest, nullptr);
        evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(m_bare, "127.0.0.1", 0);
        require(bound != nullptr, "bind");
        sockaddr_in address{};
        socklen_t length = sizeof address;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address),
                    &length);
        m_barePort = ntohs(address.sin_port);
    }
    ~Comparison() { evhttp_free(m_bare); }
    Comparison(const Comparison &) = delete;
    Comparison &operator=(const Comparison &) = delete;

    nlohmann::json run()
    {
        rate(m_server.port());
        rate(m_barePort);
        std::vector<double> own;
        std::vector<double> bare;
        std::vector<double> ratios;
        for (int i = 0; i < Rounds; ++i) {
            // Each pair of rounds swaps the order of the servers, so that a change of the machine's
            // speed during the run favours neither.
            if (i % 2 == 0) {
                own.push_back(rate(m_server.port()));
                bare.push_back(rate(m_barePort));
            } else {
                bare.push_back(rate(m_barePort));
                own.push_back(rate(m_server.port()));
            }
            ratios.push_back(own.back() / bare.back());
        }
        const double ratio = median(ratios);
        return { { "benchmark", "HttpServer" },
                 { "unit", "requests per second of the server's processor time" },
                 { "connections", Connections },
                 { "requestsPerRound", RequestsPerRound },
                 { "bodyBytes", BodyBytes },
                 { "httpServer", own },
                 { "bareEvhttp", bare },
                 { "ratios", ratios },
                 { "medianHttpServer", median(own) },
                 { "medianBareEvhttp", median(bare) },
                 { "medianRatio", ratio },
                 { "ratioBound", RatioBound },
                 { "withinBound", ratio >= RatioBound } };
    }

private:
    static void onResult(evutil_socket_t fd, short, void *arg)
    {
        int answered = 0;
        require(read(fd, &answered, sizeof answered) == ssize_t(sizeof answered), "read");
        static_cast<EventLoop *>(arg)->stop();
    }

    /// Runs one round against the port and returns the requests per second of processor time.
    double rate(std::uint16_t port)
    {
        const RoundOrder order{ port, RequestsPerRound };
        event *result = event_new(m_loop.base(), m_results, EV_READ, onResult, &m_loop);
        event_add(result, nullptr);
        const double before = processorSeconds();
        require(write(m_orders, &order, sizeof order) == ssize_t(sizeof order), "write");
        m_loop.run();
        const double used = processorSeconds() - before;
        event_free(result);
        return RequestsPerRound / used;
    }

    int m_orders;
    int m_results;
    EventLoop m_loop;
    HttpServer m_server;
    evhttp *m_bare;
    std::uint16_t m_barePort = 0;
};

int runBenchmark()
{
    std::array<int, 2> orders{};
    std::array<int, 2> results{};
    require(pipe(orders.data()) == 0 && pipe(results.data()) == 0, "pipe");
    const pid_t child = fork();
    require(child >= 0, "fork");
    if (child == 0) {
        close(orders[1]);
        close(results[0]);
        runClient(orders[0], results[1]);
        std::_Exit(0);
    }
    close(orders[0]);
    close(results[1]);
    const nlohmann::json json = Comparison(orders[1], results[0]).run();
    close(orders[1]);
    waitpid(child, nullptr, 0);
    std::cout << json.dump(2) << "\n";
    return json.at("withinBound").get<bool>() ? 0 : 1;
}

} // namespace
} // namespace Tarragon

int main()
{
    return Tarragon::runBenchmark();
}
