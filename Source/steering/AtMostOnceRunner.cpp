#include "steering/AtMostOnceRunner.h"

#include "base/Error.h"

namespace Tarragon {
namespace {

/// Maximum number of claims for one request. More would only add load.
constexpr int MaxClaims = 5;

} // namespace

AtMostOnceRunner::AtMostOnceRunner(const InstanceId &self, Incarnation incarnation,
                                   const AtMostOnceOptions &options)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
{}

RunNumber AtMostOnceRunner::begin(const RequestId &id, int attempt, MonotonicTime deadline,
                                  MonotonicTime now, RegistryMessages &out)
{
    const RunNumber number = m_nextRun++;
    Run &run = m_runs[number];
    run.number = number;
    run.id = id;
    run.attempt = attempt;
    run.deadline = deadline;
    const auto parsed = parseRequestId(id.value());
    if (!parsed) {
        settle(run, Verdict::NotRun, "request id does not begin with a seed from a lookup");
        return number;
    }
    run.seed = parsed->first;
    claim(run, now, out);
    return number;
}

void AtMostOnceRunner::receive(const ClaimAnswer &answer, MonotonicTime now, RegistryMessages &out)
{
    const auto found = m_runsBySequence.find(answer.claim.sequence);
    if (answer.claim.runner != m_self || answer.claim.runnerIncarnation != m_incarnation
        || found == m_runsBySequence.end()) {
        return;
    }
    Run &run = m_runs.at(found->second);
    if (run.status.phase != RunPhase::Waiting) {
        return;
    }
    switch (answer.outcome) {
    case ClaimOutcome::Permitted:
        run.permittedByBackup = answer.fromBackup;
        if (now - run.claimedAt < m_options.permission) {
            setPhase(run, RunPhase::Permitted);
        } else if (run.claims < MaxClaims && now < run.deadline) {
            sendReport(run, answer.fromBackup ? run.seed.backup : run.seed.primary, Verdict::NotRun,
                       std::nullopt, out);
            claim(run, now, out);
        } else {
            abortWaiting(run, "permission came too late", out);
        }
        break;
    case ClaimOutcome::InProgress:
        run.inProgress = true;
        break;
    case ClaimOutcome::Confirmed:
        (answer.holder == answer.claim ? run.confirmedForSelf : run.confirmedForOther) = true;
        break;
    case ClaimOutcome::Finished:
        run.status.response = answer.response;
        settle(run, answer.verdict, "an earlier attempt has ended");
        break;
    case ClaimOutcome::Again:
        if (run.claims < MaxClaims) {
            claim(run, now, out);
        } else {
            abortWaiting(run, "too many claims", out);
        }
        break;
    case ClaimOutcome::AskBackup:
        askBackup(run, out);
        break;
    case ClaimOutcome::Superseded:
        settle(run, Verdict::MayHaveRun, "a later attempt of the request was made");
        break;
    case ClaimOutcome::Stale:
    case ClaimOutcome::Full:
    case ClaimOutcome::NoBackup:
        (answer.fromBackup ? run.backupRefused : run.primaryRefused) = true;
        if (run.primaryRefused && run.backupRefused) {
            abortWaiting(run, "neither primary nor backup can permit the request", out);
        } else if (run.primaryRefused) {
            askBackup(run, out);
        }
        break;
    }
}

void AtMostOnceRunner::tick(MonotonicTime now, RegistryMessages &out)
{
    for (auto &[number, run] : m_runs) {
        if (run.status.phase != RunPhase::Waiting) {
            continue;
        }
        if (now >= run.deadline) {
            abortWaiting(run, "deadline passed while waiting for a permission", out);
        } else if (!run.inProgress && now - run.claimedAt >= m_options.permission) {
            abortWaiting(run, "neither primary nor backup answered", out);
        } else if (!run.inProgress && now - run.claimedAt >= m_options.primaryTimeout) {
            askBackup(run, out);
        }
    }
}

std::vector<RunNumber> AtMostOnceRunner::takeChanged()
{
    std::vector<RunNumber> changed = std::move(m_changed);
    m_changed.clear();
    return changed;
}

const RunStatus &AtMostOnceRunner::status(RunNumber run) const
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        throw Error("run " + std::to_string(run) + " is not known, expected one from begin()");
    }
    return found->second.status;
}

bool AtMostOnceRunner::start(RunNumber number, MonotonicTime now, RegistryMessages &out)
{
    Run &run = findRun(number);
    if (run.status.phase != RunPhase::Permitted) {
        return false;
    }
    if (now - run.claimedAt >= m_options.permission || now >= run.deadline) {
        sendReport(run, run.permittedByBackup ? run.seed.backup : run.seed.primary, Verdict::NotRun,
                   std::nullopt, out);
        settle(run, run.attempt == 0 ? Verdict::MayHaveRun : Verdict::NotRun,
               "permission expired before the request was sent");
        return false;
    }
    setPhase(run, RunPhase::Started);
    return true;
}

void AtMostOnceRunner::notStarted(RunNumber number)
{
    Run &run = findRun(number);
    if (run.status.phase == RunPhase::Started) {
        setPhase(run, RunPhase::Permitted);
    }
}

Verdict AtMostOnceRunner::finish(RunNumber number, Verdict verdict,
                                 const std::optional<FinishedResponse> &response, MonotonicTime now,
                                 RegistryMessages &out)
{
    Run &run = findRun(number);
    Verdict reported = verdict;
    switch (run.status.phase) {
    case RunPhase::Waiting:
        abortWaiting(run, now < run.deadline ? "given up" : "deadline passed", out);
        reported = run.status.verdict;
        break;
    case RunPhase::Settled:
        reported = run.status.verdict;
        break;
    case RunPhase::Permitted:
    case RunPhase::Started:
        if (run.status.phase == RunPhase::Permitted) {
            reported = Verdict::NotRun;
        }
        sendReport(run, run.permittedByBackup ? run.seed.backup : run.seed.primary, reported,
                   response, out);
        if (reported == Verdict::NotRun && run.attempt == 0) {
            reported = Verdict::MayHaveRun;
        }
        break;
    }
    m_runsBySequence.erase(run.sequence);
    m_runs.erase(number);
    return reported;
}

Verdict AtMostOnceRunner::verdictOfRefusal(int attempt)
{
    return attempt == 1 ? Verdict::NotRun : Verdict::MayHaveRun;
}

void AtMostOnceRunner::claim(Run &run, MonotonicTime now, RegistryMessages &out)
{
    m_runsBySequence.erase(run.sequence);
    run.sequence = m_nextSequence++;
    m_runsBySequence.emplace(run.sequence, run.number);
    run.claimedAt = now;
    run.backupAsked = false;
    run.inProgress = false;
    run.confirmedForSelf = false;
    run.confirmedForOther = false;
    run.primaryRefused = false;
    run.backupRefused = false;
    ++run.claims;
    out.push_back({ run.seed.primary,
                    ClaimRequest{ run.id, ClaimKey{ m_self, m_incarnation, run.sequence },
                                  run.attempt, false } });
}

void AtMostOnceRunner::askBackup(Run &run, RegistryMessages &out)
{
    if (run.backupAsked) {
        return;
    }
    run.backupAsked = true;
    out.push_back({ run.seed.backup,
                    ClaimRequest{ run.id, ClaimKey{ m_self, m_incarnation, run.sequence },
                                  run.attempt, true } });
}

void AtMostOnceRunner::setPhase(Run &run, RunPhase phase)
{
    run.status.phase = phase;
    m_changed.push_back(run.number);
}

void AtMostOnceRunner::settle(Run &run, Verdict verdict, const std::string &reason)
{
    run.status.verdict = verdict;
    run.status.reason = reason;
    m_runsBySequence.erase(run.sequence);
    setPhase(run, RunPhase::Settled);
}

void AtMostOnceRunner::abortWaiting(Run &run, const std::string &reason, RegistryMessages &out)
{
    sendReport(run, run.seed.primary, Verdict::NotRun, std::nullopt, out);
    if (run.backupAsked) {
        sendReport(run, run.seed.backup, Verdict::NotRun, std::nullopt, out);
    }
    settle(run, verdictWithoutPermission(run), reason);
}

void AtMostOnceRunner::sendReport(const Run &run, const InstanceId &to, Verdict verdict,
                                  const std::optional<FinishedResponse> &response,
                                  RegistryMessages &out) const
{
    out.push_back({ to, OutcomeReport{ run.id, ClaimKey{ m_self, m_incarnation, run.sequence },
                                       verdict, response } });
}

/// Returns the verdict of a request that got no permission. A claim that the backup has confirmed
/// excludes all other claims of the id, and claims of attempts with a lower number for good.
/// Without a confirmation, only a first attempt is known to have no earlier attempt that may run.
Verdict AtMostOnceRunner::verdictWithoutPermission(const Run &run) const
{
    if (run.inProgress || run.confirmedForOther) {
        return Verdict::MayHaveRun;
    }
    return run.attempt == 1 || (run.confirmedForSelf && run.attempt > 1) ? Verdict::NotRun
                                                                         : Verdict::MayHaveRun;
}

AtMostOnceRunner::Run &AtMostOnceRunner::findRun(RunNumber run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        throw Error("run " + std::to_string(run) + " is not known, expected one from begin()");
    }
    return found->second;
}

} // namespace Tarragon
