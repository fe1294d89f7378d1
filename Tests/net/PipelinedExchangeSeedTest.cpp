#include "Support/FirstSeed.h"
#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

constexpr std::size_t Connections = 3;
constexpr std::size_t Requests = 30;
constexpr std::uint64_t Seeds = 200;

/// A connection whose caller sends its requests in pieces.
struct Client
{
    std::unique_ptr<PromptCaller> caller;
    std::string unsent;
};

/// Returns the body of a response: the path of its request and a length that depends on the path.
std::string bodyFor(const std::string &path)
{
    static constexpr std::size_t MaxBodyBytes = 5'000;
    return "[" + path + "]" + std::string(std::hash<std::string>()(path) % MaxBodyBytes, '.');
}

/// A server and callers whose order of events is drawn from a seed.
class PipelinedExchangeSeedTest : public LoopTest
{
protected:
    PipelinedExchangeSeedTest()
        : m_server(m_loop, "127.0.0.1", 0, HttpServerLimits{},
                   [this](const HttpExchangePtr &it) { m_exchanges.push_back(it); })
    {}

    void open(std::size_t index)
    {
        m_clients[index].caller = std::make_unique<PromptCaller>(m_server.port());
        m_clients[index].unsent.clear();
        m_expected[index].clear();
        for (std::size_t i = 0; i < Requests; ++i) {
            const std::string path = "/" + std::to_string(m_serial++);
            m_expected[index].push_back(path);
            m_clients[index].unsent += (m_random() % 10 == 0 ? "DELETE " : "GET ") + path
                                       + " HTTP/1.1\r\nHost: a\r\n\r\n";
        }
    }
    void sendSome(Client &client)
    {
        const std::string piece = client.unsent.substr(0, 1 + m_random() % 200);
        client.unsent.erase(0, piece.size());
        client.caller->send(piece);
    }
    /// Takes the next step of a response to an exchange: all of it, its start, or its rest.
    void respondSome()
    {
        const std::size_t index = m_random() % m_exchanges.size();
        const HttpExchangePtr exchange = m_exchanges[index];
        const std::string body = bodyFor(exchange->path());
        if (m_started.erase(exchange) > 0) {
            exchange->send(body.substr(body.size() / 2));
            exchange->finish();
        } else if (m_random() % 2 == 0) {
            exchange->reply(200, {}, body);
        } else {
            HttpHeaders headers;
            headers.add("Content-Length", std::to_string(body.size()));
            exchange->startReply(200, headers);
            exchange->send(body.substr(0, body.size() / 2));
            m_started.insert(exchange);
            return;
        }
        m_exchanges.erase(m_exchanges.begin() + std::ptrdiff_t(index));
    }
    /// Removes the heads from what a caller received.
    static std::string bodiesIn(const std::string &received)
    {
        std::string bodies;
        std::size_t at = 0;
        while ((at = received.find("\r\n\r\n", at)) != std::string::npos) {
            at += 4;
            bodies += received.substr(at, received.find("HTTP/1.1 ", at) - at);
        }
        return bodies;
    }
    void checkReceived(std::size_t index, bool isWhole) const
    {
        std::string expected;
        for (const std::string &it : m_expected[index]) {
            expected += bodyFor(it);
        }
        const std::string bodies = bodiesIn(m_clients[index].caller->received());
        ASSERT_EQ(bodies, isWhole ? expected : expected.substr(0, bodies.size()));
    }
    void step()
    {
        const std::size_t index = m_random() % Connections;
        Client &client = m_clients[index];
        const unsigned int action = m_random() % 100;
        if (action < 40 && !client.unsent.empty()) {
            sendSome(client);
        } else if (action < 70 && !m_exchanges.empty()) {
            respondSome();
        } else if (action == 99) {
            checkReceived(index, false);
            open(index);
        } else {
            event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        }
        client.caller->receive();
    }
    /// Sends the rest of all requests and responds to them, then closes all connections.
    void complete()
    {
        const auto isComplete = [](const Client &it, const std::vector<std::string> &expected) {
            std::size_t bytes = 0;
            for (const std::string &path : expected) {
                bytes += bodyFor(path).size();
            }
            return bodiesIn(it.caller->received()).size() == bytes;
        };
        for (std::size_t i = 0; i < Connections; ++i) {
            const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
            runUntil([this, i, &isComplete] {
                while (!m_clients[i].unsent.empty()) {
                    sendSome(m_clients[i]);
                }
                while (!m_exchanges.empty()) {
                    respondSome();
                }
                m_clients[i].caller->receive();
                return isComplete(m_clients[i], m_expected[i]);
            });
            checkReceived(i, true);
            m_clients[i].caller.reset();
        }
        runUntil([this] { return m_server.connectionCount() == 0; });
        EXPECT_EQ(m_server.exchangesInProgress(), 0u);
    }

    std::mt19937_64 m_random;
    std::vector<HttpExchangePtr> m_exchanges;
    /// Exchanges whose response is half sent.
    std::set<HttpExchangePtr> m_started;
    std::size_t m_serial = 0;
    Client m_clients[Connections];
    /// The paths that each caller requests, in order.
    std::vector<std::string> m_expected[Connections];
    HttpServer m_server;
};

// Guards against responses that reach another request than their own, are lost, mixed or sent
// twice, for any order of completion, segmentation of the input and time of disconnects.
TEST_F(PipelinedExchangeSeedTest, EveryResponseBelongsToItsRequest)
{
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + Seeds && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        m_random.seed(seed);
        for (std::size_t i = 0; i < Connections; ++i) {
            open(i);
        }
        for (int i = 0; i < 400 && !HasFailure(); ++i) {
            step();
        }
        complete();
    }
}

} // namespace
} // namespace Tarragon
