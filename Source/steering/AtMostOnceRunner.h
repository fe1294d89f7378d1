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

/// Phase of a request at its runner (see AtMostOnceRunner).
enum class RunPhase {
    /// No permission yet.
    Waiting,
    /// start() may be called.
    Permitted,
    /// start() has returned true.
    Started,
    /// Decided without being sent, and must not be sent any more; see RunStatus::verdict.
    Settled,
};

struct RunStatus
{
    RunPhase phase = RunPhase::Waiting;
    /// Valid in phase Settled. NotRun only if no earlier attempt of the id has run or can still
    /// run.
    Verdict verdict = Verdict::MayHaveRun;
    /// Response of the earlier attempt that has run, if it was kept.
    std::optional<FinishedResponse> response;
    /// Why the request was settled, for the detail text of the response; empty in other phases.
    std::string reason;
};

/// Number that the runner assigns to a request.
using RunNumber = std::uint64_t;

/// Obtains permission to run non-idempotent requests on the entry that received them, the runner.
/// Claims each request's id at the primary and, if the primary does not answer, at the backup (see
/// AtMostOnceRegistry), and checks the permission again right before the request is sent.
class AtMostOnceRunner
{
public:
    AtMostOnceRunner(const InstanceId &self, Incarnation incarnation,
                     const AtMostOnceOptions &options);

    /// Sends a claim for the id. A request whose id cannot be parsed is settled at once with
    /// NotRun. "attempt" is the caller's number of this attempt, from 1, where attempts answered
    /// with NotRun need not be counted; 0 if the caller sent no number. An attempt with a lower
    /// number than one already seen is not permitted. An attempt without a number never gets
    /// NotRun, because an earlier attempt could still be on its way.
    RunNumber begin(const RequestId &id, int attempt, MonotonicTime deadline, MonotonicTime now,
                    RegistryMessages &out);
    void receive(const ClaimAnswer &answer, MonotonicTime now, RegistryMessages &out);
    /// Applies timeouts. Must be called every 50 to 100 ms while requests wait.
    void tick(MonotonicTime now, RegistryMessages &out);
    /// Returns the requests whose phase has changed since the last call.
    std::vector<RunNumber> takeChanged();
    /// Returns the status of a request. Throws Error if the number is unknown.
    const RunStatus &status(RunNumber run) const;

    /// Checks the permission at the moment of use. Must be called right before the first byte of
    /// the request is sent to a target. If it returns true, the request must be sent. If it returns
    /// false because the permission or the deadline has expired, the request is settled: with
    /// NotRun, or with MayHaveRun if the attempt has no number.
    bool start(RunNumber run, MonotonicTime now, RegistryMessages &out);
    /// Records that sending to a target failed with NotRun. start() may be called again for another
    /// target.
    void notStarted(RunNumber run);
    /// Reports that the request has ended at the target or was cancelled, removes it, and returns
    /// the verdict to send to the caller. If the request never had a permission, the verdict
    /// depends on what is known about earlier attempts, not on the given one.
    Verdict finish(RunNumber run, Verdict verdict, const std::optional<FinishedResponse> &response,
                   MonotonicTime now, RegistryMessages &out);

    /// Returns the verdict of an attempt that this entry refuses without claiming its id. What
    /// happened to earlier attempts is unknown then, so only a first attempt gets NotRun.
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
        /// When the current claim was sent; the permission's duration counts from here.
        MonotonicTime claimedAt;
        bool backupAsked = false;
        /// Another claim of the id holds the permission. The wait for its end goes on until the
        /// deadline.
        bool inProgress = false;
        /// The backup has confirmed this claim to the primary, but the primary's answer is missing.
        bool confirmedForSelf = false;
        /// The backup has confirmed a claim of another runner.
        bool confirmedForOther = false;
        /// Set when the primary or the backup has answered that it cannot permit the claim (Stale,
        /// Full or NoBackup).
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
    void abortWaiting(Run &run, const std::string &reason, RegistryMessages &out);
    void sendReport(const Run &run, const InstanceId &to, Verdict verdict,
                    const std::optional<FinishedResponse> &response, RegistryMessages &out) const;
    Verdict verdictWithoutPermission(const Run &run) const;
    Run &findRun(RunNumber run);

    InstanceId m_self;
    Incarnation m_incarnation;
    AtMostOnceOptions m_options;
    std::map<RunNumber, Run> m_runs;
    std::map<std::uint64_t, RunNumber> m_runsBySequence;
    std::vector<RunNumber> m_changed;
    std::uint64_t m_nextSequence = 1;
    RunNumber m_nextRun = 1;
};

} // namespace Tarragon
