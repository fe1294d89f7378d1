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
    /// Validity of a permission, from before the confirmation was requested.
    microseconds permission{ 1'000'000 };
    /// A runner that the primary has not answered in this time asks the backup as well.
    microseconds primaryTimeout{ 300'000 };
    /// A confirmation without an answer is requested again after this time.
    microseconds confirmRetry{ 200'000 };
    /// A claim whose runner does not report its end counts as MayHaveRun after this time; at least
    /// the largest requestTimeout of the document.
    microseconds outcomeTimeout{ 15'000'000 };
    /// Time after which the primary advances its seed generation.
    microseconds seedPeriod{ 300'000'000 };
    /// Time for which the ids of a seed generation are served after it has ended.
    microseconds seedLife{ 300'000'000 };
    /// Time between the registrations that show the backup that the primary is alive.
    microseconds registrationPeriod{ 10'000'000 };
    /// A backup drops the records of a primary that it has not heard for this long.
    microseconds silentPrimary{ 600'000'000 };
    /// Records in all, as primary and as backup. About 400 bytes each.
    std::size_t maxRecords = 60'000;
    /// Largest response that is kept; of a larger one only the verdict is.
    ByteCount maxResponse{ 16'384 };
    /// All responses kept.
    ByteCount maxResponses{ 16'777'216 };
    /// Claims that may wait for the end of the one that runs; others get its verdict at once.
    std::size_t maxWaiters = 4;
};

/// The records of non-idempotent requests that one entry keeps as primary and as backup, so that
/// each runs at most once.
///
/// Only the backup's record decides who may permit an id: it confirms the primary's claim or takes
/// the id over, never both at a time. If the backup's incarnation is gone nothing more is
/// permitted. All methods append the messages to be carried to "out".
class AtMostOnceRegistry
{
public:
    AtMostOnceRegistry(const InstanceId &self, Incarnation incarnation,
                       const AtMostOnceOptions &options, MonotonicTime now);

    /// Chooses the entry that backs up this one. A change begins a new seed generation. Without a
    /// backup there is no seed, and no claim is permitted.
    void setBackup(const InstanceId &backup, Incarnation incarnation, MonotonicTime now,
                   RegistryMessages &out);
    void clearBackup();
    /// The seed for lookups; nothing until the backup has accepted its role.
    std::optional<RequestIdSeed> seed(MonotonicTime now);

    /// Takes a message from another entry or from this one. ClaimAnswer is for the runner and
    /// ignored here.
    void receive(const RegistryPayload &payload, MonotonicTime now, RegistryMessages &out);
    /// Timeouts; to be called every 50 to 100 ms.
    void tick(MonotonicTime now, RegistryMessages &out);

    std::size_t recordCount() const { return m_records; }
    ByteCount responseBytes() const { return ByteCount{ m_responseBytes }; }

private:
    enum class State {
        /// No permission is out.
        Free,
        /// As primary: the backup was asked.
        Confirming,
        /// The holder may send, or has sent, the request.
        Permitted,
        Finished,
        /// As primary: the backup has taken the id over.
        BackupOwns,
        /// As backup: the primary has a confirmation.
        Confirmed,
    };
    struct Record
    {
        State state = State::Free;
        /// As backup: this entry permits, the primary does not.
        bool takenOver = false;
        /// The latest attempt seen, and its place in the order of attempts.
        int attempt = 0;
        int attemptRank = 0;
        ClaimKey holder;
        std::uint64_t sequence = 0;
        MonotonicTime askedAt;
        MonotonicTime lastAskedAt;
        Verdict verdict = Verdict::MayHaveRun;
        std::optional<FinishedResponse> response;
        std::vector<ClaimKey> waiters;
    };
    using Records = std::unordered_map<RequestId, Record>;
    struct OwnGeneration
    {
        InstanceId backup;
        Incarnation backupIncarnation;
        /// Set once the next generation has begun.
        std::optional<MonotonicTime> endedAt;
        Records records;
    };
    /// What is kept for another primary's incarnation.
    struct Primary
    {
        /// Ids of older generations are rejected.
        SeedGeneration floor;
        /// Newest generation that the primary has told.
        SeedGeneration told;
        /// Newest generation that there may be records of.
        SeedGeneration newest;
        bool closed = false;
        MonotonicTime heard;
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
    /// The records that hold the id as primary; null if it is not served.
    Records *ownRecords(const RequestIdSeed &seed);
    /// The records that hold the id as backup; null if it is not served.
    Records *backupRecords(const RequestIdSeed &seed, MonotonicTime now);
    /// Null if there is no memory for another one.
    Record *addRecord(Records &records, const RequestId &id);
    void drop(Records &records);
    void forgetClosed();
    void raiseFloor(Primary &primary, SeedGeneration floor);
    void ask(const RequestId &id, const RequestIdSeed &seed, Record &record, MonotonicTime now,
             RegistryMessages &out);
    void copyOutcome(const RequestId &id, const RequestIdSeed &seed, const Record &record,
                     Verdict verdict, RegistryMessages &out) const;
    void finish(const RequestId &id, Record &record, Verdict verdict,
                const std::optional<FinishedResponse> &response, bool fromBackup,
                RegistryMessages &out);
    void answer(const RequestId &id, const ClaimKey &claim, ClaimOutcome outcome,
                const Record *record, bool fromBackup, RegistryMessages &out) const;
    void answerWaiters(const RequestId &id, Record &record, ClaimOutcome outcome, bool fromBackup,
                       RegistryMessages &out) const;
    void wait(const RequestId &id, Record &record, const ClaimKey &claim, bool fromBackup,
              RegistryMessages &out) const;
    void release(const RequestId &id, const RequestIdSeed &seed, Record &record, bool fromBackup,
                 RegistryMessages &out) const;
    void checkOpen(const RequestId &id, const RequestIdSeed &seed, Record &record,
                   MonotonicTime now, RegistryMessages &out);

    InstanceId m_self;
    Incarnation m_incarnation;
    AtMostOnceOptions m_options;
    SeedGeneration m_generation;
    MonotonicTime m_generationSince;
    InstanceId m_backup;
    Incarnation m_backupIncarnation;
    bool m_backupAccepted = false;
    /// First generation with the present backup.
    SeedGeneration m_backupFrom;
    MonotonicTime m_registrationSent;
    std::map<SeedGeneration, OwnGeneration> m_own;
    std::map<PrimaryKey, Primary> m_primaries;
    /// Ids with something to be watched by tick(): confirmations and permissions that are out.
    std::map<RequestId, RequestIdSeed> m_open;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_records = 0;
    std::uint64_t m_responseBytes = 0;
};

} // namespace Tarragon
