#include "Support/LoopTest.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

class HttpRoundTrip : public LoopTest
{
protected:
    HttpRequest request(const HttpServer &server)
    {
        HttpRequest result;
        result.address = "127.0.0.1";
        result.port = server.port();
        return result;
    }

    void fetch(const HttpRequest &request)
    {
        m_call = m_client.fetch(
                request, ByteCount{ 100 },
                [this](const HttpResponse &value) { m_response = value; },
                [this](const HttpFailure &failure) { m_failure = failure; });
        runUntil([this] { return m_response.has_value() || m_failure.has_value(); });
        ASSERT_TRUE(m_response.has_value()) << m_failure->reason;
    }

    HttpClient m_client{ m_loop };
    HttpCallPtr m_call;
    std::optional<HttpResponse> m_response;
    std::optional<HttpFailure> m_failure;
};

// Guards against loss of a response's status, a header or a part of its body.
TEST_F(HttpRoundTrip, CompleteResponseArrives)
{
    HttpServer server(m_loop, "127.0.0.1", 0, {}, [](const HttpExchangePtr &exchange) {
        HttpHeaders headers;
        headers.add("Seen", exchange->method() + " " + exchange->path() + " "
                                    + exchange->query("caller") + " "
                                    + std::string(exchange->body()));
        exchange->reply(201, headers, "made");
    });
    HttpRequest post = request(server);
    post.method = "POST";
    post.uri = "/a?caller=%3A%3A1&x";
    post.body = "input";
    fetch(post);
    EXPECT_EQ(m_response->head.status, 201);
    EXPECT_EQ(m_response->head.headers.find("seen"), "POST /a ::1 input");
    EXPECT_EQ(m_response->body, "made");
    EXPECT_EQ(server.exchangesInProgress(), 0u);
}

// Guards against parts of a streamed body being lost or reordered.
TEST_F(HttpRoundTrip, StreamedResponseArrivesInOrder)
{
    HttpExchangePtr held;
    HttpServer server(m_loop, "127.0.0.1", 0, {}, [&held](const HttpExchangePtr &exchange) {
        held = exchange;
        exchange->startReply(200, {});
        exchange->send("one,");
        exchange->drained().connect([&held] {
            held->send("two");
            held->finish();
        });
    });
    fetch(request(server));
    EXPECT_EQ(m_response->body, "one,two");
}

} // namespace
} // namespace Tarragon
