#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "base/Versions.h"
#include "steering/RequestIdSeed.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Tarragon {

/// Identifies one claim of one runner, the entry that received the request and would send it to a
/// target. Never used twice.
struct ClaimKey
{
    InstanceId runner;
    Incarnation runnerIncarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

/// A target's response as kept for later attempts.
struct FinishedResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Runner to primary: permission wanted to run the request. Runner to backup, with settle set:
/// the same, as the primary does not answer.
struct ClaimRequest
{
    RequestId id;
    ClaimKey claim;
    /// Number of the caller's attempt, from 1; 0 if the caller did not tell.
    int attempt = 0;
    bool settle = false;
};

/// Answer to a claim.
enum class ClaimOutcome {
    /// The runner may send the request, within the permission's time from before its claim.
    Permitted,
    /// Another claim holds the permission; an answer follows when it ends.
    InProgress,
    /// From the backup: it has confirmed the claim that "holder" names to the primary.
    Confirmed,
    /// The request has ended, with the verdict and perhaps the response given.
    Finished,
    /// The claim was dropped without effect; claim again.
    Again,
    /// The backup has taken the id over and is to be asked.
    AskBackup,
    /// The incarnation or seed generation is not served any more.
    Stale,
    /// A later attempt of the same id has been seen.
    Superseded,
    /// No memory for another record.
    Full,
    /// The backup did not confirm in time.
    NoBackup,
};

struct ClaimAnswer
{
    RequestId id;
    ClaimKey claim;
    ClaimOutcome outcome = ClaimOutcome::Again;
    /// Whether the answer comes from the backup.
    bool fromBackup = false;
    /// The claim that holds the permission, for InProgress and Confirmed.
    ClaimKey holder;
    /// For Finished.
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<FinishedResponse> response;
};

/// Runner to the one that permitted the claim, or to both if it gives up. NotRun: the runner has
/// not sent the request and will not under this claim.
struct OutcomeReport
{
    RequestId id;
    ClaimKey claim;
    Verdict verdict = Verdict::NotRun;
    std::optional<FinishedResponse> response;
};

/// Primary to backup: asks to confirm that the claim may run.
struct ConfirmRequest
{
    RequestId id;
    ClaimKey claim;
    int attempt = 0;
    /// Rises with every confirmation that the primary asks for.
    std::uint64_t sequence = 0;
    /// Oldest seed generation that the primary serves.
    SeedGeneration oldestServed;
};

enum class ConfirmOutcome {
    Confirmed,
    /// The backup has taken the id over.
    TakenOver,
    Superseded,
    /// No memory, and nothing is known of the id.
    Full,
    /// The backup does not keep records for this seed.
    Stale,
};

struct ConfirmAnswer
{
    RequestId id;
    std::uint64_t sequence = 0;
    ConfirmOutcome outcome = ConfirmOutcome::Stale;
};

/// Primary to backup: how a confirmed claim ended. NotRun takes the confirmation back.
struct OutcomeCopy
{
    RequestId id;
    /// Sequence of the confirmation.
    std::uint64_t sequence = 0;
    Verdict verdict = Verdict::NotRun;
    std::optional<FinishedResponse> response;
};

/// Primary to backup: keep records for ids of my seeds from this generation on. Repeated regularly
/// to show that the primary is alive.
struct BackupRegistration
{
    InstanceId primary;
    Incarnation primaryIncarnation;
    InstanceId backup;
    Incarnation backupIncarnation;
    SeedGeneration from;
    SeedGeneration current;
    SeedGeneration oldestServed;
};

struct RegistrationAnswer
{
    InstanceId backup;
    Incarnation backupIncarnation;
    InstanceId primary;
    Incarnation primaryIncarnation;
    SeedGeneration from;
    /// False if the backup has dropped records of this generation or does not know itself under
    /// this incarnation; the primary has to register a newer generation.
    bool accepted = false;
};

using RegistryPayload =
        std::variant<ClaimRequest, ClaimAnswer, OutcomeReport, ConfirmRequest, ConfirmAnswer,
                     OutcomeCopy, BackupRegistration, RegistrationAnswer>;

/// A message to be carried to an entry, which may be the sender itself. It may be lost, late or
/// doubled.
struct RegistryMessage
{
    InstanceId to;
    RegistryPayload payload;
};

using RegistryMessages = std::vector<RegistryMessage>;

} // namespace Tarragon
