// Measures the time for which a change of the idle limit holds up the loop of a server with many
// idle connections. The clients are a child process.

#include "net/EventLoop.h"
#include "net/HttpServer.h"
#include "net/MemoryBudget.h"

#include <benchmark/benchmark.h>
#include <event2/event.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Tarragon {
namespace {

constexpr std::size_t MemoryBytes = 1'000'000'000;
constexpr std::size_t MaxConnections = 20'000;

/// A child process that keeps connections open and sends nothing.
class IdleClients
{
public:
    IdleClients(std::uint16_t port, std::size_t count)
        : m_pid(fork())
    {
        if (m_pid == 0) {
            holdConnections(port, count);
        }
    }
    ~IdleClients()
    {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    IdleClients(const IdleClients &) = delete;
    IdleClients &operator=(const IdleClients &) = delete;

private:
    [[noreturn]] static void holdConnections(std::uint16_t port, std::size_t count)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (std::size_t i = 0; i < count; ++i) {
            const int fd = socket(AF_INET, SOCK_STREAM, 0);
            if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
                std::perror("connect");
                std::_Exit(1);
            }
        }
        while (true) {
            pause();
        }
    }

    pid_t m_pid;
};

void changeIdleLimit(benchmark::State &state)
{
    const std::size_t count = std::size_t(state.range(0));
    MemoryBudget::ofProcess().setLimits(MemoryBytes, MaxConnections);
    EventLoop loop;
    HttpServerLimits limits;
    HttpServer server(loop, "127.0.0.1", 0, limits,
                      [](const HttpExchangePtr &exchange) { exchange->reply(200, {}, ""); });
    const IdleClients clients(server.port(), count);
    while (server.connectionCount() < count) {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    for (auto unused : state) {
        limits.idleTimeout = seconds(limits.idleTimeout == seconds(600) ? 60 : 600);
        server.setLimits(limits);
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
}

BENCHMARK(changeIdleLimit)
        ->ArgName("connections")
        ->Arg(100)
        ->Arg(10'000)
        ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
