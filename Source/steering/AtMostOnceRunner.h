#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "base/Versions.h"
#include "steering/AtMostOnceRegistry.h"
#include "steering/RegistryMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Where a request stands that wants to run at most once.
enum class RunPhase {
    /// No permission yet.
    Waiting,
    /// start() may be called.
    Permitted,
    /// start() has returned true.
    Started,
    /// Must not be sent; see RunStatus::verdict.
    Settled,
};

struct RunStatus
{
    RunPhase phase = RunPhase::Waiting;
    /// Set when settled. NotRun only if no earlier attempt of the id has run or can still run.
    Verdict verdict = Verdict::MayHaveRun;
    /// The response of the attempt that has run, if it was kept.
    std::optional<FinishedResponse> response;
    /// Why it was settled, for the response's detail; empty otherwise.
    std::string reason;
};

/// Number of a request at its runner.
using RunNumber = std::uint64_t;

/// The side of the entry that received a non-idempotent request: asks the primary and, if that does
/// not answer, the backup for the permission, and checks it at the moment of use.
class AtMostOnceRunner
{
public:
    AtMostOnceRunner(const InstanceId &self, Incarnation incarnation,
                     const AtMostOnceOptions &options);

    /// Begins to ask for permission. An id that cannot be parsed is settled at once with NotRun.
    /// attempt is the caller's number of this attempt, from 1, where attempts answered with NotRun
    /// need not be counted; 0 if it did not tell. Attempts with a lower number than one already
    /// seen are not permitted, and an attempt without a number never gets NotRun: an earlier one
    /// could still be on its way.
    RunNumber begin(const RequestId &id, int attempt, MonotonicTime deadline, MonotonicTime now,
                    RegistryMessages &out);
    void receive(const ClaimAnswer &answer, MonotonicTime now, RegistryMessages &out);
    /// Timeouts; to be called every 50 to 100 ms while requests wait.
    void tick(MonotonicTime now, RegistryMessages &out);
    /// Requests whose phase has changed since the last call.
    std::vector<RunNumber> takeChanged();
    /// Throws Error for a number that is not known.
    const RunStatus &status(RunNumber run) const;

    /// Checks the permission at the moment of use: to be called right before the request's first
    /// byte is sent to a target, which must follow if it returns true. False settles the request,
    /// with NotRun if it had a permission that has expired.
    bool start(RunNumber run, MonotonicTime now, RegistryMessages &out);
    /// The attempt at a target failed with NotRun; start() may be called again for another one.
    void notStarted(RunNumber run);
    /// The request has ended at the target, or was given up. Forgets it and returns the verdict to
    /// be told to the caller. Given NotRun for a request that never had a permission, the verdict
    /// depends on what is known of earlier attempts.
    Verdict finish(RunNumber run, Verdict verdict, const std::optional<FinishedResponse> &response,
                   MonotonicTime now, RegistryMessages &out);

    /// The verdict of an attempt that this entry refuses without asking for a permission: what
    /// happened to earlier attempts is unknown, so that only a first one is known not to have run.
    static Verdict verdictOfRefusal(int attempt);

private:
    struct Run
    {
        RunNumber number = 0;
        RequestId id;
        RequestIdSeed seed;
        int attempt = 0;
        MonotonicTime deadline;
        std::uint64_t sequence = 0;
        /// When the present claim was made; the permission counts from here.
        MonotonicTime claimedAt;
        bool backupAsked = false;
        /// Another claim is running; the wait for it goes on until the deadline.
        bool inProgress = false;
        /// The backup has confirmed this claim to the primary, whose answer is missing.
        bool confirmedForSelf = false;
        /// The backup has confirmed a claim of another runner.
        bool confirmedForOther = false;
        /// The answer that one of both cannot help.
        bool primaryRefused = false;
        bool backupRefused = false;
        int claims = 0;
        bool permittedByBackup = false;
        RunStatus status;
    };

    void claim(Run &run, MonotonicTime now, RegistryMessages &out);
    void askBackup(Run &run, RegistryMessages &out);
    void setPhase(Run &run, RunPhase phase);
    void settle(Run &run, Verdict verdict, const std::string &reason);
    void giveUp(Run &run, const std::string &reason, RegistryMessages &out);
    void report(const Run &run, const InstanceId &to, Verdict verdict,
                const std::optional<FinishedResponse> &response, RegistryMessages &out) const;
    Verdict verdictUnpermitted(const Run &run) const;
    Run &runAt(RunNumber run);

    InstanceId m_self;
    Incarnation m_incarnation;
    AtMostOnceOptions m_options;
    std::map<RunNumber, Run> m_runs;
    std::map<std::uint64_t, RunNumber> m_bySequence;
    std::vector<RunNumber> m_changed;
    std::uint64_t m_nextSequence = 1;
    RunNumber m_nextRun = 1;
};

} // namespace Tarragon
