#include "GatewayFixture.h"

#include <gmock/gmock.h>

#include <set>

namespace Tarragon {
namespace {

using testing::HasSubstr;

class RoutedRequestTest : public GatewayTest
{};

// Guards against requests and responses that are changed while being forwarded.
TEST_F(RoutedRequestTest, ForwardsRequestAndResponseUnchanged)
{
    adoptTable();
    addTarget("t1",
              answering(answer(201, sealed() + "X-Own: 1\r\nKeep-Alive: timeout=9\r\n", "body")));
    HttpRequest request = callerRequest("POST", "/pay/x%2Fy?a=b%20c", "a1");
    request.body = "seat=4";
    request.headers.set("X-Caller", "yes");
    const CallerResult result = send(request);
    EXPECT_EQ(result.status(), 201);
    EXPECT_EQ(result.response->body, "body");
    EXPECT_EQ(result.header("Response-Seal"), "s");
    EXPECT_EQ(result.header("X-Own"), "1");
    EXPECT_EQ(result.header("Keep-Alive"), "");
    ASSERT_EQ(m_arrivals.size(), 1u);
    const std::string &arrived = m_arrivals[0].second;
    EXPECT_THAT(arrived, testing::StartsWith("POST /pay/x%2Fy?a=b%20c HTTP/1.1\r\n"));
    EXPECT_THAT(arrived, HasSubstr("Attempt-Id: a1\r\n"));
    EXPECT_THAT(arrived, HasSubstr("Host: stand.example\r\n"));
    EXPECT_THAT(arrived, HasSubstr("X-Caller: yes\r\n"));
    EXPECT_THAT(arrived, HasSubstr("Expected-Instance: t1\r\n"));
    EXPECT_THAT(arrived, testing::EndsWith("\r\n\r\nseat=4"));
}

// Guards against targets that work on a request for longer than the caller waits.
TEST_F(RoutedRequestTest, TargetsGetNoMoreTimeThanIsLeft)
{
    adoptTable();
    addTarget("t1", answering(answer(200, sealed(), "")));
    get("/read/1");
    ASSERT_EQ(m_arrivals.size(), 1u);
    const std::string &arrived = m_arrivals[0].second;
    const std::size_t at = arrived.find("Request-Deadline: ");
    ASSERT_NE(at, std::string::npos);
    const int left = std::stoi(arrived.substr(at + 18));
    EXPECT_LE(left, 800);
    EXPECT_GT(left, 0);
}

// Guards against a 404 from an entry that has no route table yet.
TEST_F(RoutedRequestTest, WithoutATableRequestsAreRefusedAsNotRun)
{
    const CallerResult unknown = get("/read/1");
    EXPECT_EQ(unknown.status(), 503);
    EXPECT_NE(unknown.header("Retry-After"), "");
    adoptTable();
    EXPECT_EQ(get("/nothing/1").status(), 404);
}

// Guards against requests that are cut off without an answer at the end of a planned stop, because
// they were taken when the rest of the grace was too short for them.
TEST_F(RoutedRequestTest, StoppingEntryRefusesRequestsThatItMayNotFinish)
{
    adoptTable();
    addTarget("t1", answering(answer(200, sealed(), "")));
    m_state->setStopTime(m_loop.now() + milliseconds(500));
    for (const char *method : { "GET", "POST" }) {
        const CallerResult refused = send(callerRequest(method, "/pay/1", "a1"));
        EXPECT_EQ(refused.status(), 503);
        EXPECT_NE(refused.header("Retry-After"), "");
    }
    EXPECT_EQ(m_arrivals.size(), 0u);
    HttpRequest shorter = callerRequest("POST", "/pay/1", "a1");
    shorter.headers.set("Request-Deadline", "100");
    EXPECT_EQ(send(shorter).status(), 200);
}

// Guards against a payment that is executed twice: a request that may have been executed is neither
// sent again nor reported as not run.
TEST_F(RoutedRequestTest, UnsafeRequestsAreNotRepeatedWhenTheyMayHaveRun)
{
    const std::vector<Script> scripts = {
        resetting(""),
        answeringAndClosing("HTTP/1.1 200 OK\r\nContent-Le"),
        answeringAndClosing("HTTP/1.1 200 OK\r\n" + sealed() + "Content-Length: 9\r\n\r\nhalf"),
        answering("no answer at all\r\n\r\n"),
        answering(answer(200, "Attempt-Id: a1\r\n", "without a seal")),
        answering(answer(200, sealed("other"), "of another request")),
        answering(answer(503, "Attempt-Id: a1\r\n", "unsealed refusal")),
    };
    adoptTable();
    for (std::size_t i = 0; i < scripts.size(); ++i) {
        m_arrivals.clear();
        m_listeners.clear();
        for (const char *id : { "t1", "t2", "t3" }) {
            m_state->registry().remove(TargetId(id), m_loop.now());
            addTarget(id, scripts[i]);
        }
        const CallerResult result = post("/pay/1");
        EXPECT_EQ(result.status(), 502) << i;
        EXPECT_EQ(m_arrivals.size(), 1u) << i;
    }
}

// Guards against a truncated response that looks complete, and against the failure of a read that
// another target can serve.
TEST_F(RoutedRequestTest, BrokenAnswersToReadsAreReplaced)
{
    const std::vector<Script> scripts = {
        resetting(""),
        answeringAndClosing("HTTP/1.1 200 OK\r\n" + sealed() + "Content-Length: 9\r\n\r\nhalf"),
        resetting("HTTP/1.1 200 OK\r\n" + sealed() + "\r\nunframed"),
        answering(answer(200, "Attempt-Id: a1\r\n", "without a seal")),
        answering(answer(200, sealed("other"), "of another request")),
        answering(answer(500, sealed(), "failed")),
        answering(answer(503, "Not-Executed: 1\r\n", "")),
        answering(answer(421, "Instance-Id: t9\r\n", "")),
    };
    adoptTable();
    for (std::size_t i = 0; i < scripts.size(); ++i) {
        m_arrivals.clear();
        m_listeners.clear();
        for (const char *id : { "t1", "t2" }) {
            m_state->registry().remove(TargetId(id), m_loop.now());
        }
        const std::shared_ptr<int> count = std::make_shared<int>(0);
        const Script script = [&scripts, i, count](RawSocket &socket, const std::string &request) {
            if (++*count == 1) {
                scripts[i](socket, request);
            } else {
                socket.send(answer(200, sealed(), "whole"));
            }
        };
        addTarget("t1", script);
        addTarget("t2", script);
        const CallerResult result = get("/read/1");
        EXPECT_EQ(result.status(), 200) << i;
        EXPECT_EQ(result.response.has_value() ? result.response->body : "", "whole") << i;
        ASSERT_EQ(m_arrivals.size(), 2u) << i;
        EXPECT_NE(m_arrivals[0].first, m_arrivals[1].first) << i;
    }
}

// Guards against a body without Content-Length that is considered truncated although its connection
// was closed regularly.
TEST_F(RoutedRequestTest, BodyWithoutLengthEndsWithItsConnection)
{
    adoptTable();
    addTarget("t1", answeringAndClosing("HTTP/1.1 200 OK\r\n" + sealed() + "\r\nunframed"));
    const CallerResult result = get("/read/1");
    EXPECT_EQ(result.status(), 200);
    EXPECT_EQ(result.response->body, "unframed");
}

// Guards against hiding or replacing the failure response of a target when no other target
// succeeds.
TEST_F(RoutedRequestTest, TargetsOwnFailureIsPassedOn)
{
    adoptTable();
    addTarget("t1", answering(answer(500, sealed(), "own failure")));
    addTarget("t2", answering(answer(500, sealed(), "own failure")));
    for (const char *uri : { "/read/1", "/pay/1" }) {
        const CallerResult result = std::string(uri) == "/pay/1" ? post(uri) : get(uri);
        EXPECT_EQ(result.status(), 500);
        EXPECT_EQ(result.header("Response-Seal"), "s");
        EXPECT_EQ(result.response->body, "own failure");
    }
}

// Guards against refusals that are wrong or have no Retry-After.
TEST_F(RoutedRequestTest, DeclinedPaymentIsTriedElsewhereAndThenRefused)
{
    adoptTable();
    addTarget("t1", answering(answer(503, "Not-Executed: 1\r\n", "")));
    addTarget("t2", answering(answer(503, "Not-Executed: 1\r\n", "")));
    const CallerResult result = post("/pay/1");
    EXPECT_EQ(result.status(), 503);
    EXPECT_NE(result.header("Retry-After"), "");
    EXPECT_EQ(m_arrivals.size(), 2u);
    EXPECT_EQ(result.header("Response-Seal"), "");
}

// Guards against more attempts than the route allows.
TEST_F(RoutedRequestTest, MaxAttemptsIsEnforced)
{
    adoptTable();
    for (const char *id : { "t1", "t2", "t3", "t4" }) {
        addTarget(id, answering(answer(503, "Not-Executed: 1\r\n", "")));
    }
    EXPECT_EQ(get("/read/1").status(), 503);
    EXPECT_EQ(m_arrivals.size(), 2u);
}

// Guards against retries that multiply the load of a service that declines everything: they stay
// within the budget of 0.6 of a fifth, and the minimum number of this fixture.
TEST_F(RoutedRequestTest, RetriesStayWithinTheBudget)
{
    adoptTable();
    for (const char *id : { "t1", "t2" }) {
        addTarget(id, answering(answer(503, "Not-Executed: 1\r\n", "")));
    }
    constexpr std::size_t Requests = 300;
    for (std::size_t i = 0; i < Requests; ++i) {
        get("/read/1");
    }
    EXPECT_LE(m_arrivals.size(), Requests + Requests / 5 + 50);
}

// Guards against a failed connection that is counted as an execution.
TEST_F(RoutedRequestTest, UnreachableTargetIsReplacedAlsoForPayments)
{
    adoptTable();
    std::uint16_t closedPort = 0;
    {
        const RawListener closed(m_loop);
        closedPort = closed.port();
    }
    addTargetAt("t1", closedPort);
    EXPECT_EQ(post("/pay/1").status(), 503);
    addTarget("t2", answering(answer(200, sealed(), "paid")));
    EXPECT_EQ(post("/pay/1").status(), 200);
}

// Guards against a caller that waits beyond its route's timeout, and against a timeout response
// with a wrong verdict.
TEST_F(RoutedRequestTest, UnresponsiveTargetEndsAtTheDeadline)
{
    adoptTable();
    addTarget("t1", [](RawSocket &, const std::string &) {});
    HttpRequest request = callerRequest("POST", "/pay/1", "a1");
    request.headers.set("Request-Deadline", "120");
    const MonotonicTime sent = m_loop.now();
    const CallerResult result = send(request);
    EXPECT_EQ(result.status(), 504);
    EXPECT_GE(m_loop.now() - sent, milliseconds(110));
}

// Guards against work for a caller whose deadline has passed, for example while this process was
// suspended: the request is refused immediately and reaches no target.
TEST_F(RoutedRequestTest, ExpiredRequestReachesNoTarget)
{
    adoptTable();
    addTarget("t1", answering(answer(200, sealed(), "late")));
    for (const char *left : { "0", "-4000" }) {
        HttpRequest request = callerRequest("POST", "/pay/1", "a1");
        request.headers.set("Request-Deadline", left);
        EXPECT_EQ(send(request).status(), 503);
    }
    EXPECT_TRUE(m_arrivals.empty());
}

// Guards against work that continues for a caller who has disconnected.
TEST_F(RoutedRequestTest, DisconnectedCallerCancelsItsRequest)
{
    adoptTable();
    RawListener &listener = addTarget("t1", [](RawSocket &, const std::string &) {});
    {
        const HttpCallPtr call = m_client.fetch(
                callerRequest("GET", "/read/1", "a1"), ByteCount{ 1'000 },
                [](const HttpResponse &) {}, [](const HttpFailure &) {});
        runUntil([this] { return m_arrivals.size() == 1; });
    }
    runUntil([&listener] { return listener.sockets()[0]->isPeerClosed(); });
}

// Guards against extra bytes after a response that reach a later request.
TEST_F(RoutedRequestTest, SecondResponseIsDiscarded)
{
    adoptTable();
    int count = 0;
    addTarget("t1", [&count](RawSocket &socket, const std::string &) {
        const std::string body = "body " + std::to_string(++count);
        socket.send(answer(200, sealed(), body) + answer(200, sealed(), "extra"));
    });
    EXPECT_EQ(get("/read/1").response->body, "body 1");
    EXPECT_EQ(get("/read/1").response->body, "body 2");
}

// Guards against large responses that are buffered completely or truncated.
TEST_F(RoutedRequestTest, LargeAnswersAreStreamed)
{
    adoptTable();
    const std::string body(3'000'000, 'x');
    addTarget("t1", answering(answer(200, sealed(), body)));
    const CallerResult result = get("/read/1");
    EXPECT_EQ(result.status(), 200);
    EXPECT_EQ(result.response->body.size(), body.size());
    m_listeners.clear();
    m_state->registry().remove(TargetId("t1"), m_loop.now());
    addTarget("t1", [&body](RawSocket &socket, const std::string &) {
        const std::string whole = answer(200, sealed(), body);
        socket.send(whole.substr(0, whole.size() - 1));
        socket.closeAfterSending();
    });
    const CallerResult broken = get("/read/1");
    EXPECT_TRUE(broken.failure.has_value());
}

// Guards against a late copy of a refusal that is assigned to the next request on its connection.
// That request has been executed and would be executed twice.
TEST_F(RoutedRequestTest, LateCopyOfARefusalRefusesNothing)
{
    adoptTable();
    int arrivals = 0;
    addTarget("t1", [&arrivals](RawSocket &socket, const std::string &) {
        const std::string refusal = answer(503, "Attempt-Id: a0\r\nNot-Executed: 1\r\n", "");
        // The copy arrives when the connection is in use again; the target is executing the request
        // meanwhile.
        socket.send(++arrivals == 1 ? answer(200, sealed(), "first") : refusal);
    });
    EXPECT_EQ(post("/pay/1").status(), 200);
    const CallerResult result = post("/pay/1");
    EXPECT_EQ(result.status(), 502);
    EXPECT_EQ(m_arrivals.size(), 2u);
}

// Guards against a repeated refusal without an id that is assigned to the next request on its
// connection, which has been executed and would be refused as not run, or executed twice.
TEST_F(RoutedRequestTest, RepeatedRefusalWithoutAnIdRefusesNothing)
{
    adoptTable();
    const RawSocket *refused = nullptr;
    addTarget("t1", [&refused](RawSocket &socket, const std::string &) {
        const bool isCopy = refused == &socket;
        if (refused == nullptr || isCopy) {
            refused = &socket;
            socket.send(answer(503, "Not-Executed: 1\r\n", ""));
        } else {
            socket.send(answer(200, sealed(), "run"));
        }
    });
    EXPECT_EQ(post("/pay/1").status(), 503);
    EXPECT_EQ(post("/pay/1").status(), 200);
}

// Guards against a refusal without an id that follows a complete answer, arrives when the
// connection is in use again and is believed for a payment that is being executed.
TEST_F(RoutedRequestTest, RefusalWithoutAnIdOnAUsedConnectionRefusesNoPayment)
{
    adoptTable();
    for (const int status : { 503, 421 }) {
        int arrivals = 0;
        addTarget("t1", [&arrivals, status](RawSocket &socket, const std::string &) {
            // The surplus bytes arrive while the target executes the second request.
            socket.send(++arrivals == 1 ? answer(200, sealed(), "first")
                                        : answer(status, "Not-Executed: 1\r\n", ""));
        });
        EXPECT_EQ(post("/pay/1").status(), 200);
        EXPECT_EQ(post("/pay/1").status(), 502) << "after a surplus " << status;
        EXPECT_EQ(arrivals, 2);
        m_state->registry().remove(TargetId("t1"), m_loop.now());
    }
}

// Guards against an answer without an id that follows a complete one and is passed on as that to a
// payment in progress.
TEST_F(RoutedRequestTest, AnswerWithoutAnIdOnAUsedConnectionAnswersNoPayment)
{
    adoptTable();
    for (const int status : { 200, 500, 503, 429 }) {
        int arrivals = 0;
        addTarget("t1", [&arrivals, status](RawSocket &socket, const std::string &) {
            socket.send(++arrivals == 1 ? answer(200, sealed(), "first")
                                        : answer(status, "Response-Seal: s\r\n", "surplus"));
        });
        EXPECT_EQ(post("/pay/1").status(), 200);
        const CallerResult result = post("/pay/1");
        EXPECT_EQ(result.status(), 502) << "after a surplus " << status;
        EXPECT_EQ(result.header("Response-Seal"), "");
        m_state->registry().remove(TargetId("t1"), m_loop.now());
    }
}

// Guards against statuses that promise callers that a payment has not run although its target does
// not state it.
TEST_F(RoutedRequestTest, PaymentThatRanIsNotAnsweredWithARefusal)
{
    adoptTable();
    const std::vector<std::string> responses = {
        answer(503, sealed(), "own"), answer(429, sealed(), "own"), answer(408, sealed(), "own"),
        answer(200, sealed() + "Not-Executed: 1\r\n", "run")
    };
    for (const std::string &it : responses) {
        addTarget("t1", answering(it));
        const CallerResult result = post("/pay/1");
        EXPECT_EQ(result.status(), 502) << it;
        EXPECT_EQ(result.header("Response-Seal"), "");
        m_state->registry().remove(TargetId("t1"), m_loop.now());
    }
    addTarget("t1", answering(responses.front()));
    EXPECT_EQ(get("/read/1").status(), 503) << "a read is passed its target's own failure";
}

// Guards against a read that fails, or is not sent elsewhere, because of such a refusal.
TEST_F(RoutedRequestTest, RefusalWithoutAnIdOnAUsedConnectionIsBelievedForReads)
{
    adoptTable();
    int arrivals = 0;
    addTarget("t1", [&arrivals](RawSocket &socket, const std::string &) {
        socket.send(++arrivals == 1 ? answer(200, sealed(), "first")
                                    : answer(503, "Not-Executed: 1\r\n", ""));
    });
    EXPECT_EQ(get("/read/1").status(), 200);
    EXPECT_EQ(get("/read/1").status(), 503);
    EXPECT_EQ(arrivals, 2);
}

// Guards against a response whose head was cut off and that callers get as a complete one.
TEST_F(RoutedRequestTest, TruncatedHeadIsNoResponse)
{
    adoptTable();
    const std::string head = "HTTP/1.1 200 OK\r\n" + sealed();
    for (const std::string &it :
         { std::string("HTTP/1.1 200"), std::string("HTTP/1.1 200 OK"),
           std::string("HTTP/1.1 200 OK\r\n"), head, head + "Content-Le",
           head + "Content-Length: 5", head + "Content-Length: 5\r\n",
           head + "Content-Length: 0\r\n", head + "Transfer-Encoding: chunked\r\n" }) {
        addTarget("t1", answeringAndClosing(it));
        for (const char *uri : { "/read/1", "/pay/1" }) {
            const CallerResult result = std::string(uri) == "/pay/1" ? post(uri) : get(uri);
            EXPECT_EQ(result.status(), 502) << uri << " after \"" << it << '"';
        }
        m_state->registry().remove(TargetId("t1"), m_loop.now());
    }
}

// Guards against new requests for a target that has announced that it is leaving, whatever its
// registration states until the target has started again.
TEST_F(RoutedRequestTest, TargetThatAnnouncesLeavingGetsNoMoreRequests)
{
    adoptTable();
    const RawListener &listener =
            addTarget("t1", answering(answer(200, sealed() + "Server-Leaving: 1\r\n", "last")));
    EXPECT_EQ(get("/read/1").response->body, "last");
    EXPECT_EQ(get("/read/1").status(), 503);
    m_state->refreshTargets(m_loop.now());
    EXPECT_EQ(get("/read/1").status(), 503);
    m_state->registry().remove(TargetId("t1"), m_loop.now());
    m_state->refreshTargets(m_loop.now());
    addTargetAt("t1", listener.port());
    const CallerResult refused = get("/read/1");
    EXPECT_EQ(refused.status(), 503);
    EXPECT_NE(refused.header("Retry-After"), "");
    EXPECT_EQ(m_arrivals.size(), 1u);
}

// Guards against a target that requested a backoff and receives requests all the same, against
// callers with a shorter Retry-After than the backoff, and against ejecting the target as failing.
TEST_F(RoutedRequestTest, RequestedBackoffIsKept)
{
    adoptTable();
    const std::string refusal = "Attempt-Id: a1\r\nNot-Executed: 1\r\nRetry-After: 0.4\r\n";
    addTarget("t1", [this, refusal](RawSocket &socket, const std::string &) {
        socket.send(m_arrivals.size() == 1 ? answer(503, refusal, "")
                                           : answer(200, sealed(), "later"));
    });
    const MonotonicTime startedAt = m_loop.now();
    EXPECT_EQ(post("/pay/1").status(), 503);
    const CallerResult result = post("/pay/1");
    EXPECT_EQ(result.status(), 503);
    const double retryAfter = std::stod(result.header("Retry-After"));
    EXPECT_GE(retryAfter, 0.2);
    EXPECT_EQ(m_arrivals.size(), 1u);
    runFor(milliseconds(410) - (m_loop.now() - startedAt));
    EXPECT_EQ(post("/pay/1").status(), 200);
}

// Guards against a target that stays out of use because of an invalid Retry-After.
TEST_F(RoutedRequestTest, InvalidRetryAfterIsBounded)
{
    adoptTable();
    for (const char *value : { "-5", "soon", "nan", "Fri, 04 Dec 2026 00:00:00 GMT" }) {
        SCOPED_TRACE(value);
        m_arrivals.clear();
        m_listeners.clear();
        m_state->registry().remove(TargetId("t1"), m_loop.now());
        m_state->refreshTargets(m_loop.now());
        addTarget("t1", answering(answer(503,
                                         std::string("Attempt-Id: a1\r\nNot-Executed: 1\r\n")
                                                 + "Retry-After: " + value + "\r\n",
                                         "")));
        EXPECT_EQ(post("/pay/1").status(), 503);
        EXPECT_EQ(post("/pay/1").status(), 503);
        EXPECT_EQ(m_arrivals.size(), 2u);
    }
}

// Guards against a limit that is passed by requests of one caller after another: the requests
// beyond it go to another target, and without one are refused with the time until the next permit.
TEST_F(RoutedRequestTest, LimitOfATargetIsKept)
{
    adoptTable();
    addTarget("t1", answering(answer(200, sealed() + "Server-Limit: 0.5\r\n", "limited")));
    EXPECT_EQ(get("/read/1").response->body, "limited");
    const CallerResult refused = get("/read/1");
    EXPECT_EQ(refused.status(), 503);
    EXPECT_NE(refused.response->body.find("\"limited\""), std::string::npos);
    EXPECT_GT(std::stod(refused.header("Retry-After")), 0);
    addTarget("t2", answering(answer(200, sealed(), "other")));
    EXPECT_EQ(get("/read/1").response->body, "other");
    EXPECT_EQ(m_arrivals.size(), 2u);
}

// Guards against a malformed limit that is used, and against one that ends the limit before it.
TEST_F(RoutedRequestTest, MalformedLimitIsIgnored)
{
    adoptTable();
    std::string limit = "-1";
    addTarget("t1", [&limit](RawSocket &socket, const std::string &) {
        socket.send(answer(200, sealed() + "Server-Limit: " + limit + "\r\n", "served"));
    });
    EXPECT_EQ(get("/read/1").status(), 200);
    EXPECT_EQ(get("/read/1").status(), 200);
    limit = "0.5";
    EXPECT_EQ(get("/read/1").status(), 200);
    EXPECT_EQ(get("/read/1").status(), 503);
    EXPECT_EQ(m_arrivals.size(), 3u);
}

// Guards against a limit that stays in force after the target has stopped stating it.
TEST_F(RoutedRequestTest, LimitEndsWithTheFirstResponseWithoutIt)
{
    adoptTable();
    addTarget("t1", [this](RawSocket &socket, const std::string &) {
        const std::string limit = m_arrivals.size() == 1 ? "Server-Limit: 20\r\n" : "";
        socket.send(answer(200, sealed() + limit, "served"));
    });
    EXPECT_EQ(get("/read/1").status(), 200);
    EXPECT_TRUE(m_state->limits().isLimited(TargetId("t1")));
    runUntil([this] { return get("/read/1").status() == 200; });
    EXPECT_FALSE(m_state->limits().isLimited(TargetId("t1")));
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(get("/read/1").status(), 200);
    }
}

// Guards against a request to a target that left, or that asked for a backoff, while the permit was
// awaited, and against work for a caller that has left meanwhile.
TEST_F(RoutedRequestTest, PermitForATargetThatLeftMeanwhileIsNotUsed)
{
    adoptTable();
    letAnotherEntryIssuePermits();
    addTarget("t1", answering(answer(200, sealed(), "limited")));
    m_state->limits().onStated(TargetId("t1"), RequestRate{ 5 }, m_loop.now());
    std::optional<int> status;
    const HttpCallPtr call = m_client.fetch(
            callerRequest("GET", "/read/1", "a1"), ByteCount{ 1'000 },
            [&status](const HttpResponse &it) { status = it.head.status; },
            [](const HttpFailure &) {});
    runUntil([this] { return !m_asked.empty(); });
    m_state->registry().remove(TargetId("t1"), m_loop.now());
    m_state->refreshTargets(m_loop.now());
    const PermitReply granted{ true, milliseconds(0), m_state->limits().find(TargetId("t1")) };
    m_asked.front()(&granted, m_loop.now());
    runUntil([&status] { return status.has_value(); });
    EXPECT_EQ(status, 503);
    EXPECT_TRUE(m_arrivals.empty());
}

// Guards against memory that grows with unbounded failure responses, which are kept in case no
// other target succeeds: 50 of them, with 6 MB each available, while another caller is served.
TEST_F(RoutedRequestTest, UnboundedFailureResponsesAreNotCollected)
{
    adoptTable(1, milliseconds(10'000));
    std::vector<RawSocket *> endless;
    const std::string flood(6'000'000, 'x');
    std::set<std::string> failed;
    const Script script = [&](RawSocket &socket, const std::string &request) {
        const std::size_t at = request.find("Attempt-Id: ") + 12;
        const std::string id = request.substr(at, request.find('\r', at) - at);
        if (id == "a1") {
            socket.send(answer(200, sealed(), "served"));
        } else if (failed.insert(id).second) {
            endless.push_back(&socket);
            socket.send("HTTP/1.1 500 x\r\nContent-Length: 900000000\r\n" + sealed(id) + "\r\n"
                        + flood);
        }
    };
    addTarget("t1", script);
    addTarget("t2", script);
    std::vector<HttpCallPtr> calls;
    constexpr std::size_t Count = 50;
    // The retry budget is a fraction of the requests that were served.
    for (int i = 0; i < 20; ++i) {
        get("/read/1");
    }
    int ended = 0;
    for (std::size_t i = 0; i < Count; ++i) {
        HttpRequest request = callerRequest("GET", "/read/1", "b" + std::to_string(i));
        request.headers.set("Request-Deadline", "10000");
        calls.push_back(m_client.fetch(
                request, ByteCount{ 900'000'000 }, [&ended](const HttpResponse &) { ++ended; },
                [&ended](const HttpFailure &) { ++ended; }));
    }
    runUntil([&endless] { return endless.size() >= 30; });
    runFor(milliseconds(1'500));
    std::size_t taken = 0;
    std::size_t open = 0;
    for (const RawSocket *it : endless) {
        // The remaining bytes are in this test's own buffers and in those of the kernel.
        open += it->isPeerClosed() ? 0 : 1;
        taken += it->isPeerClosed() ? 0 : flood.size() - std::min(flood.size(), it->unsentBytes());
    }
    EXPECT_GT(open, 0u);
    // The kernel's socket buffers accept up to 4 MB of a connection that is not read.
    constexpr std::size_t MostInBuffers = 4'500'000;
    EXPECT_LT(taken, open * MostInBuffers);
    EXPECT_EQ(get("/read/1").response->body, "served");
    EXPECT_EQ(ended, 0);
}

} // namespace
} // namespace Tarragon
