#include "steering/AtMostOnceRegistry.h"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace Tarragon {
namespace {

/// Maximum number of closed primaries kept. Their state prevents that a delayed registration
/// reopens them.
constexpr std::size_t MaxClosedPrimaries = 4096;

/// A backup accepts ids up to this many generations ahead of the newest one that the primary has
/// registered, because the primary may have advanced since. A larger value would let a forged id
/// raise the generation that a new registration has to exceed.
constexpr std::uint64_t MaxGenerationsAhead = 4;

/// Interval between registrations until the backup has accepted one.
constexpr microseconds RegistrationRetry{ 1'000'000 };

std::uint64_t sizeOf(const FinishedResponse &response)
{
    std::uint64_t size = response.body.size();
    for (const auto &[name, value] : response.headers) {
        size += name.size() + value.size();
    }
    return size;
}

/// Returns the rank of an attempt in the order of attempts. An attempt without a number counts as
/// later than all attempts with one.
int rankOf(int attempt)
{
    return attempt <= 0 ? std::numeric_limits<int>::max() : attempt;
}

std::optional<RequestIdSeed> seedOf(const RequestId &id)
{
    const auto parsed = parseRequestId(id.value());
    return parsed ? std::make_optional(parsed->first) : std::nullopt;
}

} // namespace

AtMostOnceRegistry::AtMostOnceRegistry(const InstanceId &self, Incarnation incarnation,
                                       const AtMostOnceOptions &options, MonotonicTime now)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
    , m_generationStartedAt(now)
    , m_lastRegistrationAt(now)
{}

void AtMostOnceRegistry::setBackup(const InstanceId &backup, Incarnation incarnation,
                                   MonotonicTime now, RegistryMessages &out)
{
    advance(now);
    if (backup == m_backup && incarnation == m_backupIncarnation) {
        return;
    }
    m_backup = backup;
    m_backupIncarnation = incarnation;
    m_backupAccepted = false;
    beginGeneration(now);
    m_firstBackupGeneration = m_generation;
    sendRegistration(now, out);
}

void AtMostOnceRegistry::clearBackup()
{
    m_backup = InstanceId();
    m_backupIncarnation = Incarnation();
    m_backupAccepted = false;
}

std::optional<RequestIdSeed> AtMostOnceRegistry::seed(MonotonicTime now)
{
    advance(now);
    if (!m_backupAccepted) {
        return std::nullopt;
    }
    return RequestIdSeed{ m_self, m_incarnation, m_backup, m_backupIncarnation, m_generation };
}

void AtMostOnceRegistry::receive(const RegistryPayload &payload, MonotonicTime now,
                                 RegistryMessages &out)
{
    advance(now);
    std::visit(
            [&](const auto &message) {
                using Message = std::decay_t<decltype(message)>;
                if constexpr (std::is_same_v<Message, ClaimRequest>) {
                    message.settle ? onSettle(message, now, out) : onClaim(message, now, out);
                } else if constexpr (std::is_same_v<Message, OutcomeReport>) {
                    onOutcome(message, now, out);
                } else if constexpr (std::is_same_v<Message, ConfirmRequest>) {
                    onConfirmRequest(message, now, out);
                } else if constexpr (std::is_same_v<Message, ConfirmAnswer>) {
                    onConfirmAnswer(message, now, out);
                } else if constexpr (std::is_same_v<Message, OutcomeCopy>) {
                    onOutcomeCopy(message, now);
                } else if constexpr (std::is_same_v<Message, BackupRegistration>) {
                    onRegistration(message, now, out);
                } else if constexpr (std::is_same_v<Message, RegistrationAnswer>) {
                    onRegistrationAnswer(message, now, out);
                }
            },
            payload);
}

void AtMostOnceRegistry::tick(MonotonicTime now, RegistryMessages &out)
{
    advance(now);
    for (auto it = m_openIds.begin(); it != m_openIds.end();) {
        const auto &[id, seed] = *it;
        Records *records = seed.primary == m_self ? ownRecords(seed) : backupRecords(seed, now);
        const auto found = records ? records->find(id) : Records::iterator();
        if (!records || found == records->end()) {
            it = m_openIds.erase(it);
            continue;
        }
        checkTimeouts(id, seed, found->second, now, out);
        const State state = found->second.state;
        it = state == State::Confirming || state == State::Permitted ? std::next(it)
                                                                     : m_openIds.erase(it);
    }
    for (auto &[key, primary] : m_primaries) {
        if (!primary.closed && now - primary.lastMessageAt > m_options.primaryRecordRetention) {
            primary.closed = true;
            raiseMinGeneration(primary, primary.newestGeneration.next());
        }
    }
    dropClosedPrimaries();
    if (!m_backup.isEmpty()) {
        const microseconds period =
                m_backupAccepted ? m_options.registrationPeriod : RegistrationRetry;
        if (now - m_lastRegistrationAt >= period) {
            sendRegistration(now, out);
        }
    }
}

void AtMostOnceRegistry::checkTimeouts(const RequestId &id, const RequestIdSeed &seed,
                                       Record &record, MonotonicTime now, RegistryMessages &out)
{
    if (record.state == State::Confirming) {
        if (now - record.permissionStartedAt >= m_options.permission) {
            sendAnswer(id, record.holder, ClaimOutcome::NoBackup, nullptr, false, out);
            releaseClaim(id, seed, record, false, out);
        } else if (now - record.lastConfirmRequestAt >= m_options.confirmRetry) {
            record.lastConfirmRequestAt = now;
            out.push_back({ seed.backup, ConfirmRequest{ id, record.holder, record.attempt,
                                                         record.sequence, oldestServed() } });
        }
    } else if (record.state == State::Permitted
               && now - record.permissionStartedAt >= m_options.outcomeTimeout) {
        finishRecord(id, record, Verdict::MayHaveRun, std::nullopt, record.takenOver, out);
        if (!record.takenOver) {
            sendOutcomeCopy(id, seed, record, Verdict::MayHaveRun, out);
        }
    }
}

void AtMostOnceRegistry::onClaim(const ClaimRequest &request, MonotonicTime now,
                                 RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(request.id);
    Records *records = seed ? ownRecords(*seed) : nullptr;
    if (!records) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Stale, nullptr, false, out);
        return;
    }
    const auto found = records->find(request.id);
    Record *record = found == records->end() ? addRecord(*records, request.id) : &found->second;
    if (!record) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Full, nullptr, false, out);
        return;
    }
    if (record->state == State::Finished) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Finished, record, false, out);
        return;
    }
    if (rankOf(request.attempt) < record->attemptRank) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Superseded, nullptr, false, out);
        return;
    }
    record->attempt = request.attempt;
    record->attemptRank = rankOf(request.attempt);
    switch (record->state) {
    case State::Free:
        record->holder = request.claim;
        requestConfirmation(request.id, *seed, *record, now, out);
        break;
    case State::Confirming:
        if (record->holder != request.claim) {
            addWaiter(request.id, *record, request.claim, false, out);
        }
        break;
    case State::Permitted:
        if (record->holder == request.claim) {
            sendAnswer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, false, out);
        } else {
            addWaiter(request.id, *record, request.claim, false, out);
        }
        break;
    case State::BackupOwns:
        sendAnswer(request.id, request.claim, ClaimOutcome::AskBackup, nullptr, false, out);
        break;
    case State::Finished:
    case State::Confirmed:
        break;
    }
}

void AtMostOnceRegistry::onSettle(const ClaimRequest &request, MonotonicTime now,
                                  RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(request.id);
    Records *records = seed ? backupRecords(*seed, now) : nullptr;
    if (!records) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Stale, nullptr, true, out);
        return;
    }
    const auto found = records->find(request.id);
    Record *record = found == records->end() ? addRecord(*records, request.id) : &found->second;
    if (!record) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Full, nullptr, true, out);
        return;
    }
    if (record->state == State::Finished || record->state == State::Confirmed) {
        const bool finished = record->state == State::Finished;
        sendAnswer(request.id, request.claim,
                   finished ? ClaimOutcome::Finished : ClaimOutcome::Confirmed, record, true, out);
        return;
    }
    if (rankOf(request.attempt) < record->attemptRank) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Superseded, nullptr, true, out);
        return;
    }
    record->attempt = request.attempt;
    record->attemptRank = rankOf(request.attempt);
    if (record->state == State::Free) {
        record->takenOver = true;
        record->state = State::Permitted;
        record->holder = request.claim;
        record->permissionStartedAt = now;
        m_openIds.emplace(request.id, *seed);
        sendAnswer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, true, out);
    } else if (record->holder == request.claim) {
        sendAnswer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, true, out);
    } else {
        addWaiter(request.id, *record, request.claim, true, out);
    }
}

void AtMostOnceRegistry::onOutcome(const OutcomeReport &report, MonotonicTime now,
                                   RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(report.id);
    if (!seed) {
        return;
    }
    const bool asBackup = seed->primary != m_self;
    Records *records = asBackup ? backupRecords(*seed, now) : ownRecords(*seed);
    const auto found = records ? records->find(report.id) : Records::iterator();
    if (!records || found == records->end()) {
        return;
    }
    Record &record = found->second;
    std::erase(record.waiters, report.claim);
    if (record.holder != report.claim) {
        return;
    }
    const bool open = record.state == State::Confirming || record.state == State::Permitted;
    const bool better = record.state == State::Finished && record.verdict < report.verdict;
    if (open && report.verdict == Verdict::NotRun) {
        releaseClaim(report.id, *seed, record, asBackup, out);
    } else if (open || better) {
        finishRecord(report.id, record, report.verdict, report.response, asBackup, out);
        if (!asBackup) {
            sendOutcomeCopy(report.id, *seed, record, report.verdict, out);
        }
    }
}

void AtMostOnceRegistry::onConfirmRequest(const ConfirmRequest &request, MonotonicTime now,
                                          RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(request.id);
    if (!seed) {
        return;
    }
    const auto reply = [&](ConfirmOutcome outcome) {
        out.push_back({ seed->primary, ConfirmAnswer{ request.id, request.sequence, outcome } });
    };
    Records *records = backupRecords(*seed, now);
    if (records) {
        PrimaryState &primary = m_primaries.at({ seed->primary, seed->primaryIncarnation });
        primary.lastMessageAt = now;
        raiseMinGeneration(primary, request.oldestServed);
        records = backupRecords(*seed, now);
    }
    if (!records) {
        reply(ConfirmOutcome::Stale);
        return;
    }
    const auto found = records->find(request.id);
    Record *record = found == records->end() ? addRecord(*records, request.id) : &found->second;
    if (!record) {
        reply(ConfirmOutcome::Full);
        return;
    }
    if (record->takenOver) {
        reply(ConfirmOutcome::TakenOver);
        return;
    }
    if (request.sequence <= record->sequence) {
        // A duplicated or delayed request. It is answered again only if it is the newest one and
        // its confirmation still holds.
        if (request.sequence == record->sequence && record->state == State::Confirmed) {
            reply(ConfirmOutcome::Confirmed);
        }
        return;
    }
    if (rankOf(request.attempt) < record->attemptRank) {
        reply(ConfirmOutcome::Superseded);
        return;
    }
    record->state = State::Confirmed;
    record->holder = request.claim;
    record->sequence = request.sequence;
    record->attempt = request.attempt;
    record->attemptRank = rankOf(request.attempt);
    reply(ConfirmOutcome::Confirmed);
}

void AtMostOnceRegistry::onConfirmAnswer(const ConfirmAnswer &confirm, MonotonicTime now,
                                         RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(confirm.id);
    Records *records = seed ? ownRecords(*seed) : nullptr;
    const auto found = records ? records->find(confirm.id) : Records::iterator();
    if (!records || found == records->end()) {
        return;
    }
    Record &record = found->second;
    if (record.state != State::Confirming || record.sequence != confirm.sequence) {
        return;
    }
    switch (confirm.outcome) {
    case ConfirmOutcome::Confirmed:
        if (now - record.permissionStartedAt < m_options.permission) {
            record.state = State::Permitted;
            sendAnswer(confirm.id, record.holder, ClaimOutcome::Permitted, nullptr, false, out);
        } else {
            sendAnswer(confirm.id, record.holder, ClaimOutcome::Again, nullptr, false, out);
            releaseClaim(confirm.id, *seed, record, false, out);
        }
        break;
    case ConfirmOutcome::TakenOver:
        record.state = State::BackupOwns;
        sendAnswer(confirm.id, record.holder, ClaimOutcome::AskBackup, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::AskBackup, false, out);
        break;
    case ConfirmOutcome::Superseded:
        record.state = State::Free;
        sendAnswer(confirm.id, record.holder, ClaimOutcome::Superseded, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::Again, false, out);
        break;
    case ConfirmOutcome::Full:
        record.state = State::Free;
        sendAnswer(confirm.id, record.holder, ClaimOutcome::Full, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::Again, false, out);
        break;
    case ConfirmOutcome::Stale:
        record.state = State::Free;
        if (seed->backup == m_backup && seed->backupIncarnation == m_backupIncarnation) {
            m_backupAccepted = false;
        }
        sendAnswer(confirm.id, record.holder, ClaimOutcome::NoBackup, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::Again, false, out);
        break;
    }
}

void AtMostOnceRegistry::onOutcomeCopy(const OutcomeCopy &copy, MonotonicTime now)
{
    const std::optional<RequestIdSeed> seed = seedOf(copy.id);
    Records *records = seed ? backupRecords(*seed, now) : nullptr;
    const auto found = records ? records->find(copy.id) : Records::iterator();
    if (!records || found == records->end()) {
        return;
    }
    Record &record = found->second;
    if (record.takenOver || record.sequence != copy.sequence) {
        return;
    }
    if (copy.verdict == Verdict::NotRun) {
        if (record.state == State::Confirmed) {
            record.state = State::Free;
        }
        return;
    }
    if (record.state == State::Confirmed
        || (record.state == State::Finished && record.verdict < copy.verdict)) {
        RegistryMessages none;
        finishRecord(copy.id, record, copy.verdict, copy.response, true, none);
    }
}

void AtMostOnceRegistry::onRegistration(const BackupRegistration &registration, MonotonicTime now,
                                        RegistryMessages &out)
{
    RegistrationAnswer reply{ m_self,
                              m_incarnation,
                              registration.primary,
                              registration.primaryIncarnation,
                              registration.from,
                              false };
    if (registration.backup == m_self && registration.backupIncarnation == m_incarnation) {
        const PrimaryKey key{ registration.primary, registration.primaryIncarnation };
        const auto [it, isNew] = m_primaries.try_emplace(key);
        PrimaryState &primary = it->second;
        if (isNew) {
            primary.minGeneration = registration.from;
        }
        // When the primary was closed, its records up to the newest generation seen were dropped,
        // so only a registration of a later generation may reopen it.
        if (primary.closed && registration.from > primary.newestGeneration) {
            primary.closed = false;
            primary.minGeneration = registration.from;
        }
        if (!primary.closed) {
            primary.lastMessageAt = now;
            primary.announcedGeneration =
                    std::max(primary.announcedGeneration, registration.current);
            primary.newestGeneration = std::max(primary.newestGeneration, registration.current);
            raiseMinGeneration(primary, registration.oldestServed);
            reply.accepted = true;
        }
    }
    out.push_back({ registration.primary, reply });
}

void AtMostOnceRegistry::onRegistrationAnswer(const RegistrationAnswer &reply, MonotonicTime now,
                                              RegistryMessages &out)
{
    if (reply.primaryIncarnation != m_incarnation || reply.backup != m_backup
        || reply.from != m_firstBackupGeneration) {
        return;
    }
    if (reply.backupIncarnation != m_backupIncarnation) {
        clearBackup();
    } else if (reply.accepted) {
        m_backupAccepted = true;
    } else {
        m_backupAccepted = false;
        beginGeneration(now);
        m_firstBackupGeneration = m_generation;
        sendRegistration(now, out);
    }
}

void AtMostOnceRegistry::advance(MonotonicTime now)
{
    if (m_generation != SeedGeneration() && now - m_generationStartedAt >= m_options.seedPeriod) {
        beginGeneration(now);
    }
    while (!m_ownGenerations.empty() && m_ownGenerations.begin()->second.endedAt
           && now - *m_ownGenerations.begin()->second.endedAt >= m_options.seedLifetime) {
        dropRecords(m_ownGenerations.begin()->second.records);
        m_ownGenerations.erase(m_ownGenerations.begin());
    }
}

void AtMostOnceRegistry::beginGeneration(MonotonicTime now)
{
    const auto last = m_ownGenerations.find(m_generation);
    if (last != m_ownGenerations.end()) {
        // If this process was paused, the generation ended when its period was over, not when the
        // process resumed.
        last->second.endedAt = std::min(now, m_generationStartedAt + m_options.seedPeriod);
    }
    m_generation = m_generation.next();
    m_generationStartedAt = now;
    m_ownGenerations.emplace(m_generation,
                             OwnGeneration{ m_backup, m_backupIncarnation, std::nullopt, {} });
}

void AtMostOnceRegistry::sendRegistration(MonotonicTime now, RegistryMessages &out)
{
    m_lastRegistrationAt = now;
    out.push_back({ m_backup,
                    BackupRegistration{ m_self, m_incarnation, m_backup, m_backupIncarnation,
                                        m_firstBackupGeneration, m_generation, oldestServed() } });
}

SeedGeneration AtMostOnceRegistry::oldestServed() const
{
    return m_ownGenerations.empty() ? m_generation : m_ownGenerations.begin()->first;
}

AtMostOnceRegistry::Records *AtMostOnceRegistry::ownRecords(const RequestIdSeed &seed)
{
    if (seed.primary != m_self || seed.primaryIncarnation != m_incarnation) {
        return nullptr;
    }
    const auto found = m_ownGenerations.find(seed.generation);
    if (found == m_ownGenerations.end() || found->second.backup != seed.backup
        || found->second.backupIncarnation != seed.backupIncarnation) {
        return nullptr;
    }
    return &found->second.records;
}

AtMostOnceRegistry::Records *AtMostOnceRegistry::backupRecords(const RequestIdSeed &seed,
                                                               MonotonicTime now)
{
    if (seed.backup != m_self || seed.backupIncarnation != m_incarnation) {
        return nullptr;
    }
    const auto found = m_primaries.find({ seed.primary, seed.primaryIncarnation });
    if (found == m_primaries.end()) {
        return nullptr;
    }
    PrimaryState &primary = found->second;
    // tick() checks this too, but this entry may have been paused since the last tick.
    if (!primary.closed && now - primary.lastMessageAt > m_options.primaryRecordRetention) {
        primary.closed = true;
        raiseMinGeneration(primary, primary.newestGeneration.next());
    }
    if (primary.closed || seed.generation < primary.minGeneration
        || seed.generation.value() > primary.announcedGeneration.value() + MaxGenerationsAhead) {
        return nullptr;
    }
    primary.newestGeneration = std::max(primary.newestGeneration, seed.generation);
    return &primary.generations[seed.generation];
}

AtMostOnceRegistry::Record *AtMostOnceRegistry::addRecord(Records &records, const RequestId &id)
{
    if (m_recordCount >= m_options.maxRecords) {
        return nullptr;
    }
    ++m_recordCount;
    return &records[id];
}

void AtMostOnceRegistry::dropRecords(Records &records)
{
    m_recordCount -= records.size();
    for (const auto &[id, record] : records) {
        if (record.response) {
            m_responseBytes -= sizeOf(*record.response);
        }
    }
    records.clear();
}

void AtMostOnceRegistry::dropClosedPrimaries()
{
    auto closed = static_cast<std::size_t>(
            std::count_if(m_primaries.begin(), m_primaries.end(),
                          [](const auto &it) { return it.second.closed; }));
    while (closed > MaxClosedPrimaries) {
        auto oldest = m_primaries.end();
        for (auto it = m_primaries.begin(); it != m_primaries.end(); ++it) {
            if (it->second.closed
                && (oldest == m_primaries.end()
                    || it->second.lastMessageAt < oldest->second.lastMessageAt)) {
                oldest = it;
            }
        }
        m_primaries.erase(oldest);
        --closed;
    }
}

void AtMostOnceRegistry::raiseMinGeneration(PrimaryState &primary, SeedGeneration generation)
{
    primary.minGeneration = std::max(primary.minGeneration, generation);
    while (!primary.generations.empty()
           && primary.generations.begin()->first < primary.minGeneration) {
        dropRecords(primary.generations.begin()->second);
        primary.generations.erase(primary.generations.begin());
    }
}

void AtMostOnceRegistry::requestConfirmation(const RequestId &id, const RequestIdSeed &seed,
                                             Record &record, MonotonicTime now,
                                             RegistryMessages &out)
{
    record.state = State::Confirming;
    record.sequence = m_nextSequence++;
    record.permissionStartedAt = now;
    record.lastConfirmRequestAt = now;
    m_openIds.emplace(id, seed);
    out.push_back({ seed.backup, ConfirmRequest{ id, record.holder, record.attempt, record.sequence,
                                                 oldestServed() } });
}

void AtMostOnceRegistry::sendOutcomeCopy(const RequestId &id, const RequestIdSeed &seed,
                                         const Record &record, Verdict verdict,
                                         RegistryMessages &out) const
{
    out.push_back({ seed.backup, OutcomeCopy{ id, record.sequence, verdict, record.response } });
}

/// Marks the record as finished and answers the waiting claims. Of a response that is too large
/// only the verdict is kept.
void AtMostOnceRegistry::finishRecord(const RequestId &id, Record &record, Verdict verdict,
                                      const std::optional<FinishedResponse> &response,
                                      bool fromBackup, RegistryMessages &out)
{
    record.state = State::Finished;
    record.verdict = verdict;
    if (response && !record.response) {
        const std::uint64_t size = sizeOf(*response);
        if (size <= m_options.maxResponseSize.value
            && m_responseBytes + size <= m_options.maxTotalResponseSize.value) {
            record.response = response;
            m_responseBytes += size;
        }
    }
    answerWaiters(id, record, ClaimOutcome::Finished, fromBackup, out);
}

void AtMostOnceRegistry::sendAnswer(const RequestId &id, const ClaimKey &claim,
                                    ClaimOutcome outcome, const Record *record, bool fromBackup,
                                    RegistryMessages &out) const
{
    ClaimAnswer reply;
    reply.id = id;
    reply.claim = claim;
    reply.outcome = outcome;
    reply.fromBackup = fromBackup;
    if (record) {
        reply.holder = record->holder;
        reply.verdict = record->verdict;
        reply.response = record->response;
    }
    out.push_back({ claim.runner, std::move(reply) });
}

void AtMostOnceRegistry::answerWaiters(const RequestId &id, Record &record, ClaimOutcome outcome,
                                       bool fromBackup, RegistryMessages &out) const
{
    const std::vector<ClaimKey> waiters = std::move(record.waiters);
    record.waiters.clear();
    for (const ClaimKey &it : waiters) {
        sendAnswer(id, it, outcome, outcome == ClaimOutcome::Finished ? &record : nullptr,
                   fromBackup, out);
    }
}

void AtMostOnceRegistry::addWaiter(const RequestId &id, Record &record, const ClaimKey &claim,
                                   bool fromBackup, RegistryMessages &out) const
{
    const bool known =
            std::find(record.waiters.begin(), record.waiters.end(), claim) != record.waiters.end();
    if (!known && record.waiters.size() >= m_options.maxWaiters) {
        ClaimAnswer reply{ id,          claim,         ClaimOutcome::Finished,
                           fromBackup,  record.holder, Verdict::MayHaveRun,
                           std::nullopt };
        out.push_back({ claim.runner, std::move(reply) });
        return;
    }
    if (!known) {
        record.waiters.push_back(claim);
    }
    sendAnswer(id, claim, ClaimOutcome::InProgress, &record, fromBackup, out);
}

/// Frees the record after its claim ended without having run, and lets waiting claims try again.
void AtMostOnceRegistry::releaseClaim(const RequestId &id, const RequestIdSeed &seed,
                                      Record &record, bool fromBackup, RegistryMessages &out) const
{
    record.state = State::Free;
    if (!fromBackup) {
        sendOutcomeCopy(id, seed, record, Verdict::NotRun, out);
    }
    answerWaiters(id, record, ClaimOutcome::Again, fromBackup, out);
}

} // namespace Tarragon
