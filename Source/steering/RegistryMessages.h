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

/// Identifies one claim. A claim asks for permission to run one attempt of a request. The runner is
/// the entry that received the attempt from the caller and sends it to a target once permitted. A
/// key is never used twice.
struct ClaimKey
{
    InstanceId runner;
    Incarnation runnerIncarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

/// A target's response, kept to be returned to later attempts of the same request.
struct FinishedResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Sent by the runner to the primary to ask for permission to run the request. If the primary does
/// not reply, the runner sends the same claim to the backup with "settle" set; the backup then
/// settles who may permit the id: it permits the claim itself unless it has confirmed a claim to
/// the primary.
struct ClaimRequest
{
    RequestId id;
    ClaimKey claim;
    /// Number of the caller's attempt, from 1; 0 if the caller did not send one.
    int attempt = 0;
    bool settle = false;
};

/// Outcome of a claim, as decided by the primary or the backup.
enum class ClaimOutcome {
    /// The runner may send the request until AtMostOnceOptions::permission has passed since it
    /// sent the claim.
    Permitted,
    /// Another claim holds the permission; a second ClaimAnswer follows when that claim ends.
    InProgress,
    /// Sent by the backup only: it has confirmed the claim named by "holder" to the primary.
    Confirmed,
    /// The request has ended; the verdict, and the response if it was kept, are set.
    Finished,
    /// The claim was dropped without effect; the runner should claim again.
    Again,
    /// The backup has taken the id over; the runner must send its claim to the backup.
    AskBackup,
    /// The incarnation or seed generation in the id is no longer served.
    Stale,
    /// A later attempt of the same id has been seen.
    Superseded,
    /// The limit on the number of records is reached.
    Full,
    /// The backup did not confirm the claim in time.
    NoBackup,
};

struct ClaimAnswer
{
    RequestId id;
    ClaimKey claim;
    ClaimOutcome outcome = ClaimOutcome::Again;
    /// Whether the backup sent the answer, not the primary.
    bool fromBackup = false;
    /// The claim that holds the permission, for InProgress and Confirmed.
    ClaimKey holder;
    /// Set for Finished only, as is the response.
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<FinishedResponse> response;
};

/// Reports how a claim ended. Sent by the runner to the entry that permitted the claim, or to
/// primary and backup if the runner stops waiting for a permission. NotRun means that the runner
/// has not sent the request and will not send it under this claim.
struct OutcomeReport
{
    RequestId id;
    ClaimKey claim;
    Verdict verdict = Verdict::NotRun;
    std::optional<FinishedResponse> response;
};

/// Sent by the primary to the backup: asks the backup to confirm that the claim may run.
struct ConfirmRequest
{
    RequestId id;
    ClaimKey claim;
    int attempt = 0;
    /// Increases with every confirmation that the primary requests.
    std::uint64_t sequence = 0;
    /// Oldest seed generation that the primary serves.
    SeedGeneration oldestServed;
};

enum class ConfirmOutcome {
    Confirmed,
    /// The backup has taken the id over.
    TakenOver,
    Superseded,
    /// The backup has no record of the id and has reached the limit on the number of records.
    Full,
    /// The backup does not keep records for the id's seed.
    Stale,
};

struct ConfirmAnswer
{
    RequestId id;
    std::uint64_t sequence = 0;
    ConfirmOutcome outcome = ConfirmOutcome::Stale;
};

/// Sent by the primary to the backup: how a confirmed claim ended. NotRun revokes the confirmation.
struct OutcomeCopy
{
    RequestId id;
    /// Sequence of the ConfirmRequest that the backup confirmed.
    std::uint64_t sequence = 0;
    Verdict verdict = Verdict::NotRun;
    std::optional<FinishedResponse> response;
};

/// Sent by the primary to the backup: asks the backup to keep records for the ids of the primary's
/// seeds, starting with the generation "from". Repeated regularly to show that the primary is
/// alive.
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
    /// False if the backup has dropped records of this generation, or if the registration names
    /// another instance or incarnation than the backup's own; the primary must then register a
    /// newer generation.
    bool accepted = false;
};

using RegistryPayload =
        std::variant<ClaimRequest, ClaimAnswer, OutcomeReport, ConfirmRequest, ConfirmAnswer,
                     OutcomeCopy, BackupRegistration, RegistrationAnswer>;

/// A message with the entry to deliver it to, which may be the sender itself. Messages may be lost,
/// delayed or duplicated.
struct RegistryMessage
{
    InstanceId to;
    RegistryPayload payload;
};

using RegistryMessages = std::vector<RegistryMessage>;

} // namespace Tarragon
