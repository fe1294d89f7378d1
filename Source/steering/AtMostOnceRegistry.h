#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "steering/RegistryMessages.h"
#include "steering/RequestIdSeed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Tarragon {

/// Times and limits of the registry. All entries must use the same times.
struct AtMostOnceOptions
{
    /// How long a permission is valid. The runner counts from before it sends the claim, the
    /// primary from before it requests the backup's confirmation.
    microseconds permission{ 1'000'000 };
    /// A runner whose claim the primary has not answered within this time also asks the backup.
    microseconds primaryTimeout{ 300'000 };
    /// Time after which the primary repeats an unanswered ConfirmRequest.
    microseconds confirmRetry{ 200'000 };
    /// Time after which a permitted claim counts as MayHaveRun if its runner has not reported the
    /// outcome. Must be at least
    /// the largest requestTimeout of the document.
    microseconds outcomeTimeout{ 15'000'000 };
    /// Time after which the primary advances its seed generation.
    microseconds seedPeriod{ 300'000'000 };
    /// Time for which ids of a seed generation are still served after the next generation began.
    microseconds seedLifetime{ 300'000'000 };
    /// Interval between the registrations that show the backup that the primary is alive.
    microseconds registrationPeriod{ 10'000'000 };
    /// Time without a message from a primary after which the backup drops that primary's records.
    microseconds primaryRecordRetention{ 600'000'000 };
    /// Maximum number of records, as primary and as backup together. A record takes about 400
    /// bytes.
    std::size_t maxRecords = 60'000;
    /// Size of the largest response that is kept. Of a larger response only the verdict is kept.
    ByteCount maxResponseSize{ 16'384 };
    /// Maximum size of all kept responses together.
    ByteCount maxTotalResponseSize{ 16'777'216 };
    /// Number of claims that may wait for the end of the running claim of the same id. Further
    /// claims are answered at once with MayHaveRun.
    std::size_t maxWaiters = 4;
};

/// Keeps the records of non-idempotent requests, so that each request runs at most once. Every
/// entry is the primary of the ids that it has issued seeds for, and the backup of other entries'
/// ids.
///
/// An entry that receives a request (the runner) claims its id at the primary. The primary asks the
/// backup to confirm the claim and then permits it. If the primary does not answer, the runner asks
/// the backup to settle the id: the backup takes the id over and permits the claim itself, unless
/// it has confirmed a claim to the primary. So only the backup's record decides who may permit an
/// id: it confirms the primary's claim or takes the id over, never both at a time. Once the
/// backup's incarnation has ended, no claim of its ids is permitted any more.
///
/// All methods append the messages to be sent to "out".
class AtMostOnceRegistry
{
public:
    AtMostOnceRegistry(const InstanceId &self, Incarnation incarnation,
                       const AtMostOnceOptions &options, MonotonicTime now);

    /// Sets the entry that is the backup for this one. A change begins a new seed generation.
    /// Without a backup there is no seed, and no claim is permitted.
    void setBackup(const InstanceId &backup, Incarnation incarnation, MonotonicTime now,
                   RegistryMessages &out);
    void clearBackup();
    /// Returns the seed that lookups give to callers for their request ids; nothing until the
    /// backup has accepted the registration.
    std::optional<RequestIdSeed> seed(MonotonicTime now);

    /// Applies a message from another entry or from this one. A ClaimAnswer is meant for the runner
    /// (see AtMostOnceRunner) and is ignored.
    void receive(const RegistryPayload &payload, MonotonicTime now, RegistryMessages &out);
    /// Applies timeouts and sends due registrations. Must be called every 50 to 100 ms.
    void tick(MonotonicTime now, RegistryMessages &out);

    std::size_t recordCount() const { return m_recordCount; }
    ByteCount responseBytes() const { return ByteCount{ m_responseBytes }; }

private:
    enum class State {
        /// No claim is permitted or being confirmed.
        Free,
        /// As primary: the backup was asked to confirm the holder's claim.
        Confirming,
        /// The holder's claim is permitted; its runner may send, or has sent, the request.
        Permitted,
        Finished,
        /// As primary: the backup has taken the id over.
        BackupOwns,
        /// As backup: the holder's claim was confirmed to the primary.
        Confirmed,
    };
    struct Record
    {
        State state = State::Free;
        /// As backup: this entry has taken the id over and permits its claims in place of the
        /// primary.
        bool takenOver = false;
        /// Number of the latest attempt seen, and its rank in the order of attempts, where an
        /// attempt without a number ranks last.
        int attempt = 0;
        int attemptRank = 0;
        /// The claim that is permitted or being confirmed, or that was last.
        ClaimKey holder;
        /// Sequence of the latest ConfirmRequest.
        std::uint64_t sequence = 0;
        /// Start of the permission: when the primary first requested the confirmation, or when the
        /// backup permitted the claim after it took the id over.
        MonotonicTime permissionStartedAt;
        /// When the latest ConfirmRequest was sent.
        MonotonicTime lastConfirmRequestAt;
        Verdict verdict = Verdict::MayHaveRun;
        std::optional<FinishedResponse> response;
        /// Claims to be answered when the holder's claim ends.
        std::vector<ClaimKey> waiters;
    };
    using Records = std::unordered_map<RequestId, Record>;
    /// A seed generation of this entry as primary, with the records of its ids.
    struct OwnGeneration
    {
        InstanceId backup;
        Incarnation backupIncarnation;
        /// Set once the next generation has begun.
        std::optional<MonotonicTime> endedAt;
        Records records;
    };
    /// Records and state that this entry keeps as backup for one incarnation of a primary.
    struct PrimaryState
    {
        /// Ids of older generations are rejected.
        SeedGeneration minGeneration;
        /// Newest generation named in a registration of the primary.
        SeedGeneration announcedGeneration;
        /// Newest generation that this entry may hold records of.
        SeedGeneration newestGeneration;
        /// Set once the records were dropped because the primary sent no message within
        /// AtMostOnceOptions::primaryRecordRetention. Its ids are rejected until it registers a
        /// generation newer than newestGeneration.
        bool closed = false;
        /// When the last registration or ConfirmRequest of the primary arrived.
        MonotonicTime lastMessageAt;
        std::map<SeedGeneration, Records> generations;
    };
    using PrimaryKey = std::pair<InstanceId, Incarnation>;

    void onClaim(const ClaimRequest &request, MonotonicTime now, RegistryMessages &out);
    void onSettle(const ClaimRequest &request, MonotonicTime now, RegistryMessages &out);
    void onOutcome(const OutcomeReport &report, MonotonicTime now, RegistryMessages &out);
    void onConfirmRequest(const ConfirmRequest &request, MonotonicTime now, RegistryMessages &out);
    void onConfirmAnswer(const ConfirmAnswer &answer, MonotonicTime now, RegistryMessages &out);
    void onOutcomeCopy(const OutcomeCopy &copy, MonotonicTime now);
    void onRegistration(const BackupRegistration &registration, MonotonicTime now,
                        RegistryMessages &out);
    void onRegistrationAnswer(const RegistrationAnswer &answer, MonotonicTime now,
                              RegistryMessages &out);

    void advance(MonotonicTime now);
    void beginGeneration(MonotonicTime now);
    void sendRegistration(MonotonicTime now, RegistryMessages &out);
    SeedGeneration oldestServed() const;
    /// Returns the records kept as primary for the seed; null if the seed is not served.
    Records *ownRecords(const RequestIdSeed &seed);
    /// Returns the records kept as backup for the seed; null if the seed is not served.
    Records *backupRecords(const RequestIdSeed &seed, MonotonicTime now);
    /// Adds a record; returns null if AtMostOnceOptions::maxRecords is reached.
    Record *addRecord(Records &records, const RequestId &id);
    void dropRecords(Records &records);
    void dropClosedPrimaries();
    void raiseMinGeneration(PrimaryState &primary, SeedGeneration generation);
    void requestConfirmation(const RequestId &id, const RequestIdSeed &seed, Record &record,
                             MonotonicTime now, RegistryMessages &out);
    void sendOutcomeCopy(const RequestId &id, const RequestIdSeed &seed, const Record &record,
                         Verdict verdict, RegistryMessages &out) const;
    void finishRecord(const RequestId &id, Record &record, Verdict verdict,
                      const std::optional<FinishedResponse> &response, bool fromBackup,
                      RegistryMessages &out);
    void sendAnswer(const RequestId &id, const ClaimKey &claim, ClaimOutcome outcome,
                    const Record *record, bool fromBackup, RegistryMessages &out) const;
    void answerWaiters(const RequestId &id, Record &record, ClaimOutcome outcome, bool fromBackup,
                       RegistryMessages &out) const;
    void addWaiter(const RequestId &id, Record &record, const ClaimKey &claim, bool fromBackup,
                   RegistryMessages &out) const;
    void releaseClaim(const RequestId &id, const RequestIdSeed &seed, Record &record,
                      bool fromBackup, RegistryMessages &out) const;
    void checkTimeouts(const RequestId &id, const RequestIdSeed &seed, Record &record,
                       MonotonicTime now, RegistryMessages &out);

    InstanceId m_self;
    Incarnation m_incarnation;
    AtMostOnceOptions m_options;
    SeedGeneration m_generation;
    MonotonicTime m_generationStartedAt;
    InstanceId m_backup;
    Incarnation m_backupIncarnation;
    bool m_backupAccepted = false;
    /// First seed generation with the current backup.
    SeedGeneration m_firstBackupGeneration;
    MonotonicTime m_lastRegistrationAt;
    std::map<SeedGeneration, OwnGeneration> m_ownGenerations;
    std::map<PrimaryKey, PrimaryState> m_primaries;
    /// Ids with a pending confirmation or an open permission, whose timeouts tick() checks.
    std::map<RequestId, RequestIdSeed> m_openIds;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_recordCount = 0;
    std::uint64_t m_responseBytes = 0;
};

} // namespace Tarragon
