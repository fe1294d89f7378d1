#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

/// Longest time that a test waits for an event.
constexpr seconds Limit{ 10 };

class HttpRoundTrip : public testing::Test
{
protected:
    void run()
    {
        const Timer limit = loop.schedule(Limit, [this] {
            ADD_FAILURE() << "the expected event did not come";
            loop.stop();
        });
        loop.run();
    }

    HttpRequest request(const HttpServer &server)
    {
        HttpRequest result;
        result.address = "127.0.0.1";
        result.port = server.port();
        return result;
    }

    EventLoop loop;
    HttpClient client{ loop };
};

// Guards against a response that loses its status, a header or a part of its body.
TEST_F(HttpRoundTrip, WholeReplyArrives)
{
    HttpServer server(loop, "127.0.0.1", 0, {}, [](const HttpExchangePtr &exchange) {
        HttpHeaders headers;
        headers.add("Seen", exchange->method() + " " + exchange->path() + " "
                                    + exchange->query("caller") + " " + exchange->body());
        exchange->reply(201, headers, "made");
    });
    HttpRequest post = request(server);
    post.method = "POST";
    post.uri = "/a?caller=%3A%3A1&x";
    post.body = "input";
    HttpResponse response;
    const HttpCallPtr call = client.fetch(
            post, ByteCount{ 100 },
            [this, &response](const HttpResponse &value) {
                response = value;
                loop.stop();
            },
            [this](const HttpFailure &failure) {
                ADD_FAILURE() << failure.reason;
                loop.stop();
            });
    run();
    EXPECT_EQ(response.head.status, 201);
    EXPECT_EQ(response.head.headers.find("seen"), "POST /a ::1 input");
    EXPECT_EQ(response.body, "made");
    EXPECT_EQ(server.exchangesInProgress(), 0u);
}

// Guards against parts of a streamed body being lost or joined wrongly.
TEST_F(HttpRoundTrip, StreamedReplyArrivesInOrder)
{
    HttpExchangePtr held;
    HttpServer server(loop, "127.0.0.1", 0, {}, [&held](const HttpExchangePtr &exchange) {
        held = exchange;
        exchange->startReply(200, {});
        exchange->send("one,");
        exchange->drained().connect([&held] {
            held->send("two");
            held->finish();
        });
    });
    std::string body;
    const HttpCallPtr call = client.fetch(
            request(server), ByteCount{ 100 },
            [this, &body](const HttpResponse &value) {
                body = value.body;
                loop.stop();
            },
            [this](const HttpFailure &failure) {
                ADD_FAILURE() << failure.reason;
                loop.stop();
            });
    run();
    EXPECT_EQ(body, "one,two");
}

} // namespace
} // namespace Tarragon
