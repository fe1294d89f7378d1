#include "entry/ClaimService.h"

#include <utility>

namespace Tarragon {

namespace {

/// Retry-After of a request that did not get the permission to run.
constexpr milliseconds RetryAfterNoPermission{ 1'000 };

std::optional<FinishedResponse> toFinished(const KeptResponse &kept)
{
    if (kept.status == 0 || kept.isBodyDropped) {
        return std::nullopt;
    }
    return FinishedResponse{ kept.status, kept.headers.fields(), kept.body };
}

KeptResponse toKept(const FinishedResponse &finished)
{
    KeptResponse kept;
    kept.status = finished.status;
    for (const std::pair<std::string, std::string> &it : finished.headers) {
        kept.headers.add(it.first, it.second);
    }
    kept.body = finished.body;
    return kept;
}

Failure failureOf(const RunStatus &status)
{
    switch (status.verdict) {
    case Verdict::NotRun:
        return Failure{ 503, "no-permission", Verdict::NotRun, status.reason,
                        RetryAfterNoPermission };
    case Verdict::MayHaveRun:
        return Failure{ 409, "unknown-outcome", Verdict::MayHaveRun, status.reason,
                        milliseconds(0) };
    case Verdict::Ran:
        break;
    }
    return Failure{ 409, "already-ran", Verdict::Ran, status.reason, milliseconds(0) };
}

} // namespace

ClaimService::ClaimService(EventLoop &loop, const InstanceId &self, Incarnation incarnation,
                           Send send)
    : m_loop(loop)
    , m_self(self)
    , m_send(std::move(send))
    , m_registry(self, incarnation, AtMostOnceOptions{}, loop.now())
    , m_runner(self, incarnation, AtMostOnceOptions{})
{}

ClaimFunctions ClaimService::functions()
{
    ClaimFunctions functions;
    functions.begin = [this](const RequestId &id, int attempt, MonotonicTime deadline,
                             std::function<void(const ClaimResult &)> callback) {
        RegistryMessages out;
        const RunNumber run = m_runner.begin(id, attempt, deadline, m_loop.now(), out);
        m_callbacks[run] = std::move(callback);
        dispatch(out);
        return run;
    };
    functions.start = [this](std::uint64_t run) {
        RegistryMessages out;
        const bool mayStart = m_runner.start(run, m_loop.now(), out);
        dispatch(out);
        return mayStart;
    };
    functions.notStarted = [this](std::uint64_t run) { m_runner.notStarted(run); };
    functions.finish = [this](std::uint64_t run, Verdict verdict, const KeptResponse &response) {
        m_callbacks.erase(run);
        RegistryMessages out;
        const Verdict verdictForCaller =
                m_runner.finish(run, verdict, toFinished(response), m_loop.now(), out);
        dispatch(out);
        return verdictForCaller;
    };
    return functions;
}

void ClaimService::receive(const RegistryPayload &payload)
{
    RegistryMessages out;
    if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&payload)) {
        m_runner.receive(*answer, m_loop.now(), out);
    } else {
        m_registry.receive(payload, m_loop.now(), out);
    }
    dispatch(out);
}

void ClaimService::setBackup(const InstanceId &backup, Incarnation incarnation)
{
    if (backup == m_backup && incarnation == m_backupIncarnation) {
        return;
    }
    m_backup = backup;
    m_backupIncarnation = incarnation;
    RegistryMessages out;
    m_registry.setBackup(backup, incarnation, m_loop.now(), out);
    dispatch(out);
}

void ClaimService::clearBackup()
{
    m_backup = InstanceId();
    m_backupIncarnation = Incarnation();
    m_registry.clearBackup();
}

std::string ClaimService::seed()
{
    const std::optional<RequestIdSeed> seed = m_registry.seed(m_loop.now());
    return seed.has_value() ? toString(*seed) : std::string();
}

void ClaimService::tick()
{
    RegistryMessages out;
    m_registry.tick(m_loop.now(), out);
    m_runner.tick(m_loop.now(), out);
    dispatch(out);
}

void ClaimService::dispatch(RegistryMessages &messages)
{
    // Messages to this entry itself are processed at once and may append further messages.
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const RegistryMessage message = messages[i];
        if (message.to != m_self) {
            m_send(message);
            continue;
        }
        if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&message.payload)) {
            m_runner.receive(*answer, m_loop.now(), messages);
        } else {
            m_registry.receive(message.payload, m_loop.now(), messages);
        }
    }
    scheduleCallbacks();
}

void ClaimService::scheduleCallbacks()
{
    if (!m_callbacks.empty() && !m_callbackTimer.isActive()) {
        m_callbackTimer = m_loop.schedule(microseconds(0), [this] { invokeCallbacks(); });
    }
}

void ClaimService::invokeCallbacks()
{
    for (const RunNumber run : m_runner.takeChanged()) {
        const std::map<RunNumber, std::function<void(const ClaimResult &)>>::iterator it =
                m_callbacks.find(run);
        if (it == m_callbacks.end()) {
            continue;
        }
        const RunStatus &status = m_runner.status(run);
        if (status.phase != RunPhase::Permitted && status.phase != RunPhase::Settled) {
            continue;
        }
        const std::function<void(const ClaimResult &)> callback = std::move(it->second);
        m_callbacks.erase(it);
        callback(resultOf(status));
    }
}

ClaimResult ClaimService::resultOf(const RunStatus &status) const
{
    if (status.phase == RunPhase::Permitted) {
        return ClaimGranted{};
    }
    if (status.response.has_value()) {
        return ClaimReplay{ toKept(*status.response) };
    }
    return failureOf(status);
}

} // namespace Tarragon
