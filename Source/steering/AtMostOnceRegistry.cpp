#include "steering/AtMostOnceRegistry.h"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace Tarragon {
namespace {

/// Maximum number of closed primaries kept. Their state prevents that a delayed registration reopens
/// them.
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
    , m_generationSince(now)
    , m_registrationSent(now)
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
    m_backupFrom = m_generation;
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
    for (auto it = m_open.begin(); it != m_open.end();) {
        const auto &[id, seed] = *it;
        Records *records = seed.primary == m_self ? ownRecords(seed) : backupRecords(seed, now);
        const auto found = records ? records->find(id) : Records::iterator();
        if (!records || found == records->end()) {
            it = m_open.erase(it);
            continue;
        }
        checkOpen(id, seed, found->second, now, out);
        const State state = found->second.state;
        it = state == State::Confirming || state == State::Permitted ? std::next(it)
                                                                     : m_open.erase(it);
    }
    for (auto &[key, primary] : m_primaries) {
        if (!primary.closed && now - primary.heard > m_options.silentPrimary) {
            primary.closed = true;
            raiseFloor(primary, primary.newest.next());
        }
    }
    forgetClosed();
    if (!m_backup.isEmpty()) {
        const microseconds period =
                m_backupAccepted ? m_options.registrationPeriod : RegistrationRetry;
        if (now - m_registrationSent >= period) {
            sendRegistration(now, out);
        }
    }
}

void AtMostOnceRegistry::checkOpen(const RequestId &id, const RequestIdSeed &seed, Record &record,
                                   MonotonicTime now, RegistryMessages &out)
{
    if (record.state == State::Confirming) {
        if (now - record.askedAt >= m_options.permission) {
            answer(id, record.holder, ClaimOutcome::NoBackup, nullptr, false, out);
            release(id, seed, record, false, out);
        } else if (now - record.lastAskedAt >= m_options.confirmRetry) {
            record.lastAskedAt = now;
            out.push_back({ seed.backup, ConfirmRequest{ id, record.holder, record.attempt,
                                                         record.sequence, oldestServed() } });
        }
    } else if (record.state == State::Permitted
               && now - record.askedAt >= m_options.outcomeTimeout) {
        finish(id, record, Verdict::MayHaveRun, std::nullopt, record.takenOver, out);
        if (!record.takenOver) {
            copyOutcome(id, seed, record, Verdict::MayHaveRun, out);
        }
    }
}

void AtMostOnceRegistry::onClaim(const ClaimRequest &request, MonotonicTime now,
                                 RegistryMessages &out)
{
    const std::optional<RequestIdSeed> seed = seedOf(request.id);
    Records *records = seed ? ownRecords(*seed) : nullptr;
    if (!records) {
        answer(request.id, request.claim, ClaimOutcome::Stale, nullptr, false, out);
        return;
    }
    const auto found = records->find(request.id);
    Record *record = found == records->end() ? addRecord(*records, request.id) : &found->second;
    if (!record) {
        answer(request.id, request.claim, ClaimOutcome::Full, nullptr, false, out);
        return;
    }
    if (record->state == State::Finished) {
        answer(request.id, request.claim, ClaimOutcome::Finished, record, false, out);
        return;
    }
    if (rankOf(request.attempt) < record->attemptRank) {
        answer(request.id, request.claim, ClaimOutcome::Superseded, nullptr, false, out);
        return;
    }
    record->attempt = request.attempt;
    record->attemptRank = rankOf(request.attempt);
    switch (record->state) {
    case State::Free:
        record->holder = request.claim;
        ask(request.id, *seed, *record, now, out);
        break;
    case State::Confirming:
        if (record->holder != request.claim) {
            wait(request.id, *record, request.claim, false, out);
        }
        break;
    case State::Permitted:
        if (record->holder == request.claim) {
            answer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, false, out);
        } else {
            wait(request.id, *record, request.claim, false, out);
        }
        break;
    case State::BackupOwns:
        answer(request.id, request.claim, ClaimOutcome::AskBackup, nullptr, false, out);
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
        answer(request.id, request.claim, ClaimOutcome::Stale, nullptr, true, out);
        return;
    }
    const auto found = records->find(request.id);
    Record *record = found == records->end() ? addRecord(*records, request.id) : &found->second;
    if (!record) {
        answer(request.id, request.claim, ClaimOutcome::Full, nullptr, true, out);
        return;
    }
    if (record->state == State::Finished || record->state == State::Confirmed) {
        const bool finished = record->state == State::Finished;
        answer(request.id, request.claim,
               finished ? ClaimOutcome::Finished : ClaimOutcome::Confirmed, record, true, out);
        return;
    }
    if (rankOf(request.attempt) < record->attemptRank) {
        answer(request.id, request.claim, ClaimOutcome::Superseded, nullptr, true, out);
        return;
    }
    record->attempt = request.attempt;
    record->attemptRank = rankOf(request.attempt);
    if (record->state == State::Free) {
        record->takenOver = true;
        record->state = State::Permitted;
        record->holder = request.claim;
        record->askedAt = now;
        m_open.emplace(request.id, *seed);
        answer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, true, out);
    } else if (record->holder == request.claim) {
        answer(request.id, request.claim, ClaimOutcome::Permitted, nullptr, true, out);
    } else {
        wait(request.id, *record, request.claim, true, out);
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
        release(report.id, *seed, record, asBackup, out);
    } else if (open || better) {
        finish(report.id, record, report.verdict, report.response, asBackup, out);
        if (!asBackup) {
            copyOutcome(report.id, *seed, record, report.verdict, out);
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
        Primary &primary = m_primaries.at({ seed->primary, seed->primaryIncarnation });
        primary.heard = now;
        raiseFloor(primary, request.oldestServed);
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
        // A duplicated or delayed request. It is answered again only if it is the newest one and its
        // confirmation still holds.
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
        if (now - record.askedAt < m_options.permission) {
            record.state = State::Permitted;
            answer(confirm.id, record.holder, ClaimOutcome::Permitted, nullptr, false, out);
        } else {
            answer(confirm.id, record.holder, ClaimOutcome::Again, nullptr, false, out);
            release(confirm.id, *seed, record, false, out);
        }
        break;
    case ConfirmOutcome::TakenOver:
        record.state = State::BackupOwns;
        answer(confirm.id, record.holder, ClaimOutcome::AskBackup, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::AskBackup, false, out);
        break;
    case ConfirmOutcome::Superseded:
        record.state = State::Free;
        answer(confirm.id, record.holder, ClaimOutcome::Superseded, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::Again, false, out);
        break;
    case ConfirmOutcome::Full:
        record.state = State::Free;
        answer(confirm.id, record.holder, ClaimOutcome::Full, nullptr, false, out);
        answerWaiters(confirm.id, record, ClaimOutcome::Again, false, out);
        break;
    case ConfirmOutcome::Stale:
        record.state = State::Free;
        if (seed->backup == m_backup && seed->backupIncarnation == m_backupIncarnation) {
            m_backupAccepted = false;
        }
        answer(confirm.id, record.holder, ClaimOutcome::NoBackup, nullptr, false, out);
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
        finish(copy.id, record, copy.verdict, copy.response, true, none);
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
        Primary &primary = it->second;
        if (isNew) {
            primary.floor = registration.from;
        }
        // When the primary was closed, its records up to the newest generation seen were dropped, so
        // only a registration of a later generation may reopen it.
        if (primary.closed && registration.from > primary.newest) {
            primary.closed = false;
            primary.floor = registration.from;
        }
        if (!primary.closed) {
            primary.heard = now;
            primary.told = std::max(primary.told, registration.current);
            primary.newest = std::max(primary.newest, registration.current);
            raiseFloor(primary, registration.oldestServed);
            reply.accepted = true;
        }
    }
    out.push_back({ registration.primary, reply });
}

void AtMostOnceRegistry::onRegistrationAnswer(const RegistrationAnswer &reply, MonotonicTime now,
                                              RegistryMessages &out)
{
    if (reply.primaryIncarnation != m_incarnation || reply.backup != m_backup
        || reply.from != m_backupFrom) {
        return;
    }
    if (reply.backupIncarnation != m_backupIncarnation) {
        clearBackup();
    } else if (reply.accepted) {
        m_backupAccepted = true;
    } else {
        m_backupAccepted = false;
        beginGeneration(now);
        m_backupFrom = m_generation;
        sendRegistration(now, out);
    }
}

void AtMostOnceRegistry::advance(MonotonicTime now)
{
    if (m_generation != SeedGeneration() && now - m_generationSince >= m_options.seedPeriod) {
        beginGeneration(now);
    }
    while (!m_own.empty() && m_own.begin()->second.endedAt
           && now - *m_own.begin()->second.endedAt >= m_options.seedLife) {
        drop(m_own.begin()->second.records);
        m_own.erase(m_own.begin());
    }
}

void AtMostOnceRegistry::beginGeneration(MonotonicTime now)
{
    const auto last = m_own.find(m_generation);
    if (last != m_own.end()) {
        // If this process was paused, the generation ended when its period was over, not when the
        // process resumed.
        last->second.endedAt = std::min(now, m_generationSince + m_options.seedPeriod);
    }
    m_generation = m_generation.next();
    m_generationSince = now;
    m_own.emplace(m_generation, OwnGeneration{ m_backup, m_backupIncarnation, std::nullopt, {} });
}

void AtMostOnceRegistry::sendRegistration(MonotonicTime now, RegistryMessages &out)
{
    m_registrationSent = now;
    out.push_back(
            { m_backup, BackupRegistration{ m_self, m_incarnation, m_backup, m_backupIncarnation,
                                            m_backupFrom, m_generation, oldestServed() } });
}

SeedGeneration AtMostOnceRegistry::oldestServed() const
{
    return m_own.empty() ? m_generation : m_own.begin()->first;
}

AtMostOnceRegistry::Records *AtMostOnceRegistry::ownRecords(const RequestIdSeed &seed)
{
    if (seed.primary != m_self || seed.primaryIncarnation != m_incarnation) {
        return nullptr;
    }
    const auto found = m_own.find(seed.generation);
    if (found == m_own.end() || found->second.backup != seed.backup
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
    Primary &primary = found->second;
    // tick() checks this too, but this entry may have been paused since the last tick.
    if (!primary.closed && now - primary.heard > m_options.silentPrimary) {
        primary.closed = true;
        raiseFloor(primary, primary.newest.next());
    }
    if (primary.closed || seed.generation < primary.floor
        || seed.generation.value() > primary.told.value() + MaxGenerationsAhead) {
        return nullptr;
    }
    primary.newest = std::max(primary.newest, seed.generation);
    return &primary.generations[seed.generation];
}

AtMostOnceRegistry::Record *AtMostOnceRegistry::addRecord(Records &records, const RequestId &id)
{
    if (m_records >= m_options.maxRecords) {
        return nullptr;
    }
    ++m_records;
    return &records[id];
}

void AtMostOnceRegistry::drop(Records &records)
{
    m_records -= records.size();
    for (const auto &[id, record] : records) {
        if (record.response) {
            m_responseBytes -= sizeOf(*record.response);
        }
    }
    records.clear();
}

void AtMostOnceRegistry::forgetClosed()
{
    auto closed = static_cast<std::size_t>(
            std::count_if(m_primaries.begin(), m_primaries.end(),
                          [](const auto &it) { return it.second.closed; }));
    while (closed > MaxClosedPrimaries) {
        auto oldest = m_primaries.end();
        for (auto it = m_primaries.begin(); it != m_primaries.end(); ++it) {
            if (it->second.closed
                && (oldest == m_primaries.end() || it->second.heard < oldest->second.heard)) {
                oldest = it;
            }
        }
        m_primaries.erase(oldest);
        --closed;
    }
}

void AtMostOnceRegistry::raiseFloor(Primary &primary, SeedGeneration floor)
{
    primary.floor = std::max(primary.floor, floor);
    while (!primary.generations.empty() && primary.generations.begin()->first < primary.floor) {
        drop(primary.generations.begin()->second);
        primary.generations.erase(primary.generations.begin());
    }
}

void AtMostOnceRegistry::ask(const RequestId &id, const RequestIdSeed &seed, Record &record,
                             MonotonicTime now, RegistryMessages &out)
{
    record.state = State::Confirming;
    record.sequence = m_nextSequence++;
    record.askedAt = now;
    record.lastAskedAt = now;
    m_open.emplace(id, seed);
    out.push_back({ seed.backup, ConfirmRequest{ id, record.holder, record.attempt, record.sequence,
                                                 oldestServed() } });
}

void AtMostOnceRegistry::copyOutcome(const RequestId &id, const RequestIdSeed &seed,
                                     const Record &record, Verdict verdict,
                                     RegistryMessages &out) const
{
    out.push_back({ seed.backup, OutcomeCopy{ id, record.sequence, verdict, record.response } });
}

/// Marks the record as finished and answers the waiting claims. Of a response that is too large only
/// the verdict is kept.
void AtMostOnceRegistry::finish(const RequestId &id, Record &record, Verdict verdict,
                                const std::optional<FinishedResponse> &response, bool fromBackup,
                                RegistryMessages &out)
{
    record.state = State::Finished;
    record.verdict = verdict;
    if (response && !record.response) {
        const std::uint64_t size = sizeOf(*response);
        if (size <= m_options.maxResponse.value
            && m_responseBytes + size <= m_options.maxResponses.value) {
            record.response = response;
            m_responseBytes += size;
        }
    }
    answerWaiters(id, record, ClaimOutcome::Finished, fromBackup, out);
}

void AtMostOnceRegistry::answer(const RequestId &id, const ClaimKey &claim, ClaimOutcome outcome,
                                const Record *record, bool fromBackup, RegistryMessages &out) const
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
        answer(id, it, outcome, outcome == ClaimOutcome::Finished ? &record : nullptr, fromBackup,
               out);
    }
}

void AtMostOnceRegistry::wait(const RequestId &id, Record &record, const ClaimKey &claim,
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
    answer(id, claim, ClaimOutcome::InProgress, &record, fromBackup, out);
}

/// Frees the record after its claim ended without having run, and lets waiting claims try again.
void AtMostOnceRegistry::release(const RequestId &id, const RequestIdSeed &seed, Record &record,
                                 bool fromBackup, RegistryMessages &out) const
{
    record.state = State::Free;
    if (!fromBackup) {
        copyOutcome(id, seed, record, Verdict::NotRun, out);
    }
    answerWaiters(id, record, ClaimOutcome::Again, fromBackup, out);
}

} // namespace Tarragon
