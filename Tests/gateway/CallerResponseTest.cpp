#include "gateway/CallerResponseTemplate.h"

#include "Support/FirstSeed.h"
#include "VirtualLoop.h"

#include <gmock/gmock.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

/// Number of what writes to a caller: that of an attempt, or LocalReply.
using SourceNumber = int;
constexpr SourceNumber LocalReply = 0;

/// A response as its caller gets it.
struct RecordedExchange
{
    /// Sources of the response's parts, in order.
    std::vector<SourceNumber> parts;
    int beginnings = 0;

    void begin(SourceNumber source)
    {
        ++beginnings;
        parts.push_back(source);
    }
    void reply(int, const HttpHeaders &, std::string_view) { begin(LocalReply); }
};

class ScriptedAttempt;

/// The attempts of a request that exist, by number.
using Attempts = std::map<SourceNumber, ScriptedAttempt *>;

/// An attempt whose target sends its response in parts.
class ScriptedAttempt
{
public:
    ScriptedAttempt(Attempts &attempts, SourceNumber number)
        : m_attempts(attempts)
        , m_number(number)
    {
        m_attempts[m_number] = this;
    }
    ~ScriptedAttempt() { m_attempts.erase(m_number); }
    ScriptedAttempt(const ScriptedAttempt &) = delete;
    ScriptedAttempt &operator=(const ScriptedAttempt &) = delete;

    bool isOpen() const { return m_isOpen; }
    void deliver(const std::shared_ptr<RecordedExchange> &exchange, const sigc::slot<void()> &ended)
    {
        exchange->begin(m_number);
        m_exchange = exchange;
        m_ended = ended;
    }
    void cancel()
    {
        m_isOpen = false;
        m_exchange = nullptr;
        m_ended = sigc::slot<void()>();
    }
    /// Called when the target sends a part of the response.
    void receive(bool isLast)
    {
        if (!m_isOpen) {
            return;
        }
        m_isOpen = !isLast;
        if (m_exchange != nullptr) {
            m_exchange->parts.push_back(m_number);
        }
        if (isLast) {
            const sigc::slot<void()> ended = m_ended;
            ended();
        }
    }

private:
    Attempts &m_attempts;
    SourceNumber m_number;
    bool m_isOpen = true;
    std::shared_ptr<RecordedExchange> m_exchange;
    sigc::slot<void()> m_ended;
};

using Response = BasicCallerResponse<VirtualLoop, RecordedExchange, ScriptedAttempt>;

/// The response to one request, in virtual time.
class ResponseRun
{
public:
    VirtualLoop &loop() { return m_loop; }
    Response &response() { return m_response; }
    const RecordedExchange &exchange() const { return *m_exchange; }
    void runUntil(microseconds end)
    {
        while (m_schedule.step(end)) {
            check();
        }
    }
    SourceNumber add()
    {
        const SourceNumber number = ++m_lastNumber;
        m_response.add(std::make_unique<ScriptedAttempt>(m_attempts, number));
        return number;
    }
    /// Lets the target of an attempt send, unless the attempt has been destroyed.
    void receive(SourceNumber number, bool isLast = false)
    {
        const auto it = m_attempts.find(number);
        if (it != m_attempts.end()) {
            it->second->receive(isLast);
        }
    }
    void deliver()
    {
        m_response.deliverCurrent([this] { ++m_endCount; });
    }
    int endCount() const { return m_endCount; }
    int begunCount() const { return m_begunCount; }
    /// Numbers of the attempts that could still write to the caller.
    std::vector<SourceNumber> openAttempts() const
    {
        std::vector<SourceNumber> result;
        for (const auto &[number, attempt] : m_attempts) {
            if (attempt->isOpen()) {
                result.push_back(number);
            }
        }
        return result;
    }
    const std::vector<CancelCause> &cancelled() const { return m_cancelled; }

private:
    /// The invariant: a response begins once, has one source, and no other attempt is open beside
    /// it.
    void check()
    {
        EXPECT_LE(m_exchange->beginnings, 1);
        const std::set<SourceNumber> sources(m_exchange->parts.begin(), m_exchange->parts.end());
        EXPECT_LE(sources.size(), 1u);
        for (const SourceNumber it : openAttempts()) {
            EXPECT_TRUE(sources.empty() || sources.contains(it))
                    << "attempt " << it << " is open beside the response";
        }
    }

    VirtualSchedule m_schedule;
    VirtualLoop m_loop{ m_schedule };
    Attempts m_attempts;
    SourceNumber m_lastNumber = 0;
    int m_endCount = 0;
    int m_begunCount = 0;
    std::vector<CancelCause> m_cancelled;
    std::shared_ptr<RecordedExchange> m_exchange = std::make_shared<RecordedExchange>();
    Response m_response{ m_loop, m_exchange, [this] { ++m_begunCount; },
                         [this](const ScriptedAttempt &, CancelCause cause) {
                             m_cancelled.push_back(cause);
                         } };
};

// Guards against an attempt that goes on beside the response of another one.
TEST(CallerResponseTest, FallbackEndsTheAttemptInProgress)
{
    ResponseRun run;
    const SourceNumber failed = run.add();
    run.response().keepCurrentAsFallback();
    const SourceNumber later = run.add();
    EXPECT_THAT(run.openAttempts(), ElementsAre(failed, later));
    run.response().restoreFallback();
    run.deliver();
    EXPECT_THAT(run.openAttempts(), ElementsAre(failed));
    EXPECT_EQ(run.begunCount(), 1);
    run.receive(later);
    run.receive(failed, true);
    EXPECT_THAT(run.exchange().parts, ElementsAre(failed, failed));
    EXPECT_EQ(run.endCount(), 1);
}

// Guards against a fallback that holds its target's connection while another response is delivered.
TEST(CallerResponseTest, ResponseEndsTheFallback)
{
    ResponseRun run;
    run.add();
    run.response().keepCurrentAsFallback();
    const SourceNumber later = run.add();
    run.deliver();
    EXPECT_THAT(run.openAttempts(), ElementsAre(later));
    EXPECT_THAT(run.cancelled(), ElementsAre(CancelCause::ResponseBegun));
}

// Guards against a refusal, a permit or a check of a target that comes after the response has
// begun.
TEST(CallerResponseTest, NothingBeginsASecondResponse)
{
    ResponseRun run;
    const SourceNumber first = run.add();
    run.deliver();
    run.deliver();
    EXPECT_FALSE(run.response().reply(503, {}, ""));
    EXPECT_THROW(run.add(), Error);
    EXPECT_THAT(run.exchange().parts, ElementsAre(first));
    EXPECT_EQ(run.begunCount(), 1);
}

// Guards against two attempts in progress, of which either could respond.
TEST(CallerResponseTest, AddedAttemptCancelsTheOneInProgress)
{
    ResponseRun run;
    run.add();
    const SourceNumber second = run.add();
    EXPECT_THAT(run.openAttempts(), ElementsAre(second));
    EXPECT_THAT(run.cancelled(), ElementsAre(CancelCause::GivenUp));
}

// Guards against an attempt that goes on for a caller that has gone.
TEST(CallerResponseTest, AttemptsEndWithTheCaller)
{
    ResponseRun run;
    const SourceNumber first = run.add();
    run.response().keepCurrentAsFallback();
    const SourceNumber second = run.add();
    run.response().close();
    EXPECT_THAT(run.openAttempts(), IsEmpty());
    EXPECT_THAT(run.cancelled(), ElementsAre(CancelCause::RequestEnded, CancelCause::RequestEnded));
    run.receive(first, true);
    run.receive(second, true);
    run.response().reply(504, {}, "");
    EXPECT_THAT(run.exchange().parts, IsEmpty());
    EXPECT_EQ(run.endCount(), 0);
}

/// Lets attempts, late permits and retries, the deadline and the caller act at random times,
/// without regard to what has happened before.
class RandomResponseRun : public ResponseRun
{
public:
    explicit RandomResponseRun(std::uint64_t seed)
        : m_random(seed)
    {
        addSendingAttempt();
        for (int i = 0; i < EventCount; ++i) {
            loop().run(drawTime(), [this] { act(); });
        }
        runUntil(seconds(1));
    }

private:
    static constexpr int EventCount = 12;
    static constexpr int PartCount = 8;

    int draw(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }
    milliseconds drawTime() { return milliseconds(draw(100)); }
    /// Adds an attempt whose target sends at random times, whatever becomes of the request.
    void addSendingAttempt()
    {
        const SourceNumber number = add();
        for (int i = 0; i < PartCount; ++i) {
            const bool isLast = i == PartCount - 1;
            loop().run(drawTime(), [this, number, isLast] { receive(number, isLast); });
        }
    }
    void onRetry()
    {
        if (!response().isOpen()) {
            EXPECT_THROW(add(), Error);
        } else if (response().current() == nullptr) {
            addSendingAttempt();
        }
    }
    void act()
    {
        static constexpr int ActionCount = 6;
        switch (draw(ActionCount)) {
        case 0:
            response().keepCurrentAsFallback();
            loop().run(drawTime(), [this] { onRetry(); });
            break;
        case 1:
            if (response().isOpen()) {
                response().giveUpCurrent();
            }
            loop().run(drawTime(), [this] { onRetry(); });
            break;
        case 2:
            onDeadline();
            break;
        case 3:
            if (response().current() != nullptr) {
                deliver();
            }
            break;
        case 4:
            response().reply(503, {}, "");
            break;
        default:
            if (draw(ActionCount) == 0) {
                response().close();
            }
        }
    }
    void onDeadline()
    {
        if (response().hasFallback()) {
            response().restoreFallback();
            deliver();
        } else {
            response().reply(504, {}, "");
        }
    }

    std::mt19937_64 m_random;
};

// Guards against any order of events in which two sources write one response.
TEST(CallerResponseTest, ResponseHasOneSourceInAnyOrderOfEvents)
{
    static constexpr std::uint64_t SeedCount = 2'000;
    std::size_t cancelledRuns = 0;
    std::size_t deliveredRuns = 0;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + SeedCount; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const RandomResponseRun run(seed);
        const std::vector<CancelCause> &causes = run.cancelled();
        cancelledRuns +=
                std::find(causes.begin(), causes.end(), CancelCause::ResponseBegun) != causes.end();
        deliveredRuns += run.exchange().parts.size() > 1;
        if (HasFailure()) {
            return;
        }
    }
    // Otherwise the runs would show little.
    EXPECT_GT(cancelledRuns, SeedCount / 20);
    EXPECT_GT(deliveredRuns, SeedCount / 20);
}

} // namespace
} // namespace Tarragon
