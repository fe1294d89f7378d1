#include "steering/SlotLedger.h"

#include <algorithm>

namespace Tarragon {
namespace {

/// Delayed reports of a neighbour's previous incarnation are ignored for this long. Shorter than
/// the time after which a neighbour counts as timed out, so that taking the wrong incarnation for
/// the previous one corrects itself.
constexpr microseconds IgnoreReplacedReports{ 5'000'000 };

/// Age after which a shortage causes no request for grants any more.
constexpr microseconds ShortageLifetime{ 300'000 };

/// A neighbour that has sent no report for this long is not asked for grants.
constexpr microseconds MaxReportAgeForGrants{ 2'000'000 };

microseconds withDrift(microseconds duration, Share drift, int clocks)
{
    return duration + microseconds(duration.count() * drift.partsPerMillion * clocks / 1'000'000);
}

} // namespace

microseconds SlotLedgerOptions::neighbourTimeout() const
{
    // Two clocks differ from this entry's clock: those of the timed out neighbour and the target.
    return withDrift(fenceTimeout + maxRequestTime, clockDrift, 2) + 2 * transitMargin;
}

microseconds SlotLedgerOptions::lenderHoldTime() const
{
    return withDrift(grantDuration, clockDrift, 2) + transitMargin;
}

SlotLedger::SlotLedger(const InstanceId &self, Incarnation incarnation,
                       const SlotLedgerOptions &options, MonotonicTime now)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
    , m_startedAt(now)
    , m_recoveringSince(now)
    , m_lastReport(now)
{}

void SlotLedger::adopt(const SlotShares &shares, MonotonicTime now)
{
    advance(now);
    if (!m_history.empty() && shares.generation <= current()) {
        return;
    }
    if (!m_recovering && shares.previous > current()) {
        beginRecovery(now);
    }
    if (m_recovering) {
        // It is unknown which documents neighbours act on, so older documents are of no use.
        m_history.clear();
        for (auto &[id, other] : m_neighbours) {
            other.firstNamedIn = Generation();
        }
        // Neighbours need time to adopt this document, too.
        m_recoveringSince = now;
    }
    Document document{ shares.seats, {} };
    const auto seat = std::find(shares.seats.begin(), shares.seats.end(), m_self);
    const int own = seat == shares.seats.end() ? -1 : static_cast<int>(seat - shares.seats.begin());
    const int seats = static_cast<int>(shares.seats.size());
    for (const SlotTarget &it : shares.targets) {
        m_targets[it.id].service = it.service;
        document.shares[it.id] = staticShare(it.id, it.slots, own, seats).value;
    }
    m_history.emplace(shares.generation, std::move(document));
    for (auto &[id, other] : m_neighbours) {
        if (other.report && other.report->settled <= current()) {
            other.settled = std::max(other.settled, other.report->settled);
        }
    }
    trackNeighbours(now);
    updateSettled(now);
    dropObsolete(now);
}

void SlotLedger::setLeaving(const TargetId &target, bool leaving)
{
    if (leaving) {
        m_leaving.insert(target);
    } else {
        m_leaving.erase(target);
    }
}

void SlotLedger::setCondition(const TargetId &target, double weight, double ramp)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.weight = weight;
        found->second.ramp = ramp;
    }
}

SlotResult SlotLedger::acquire(const TargetId &target, MonotonicTime now, MonotonicTime deadline,
                               microseconds needed)
{
    advance(now);
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || m_leaving.contains(target) || found->second.weight <= 0) {
        return SlotRefusal::NoTarget;
    }
    return takeSlot(target, found->second, now, deadline, needed);
}

SlotResult SlotLedger::acquireAny(const ServiceId &service, const std::set<TargetId> &excluded,
                                  MonotonicTime now, MonotonicTime deadline, microseconds needed)
{
    advance(now);
    std::vector<std::pair<const TargetId, TargetState> *> candidates;
    for (auto &it : m_targets) {
        const TargetState &state = it.second;
        const bool known =
                !m_history.empty() && m_history.rbegin()->second.shares.contains(it.first);
        if (known && state.service == service && !m_leaving.contains(it.first) && state.weight > 0
            && !excluded.contains(it.first)) {
            candidates.push_back(&it);
        }
    }
    if (candidates.empty()) {
        return SlotRefusal::NoTarget;
    }
    ++m_tieRotation;
    std::pair<const TargetId, TargetState> *best = nullptr;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto *it = candidates[(i + m_tieRotation) % candidates.size()];
        const TargetState &state = it->second;
        const int own = usableOwnSlots(it->first, state, now);
        const int ownFree = std::max(0, own - usedOwnSlots(state, now));
        const int extra = freeBorrowedSlots(state, now, needed);
        const int total = std::max(1, own + static_cast<int>(state.borrowed.size()));
        const double score =
                static_cast<double>(ownFree + extra) / total * state.weight * state.ramp;
        if (score > bestScore) {
            best = it;
            bestScore = score;
        }
    }
    if (!best) {
        for (auto *it : candidates) {
            it->second.lastShortageAt = now;
        }
        return now < deadline ? shortageRefusal(now) : SlotRefusal::DeadlinePassed;
    }
    return takeSlot(best->first, best->second, now, deadline, needed);
}

SlotResult SlotLedger::takeSlot(const TargetId &target, TargetState &state, MonotonicTime now,
                                MonotonicTime deadline, microseconds needed)
{
    if (deadline <= now) {
        return SlotRefusal::DeadlinePassed;
    }
    SlotPermit permit{ m_nextPermit, target, false, deadline };
    if (usableOwnSlots(target, state, now) > usedOwnSlots(state, now)) {
        permit.runUntil = std::min(deadline, now + m_options.maxRequestTime);
        state.ownPermits.insert(permit.id);
    } else {
        const microseconds minTime = std::max(needed, m_options.minRunTime);
        BorrowedSlot *best = nullptr;
        for (BorrowedSlot &it : state.borrowed) {
            if (it.permit == 0 && it.expiry - now >= minTime
                && (!best || it.expiry > best->expiry)) {
                best = &it;
            }
        }
        if (!best) {
            state.lastShortageAt = now;
            return shortageRefusal(now);
        }
        permit.borrowed = true;
        permit.runUntil = std::min(deadline, best->expiry);
        best->permit = permit.id;
    }
    m_permits.emplace(permit.id, Permit{ target, m_epoch, std::nullopt });
    ++m_nextPermit;
    return permit;
}

SlotRefusal SlotLedger::shortageRefusal(MonotonicTime now) const
{
    return isRecovering(now) ? SlotRefusal::Recovering : SlotRefusal::NoFreeSlot;
}

bool SlotLedger::mayStart(const SlotPermit &permit, MonotonicTime now) const
{
    const auto found = m_permits.find(permit.id);
    if (found == m_permits.end() || found->second.releaseAt || found->second.epoch != m_epoch
        || isFenced(now)) {
        return false;
    }
    const auto state = m_targets.find(permit.target);
    return state != m_targets.end() && !m_leaving.contains(permit.target) && now < permit.runUntil;
}

void SlotLedger::release(std::uint64_t permitId, MonotonicTime now)
{
    advance(now);
    releaseSlot(permitId, now);
}

void SlotLedger::releaseSlot(std::uint64_t permitId, MonotonicTime now)
{
    const auto found = m_permits.find(permitId);
    if (found == m_permits.end()) {
        return;
    }
    const auto state = m_targets.find(found->second.target);
    m_permits.erase(found);
    if (state == m_targets.end()) {
        return;
    }
    state->second.ownPermits.erase(permitId);
    for (BorrowedSlot &it : state->second.borrowed) {
        if (it.permit == permitId) {
            it.permit = 0;
            it.idleSince = now;
        }
    }
    updateSettled(now);
}

void SlotLedger::abort(std::uint64_t permitId, MonotonicTime now)
{
    advance(now);
    const auto found = m_permits.find(permitId);
    if (found != m_permits.end() && !found->second.releaseAt) {
        found->second.releaseAt = now + m_options.transitMargin;
    }
}

std::vector<GrantRequest> SlotLedger::requestsToSend(MonotonicTime now)
{
    advance(now);
    std::map<std::pair<InstanceId, Incarnation>, GrantRequest> byLender;
    const auto requestTo = [&](const InstanceId &to, Incarnation incarnation) -> GrantRequest & {
        GrantRequest &request = byLender[{ to, incarnation }];
        request.to = to;
        request.toIncarnation = incarnation;
        return request;
    };
    for (auto &[target, state] : m_targets) {
        for (auto it = state.borrowed.begin(); it != state.borrowed.end();) {
            const bool idle = it->permit == 0 && now - it->idleSince > m_options.returnIdleAfter;
            if (it->permit == 0 && (idle || m_leaving.contains(target))) {
                requestTo(it->lender, it->lenderIncarnation).returns.push_back(it->id);
                it = state.borrowed.erase(it);
                continue;
            }
            const bool due = it->expiry > now && it->expiry - now < m_options.grantDuration / 2
                             && !m_leaving.contains(target)
                             && (!it->renewalSentAt
                                 || now - *it->renewalSentAt > m_options.grantRequestTimeout);
            if (due) {
                requestTo(it->lender, it->lenderIncarnation).renewals.push_back(it->id);
                it->renewalSentAt = now;
            }
            ++it;
        }
    }
    std::vector<std::pair<InstanceId, Incarnation>> neighbours;
    for (const auto &[id, other] : m_neighbours) {
        if (other.report && now - other.lastReportAt < MaxReportAgeForGrants) {
            neighbours.emplace_back(id, other.report->fromIncarnation);
        }
    }
    if (!neighbours.empty() && !m_recovering) {
        ++m_neighbourRotation;
        for (auto &[target, state] : m_targets) {
            const bool wanted =
                    !m_leaving.contains(target) && state.weight > 0 && state.lastShortageAt
                    && now - *state.lastShortageAt < ShortageLifetime
                    && (!state.lastRequestedAt
                        || now - *state.lastRequestedAt > m_options.grantRequestTimeout);
            if (wanted) {
                const auto &[to, incarnation] = neighbours[m_neighbourRotation % neighbours.size()];
                requestTo(to, incarnation).wanted.push_back(target);
                state.lastRequestedAt = now;
            }
        }
    }
    std::vector<GrantRequest> requests;
    for (auto &[key, request] : byLender) {
        request.from = m_self;
        request.fromIncarnation = m_incarnation;
        request.sequence = m_nextSequence++;
        m_pendingRequests.emplace(request.sequence, now);
        requests.push_back(std::move(request));
    }
    return requests;
}

GrantResponse SlotLedger::onGrantRequest(const GrantRequest &request, MonotonicTime now)
{
    advance(now);
    const auto key = std::make_tuple(request.from, request.fromIncarnation, request.sequence);
    const auto answered = m_sentResponses.find(key);
    if (answered != m_sentResponses.end()) {
        return answered->second.response;
    }
    GrantResponse response{
        m_self,           m_incarnation,           request.from, request.fromIncarnation,
        request.sequence, m_options.grantDuration, {},           {}
    };
    if (request.toIncarnation == m_incarnation) {
        for (auto &[target, state] : m_targets) {
            std::erase_if(state.lent, [&](const LentSlot &it) {
                return it.borrower == request.from
                       && it.borrowerIncarnation == request.fromIncarnation
                       && std::find(request.returns.begin(), request.returns.end(), it.id)
                                  != request.returns.end();
            });
            for (LentSlot &it : state.lent) {
                const bool asked =
                        it.borrower == request.from
                        && it.borrowerIncarnation == request.fromIncarnation
                        && std::find(request.renewals.begin(), request.renewals.end(), it.id)
                                   != request.renewals.end();
                // A lent slot beyond the allowance is not renewed, so that this entry can settle on
                // the document.
                if (asked && it.heldUntil > now && mayLend(target, state, now)
                    && usedOwnSlots(state, now) <= usableOwnSlots(target, state, now)) {
                    it.heldUntil = now + m_options.lenderHoldTime();
                    response.renewed.push_back(it.id);
                }
            }
        }
    }
    for (const TargetId &it : request.wanted) {
        const auto found = m_targets.find(it);
        if (found == m_targets.end() || !mayLend(it, found->second, now)
            || lendableSlots(it, found->second, now) <= 0) {
            continue;
        }
        const GrantId id(m_nextGrant++);
        found->second.lent.push_back(LentSlot{ id, request.from, request.fromIncarnation,
                                               now + m_options.lenderHoldTime() });
        response.granted.push_back(SlotGrant{ id, it });
    }
    m_sentResponses.emplace(key, SentResponse{ response, now });
    updateSettled(now);
    return response;
}

void SlotLedger::onGrantResponse(const GrantResponse &response, MonotonicTime now)
{
    advance(now);
    const auto pending = m_pendingRequests.find(response.sequence);
    if (response.to != m_self || response.toIncarnation != m_incarnation
        || pending == m_pendingRequests.end()) {
        return;
    }
    // The lender may have started to count at any time after the request was sent.
    const MonotonicTime expiry = pending->second + response.duration;
    m_pendingRequests.erase(pending);
    for (auto &[target, state] : m_targets) {
        for (BorrowedSlot &it : state.borrowed) {
            if (it.lender == response.from && it.lenderIncarnation == response.fromIncarnation
                && std::find(response.renewed.begin(), response.renewed.end(), it.id)
                           != response.renewed.end()) {
                it.expiry = std::max(it.expiry, expiry);
                it.renewalSentAt.reset();
            }
        }
    }
    if (expiry <= now) {
        return;
    }
    for (const SlotGrant &it : response.granted) {
        const auto found = m_targets.find(it.target);
        if (found != m_targets.end()) {
            found->second.borrowed.push_back(BorrowedSlot{
                    it.id, response.from, response.fromIncarnation, expiry, 0, now, std::nullopt });
        }
    }
}

std::vector<InstanceId> SlotLedger::others() const
{
    std::vector<InstanceId> ids;
    ids.reserve(m_neighbours.size());
    for (const auto &it : m_neighbours) {
        ids.push_back(it.first);
    }
    return ids;
}

ShareReport SlotLedger::reportFor(const InstanceId &to, MonotonicTime now)
{
    advance(now);
    updateSettled(now);
    ShareReport report;
    report.from = m_self;
    report.fromIncarnation = m_incarnation;
    report.sequence = m_nextReport++;
    report.adopted = current();
    report.settled = m_settled;
    report.closed = m_recovering ? Generation() : std::min(m_settled, oldestInUse(now, &to));
    const auto other = m_neighbours.find(to);
    if (other != m_neighbours.end() && other->second.report) {
        report.echoedIncarnation = other->second.report->fromIncarnation;
        report.echoedSequence = other->second.report->sequence;
    }
    m_lastReport = now;
    return report;
}

void SlotLedger::onShareReport(const ShareReport &report, MonotonicTime now)
{
    advance(now);
    auto found = m_neighbours.find(report.from);
    if (found == m_neighbours.end()) {
        // A neighbour that this entry's documents do not name may act on a document that names it,
        // or wait for a report of this entry.
        if (report.from == m_self) {
            return;
        }
        found = m_neighbours.emplace(report.from, NeighbourState()).first;
    }
    NeighbourState &other = found->second;
    if (other.report && other.report->fromIncarnation != report.fromIncarnation) {
        if (other.replacedIncarnation == report.fromIncarnation
            && now < other.ignoreReplacedUntil) {
            return;
        }
        other.replacedIncarnation = other.report->fromIncarnation;
        other.ignoreReplacedUntil = now + IgnoreReplacedReports;
        other.report.reset();
        other.settled = Generation();
    }
    if (other.report && report.sequence <= other.report->sequence) {
        return;
    }
    other.report = report;
    other.lastReportAt = now;
    if (report.settled <= current()) {
        other.settled = std::max(other.settled, report.settled);
    }
    endRecoveryIfKnown(now);
    dropObsolete(now);
}

int SlotLedger::allowance(const TargetId &target, MonotonicTime now) const
{
    if (m_history.empty() || m_recovering || isFenced(now)) {
        return 0;
    }
    const int share = minShare(target, oldestInUse(now, nullptr), current());
    // This entry's previous incarnation may have lent all slots but the one that is never lent.
    return now - m_startedAt < m_options.lenderHoldTime() ? std::min(share, 1) : share;
}

int SlotLedger::running(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    const auto used = std::count_if(found->second.borrowed.begin(), found->second.borrowed.end(),
                                    [](const BorrowedSlot &it) { return it.permit != 0; });
    return static_cast<int>(found->second.ownPermits.size()) + static_cast<int>(used);
}

int SlotLedger::lent(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    return usedOwnSlots(found->second, now) - static_cast<int>(found->second.ownPermits.size());
}

int SlotLedger::borrowed(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    return static_cast<int>(
            std::count_if(found->second.borrowed.begin(), found->second.borrowed.end(),
                          [now](const BorrowedSlot &it) { return it.expiry > now; }));
}

int SlotLedger::freeSlots(const ServiceId &service, MonotonicTime now) const
{
    int sum = 0;
    for (const auto &[target, state] : m_targets) {
        if (state.service == service && !m_leaving.contains(target) && state.weight > 0) {
            sum += std::max(0, usableOwnSlots(target, state, now) - usedOwnSlots(state, now));
        }
    }
    return sum;
}

bool SlotLedger::isRecovering(MonotonicTime now) const
{
    return m_recovering || isFenced(now);
}

void SlotLedger::advance(MonotonicTime now)
{
    if (isFenced(now)) {
        beginRecovery(now);
    }
    if (m_neighbours.empty()) {
        // Without neighbours there is nobody to report to, so only a pause of the process may fence
        // this entry.
        m_lastReport = now;
    }
    endRecoveryIfKnown(now);
    std::vector<std::uint64_t> aborted;
    for (const auto &[id, permit] : m_permits) {
        if (permit.releaseAt && *permit.releaseAt <= now) {
            aborted.push_back(id);
        }
    }
    for (const std::uint64_t it : aborted) {
        releaseSlot(it, now);
    }
    for (auto &[target, state] : m_targets) {
        std::erase_if(state.lent, [now](const LentSlot &it) { return it.heldUntil <= now; });
        std::erase_if(state.borrowed,
                      [now](const BorrowedSlot &it) { return it.permit == 0 && it.expiry <= now; });
    }
    std::erase_if(m_pendingRequests,
                  [&](const auto &it) { return now - it.second > m_options.grantDuration; });
    std::erase_if(m_sentResponses, [&](const auto &it) {
        return now - it.second.sentAt > m_options.lenderHoldTime();
    });
}

void SlotLedger::beginRecovery(MonotonicTime now)
{
    m_recovering = true;
    ++m_epoch;
    m_recoveringSince = now;
    m_firstRecoveryReport = m_nextReport;
    m_lastReport = now;
    for (auto &[id, other] : m_neighbours) {
        other.report.reset();
        other.settled = Generation();
        other.lastReportAt = now;
    }
}

void SlotLedger::endRecoveryIfKnown(MonotonicTime now)
{
    if (!m_recovering || m_history.empty()) {
        return;
    }
    // After this time, all requests and grants from before the recovery have ended.
    const bool everythingEnded = now - m_recoveringSince > m_options.neighbourTimeout();
    const Generation oldest = m_history.begin()->first;
    bool historyKnown = false;
    bool anyHeard = false;
    for (const auto &[id, other] : m_neighbours) {
        if (isTimedOut(other, now)) {
            continue;
        }
        const bool current = other.report && other.report->echoedIncarnation == m_incarnation
                             && other.report->echoedSequence >= m_firstRecoveryReport;
        if (!current || other.report->adopted > this->current() || other.report->settled < oldest) {
            return;
        }
        anyHeard = true;
        if (other.report->closed >= oldest) {
            historyKnown = true;
        } else if (other.report->closed != Generation()) {
            return;
        }
    }
    // If no neighbour knows the history, the recovery lasts long enough for an instance that the
    // document no longer names to adopt that document.
    const bool cold = (anyHeard || m_neighbours.empty())
                      && now - m_recoveringSince
                                 > std::max(m_options.lenderHoldTime(), m_options.coldStartWait);
    if (historyKnown || cold || everythingEnded) {
        m_recovering = false;
    }
}

void SlotLedger::trackNeighbours(MonotonicTime now)
{
    for (const auto &[generation, document] : m_history) {
        for (const InstanceId &it : document.seats) {
            if (it == m_self || m_neighbours.contains(it)) {
                continue;
            }
            NeighbourState other;
            other.lastReportAt = now;
            other.firstNamedIn = generation == m_history.begin()->first ? Generation() : generation;
            m_neighbours.emplace(it, other);
        }
    }
}

void SlotLedger::dropObsolete(MonotonicTime now)
{
    if (m_recovering || m_history.size() < 2) {
        return;
    }
    const Generation oldest = std::min(oldestInUse(now, nullptr), m_settled);
    while (m_history.size() > 1 && std::next(m_history.begin())->first <= oldest) {
        m_history.erase(m_history.begin());
    }
    std::erase_if(m_neighbours, [&](const auto &other) {
        return isTimedOut(other.second, now)
               && std::none_of(m_history.begin(), m_history.end(), [&](const auto &it) {
                      const std::vector<InstanceId> &seats = it.second.seats;
                      return std::find(seats.begin(), seats.end(), other.first) != seats.end();
                  });
    });
    std::erase_if(m_targets, [&](const auto &target) {
        const TargetState &state = target.second;
        const bool named = std::any_of(m_history.begin(), m_history.end(), [&](const auto &it) {
            return it.second.shares.contains(target.first);
        });
        return !named && state.ownPermits.empty() && state.lent.empty() && state.borrowed.empty();
    });
}

bool SlotLedger::isFenced(MonotonicTime now) const
{
    return now - m_lastReport > m_options.fenceTimeout;
}

bool SlotLedger::isTimedOut(const NeighbourState &other, MonotonicTime now) const
{
    return now - other.lastReportAt > m_options.neighbourTimeout();
}

Generation SlotLedger::current() const
{
    return m_history.empty() ? Generation() : m_history.rbegin()->first;
}

Generation SlotLedger::settledOf(const NeighbourState &other) const
{
    return std::max(other.settled, other.firstNamedIn);
}

Generation SlotLedger::oldestInUse(MonotonicTime now, const InstanceId *except) const
{
    Generation oldest = current();
    for (const auto &[id, other] : m_neighbours) {
        if ((except && id == *except) || isTimedOut(other, now)) {
            continue;
        }
        oldest = std::min(oldest, settledOf(other));
    }
    return oldest;
}

int SlotLedger::minShare(const TargetId &target, Generation from, Generation to) const
{
    std::optional<int> minimum;
    for (auto it = m_history.begin(); it != m_history.end() && it->first <= to; ++it) {
        // A document is no longer in use once all entries have settled on the next one.
        const auto next = std::next(it);
        if (next != m_history.end() && next->first <= from) {
            continue;
        }
        // Under an older document that does not name the target, no entry used it.
        const auto share = it->second.shares.find(target);
        if (share != it->second.shares.end()) {
            minimum = std::min(minimum.value_or(share->second), share->second);
        } else if (next == m_history.end()) {
            return 0;
        }
    }
    return minimum.value_or(0);
}

int SlotLedger::usedOwnSlots(const TargetState &state, MonotonicTime now) const
{
    const auto lent = std::count_if(state.lent.begin(), state.lent.end(),
                                    [now](const LentSlot &it) { return it.heldUntil > now; });
    return static_cast<int>(state.ownPermits.size()) + static_cast<int>(lent);
}

int SlotLedger::usableOwnSlots(const TargetId &target, const TargetState &state,
                               MonotonicTime now) const
{
    const int own = allowance(target, now);
    if (own == 0 || state.ramp >= 1) {
        return own;
    }
    return std::max(1, static_cast<int>(own * state.ramp));
}

int SlotLedger::lendableSlots(const TargetId &target, const TargetState &state,
                              MonotonicTime now) const
{
    const int own = usableOwnSlots(target, state, now);
    const int use = usedOwnSlots(state, now);
    const int lent = use - static_cast<int>(state.ownPermits.size());
    return std::min(own - use, own - 1 - lent);
}

int SlotLedger::freeBorrowedSlots(const TargetState &state, MonotonicTime now,
                                  microseconds needed) const
{
    const microseconds minTime = std::max(needed, m_options.minRunTime);
    return static_cast<int>(std::count_if(
            state.borrowed.begin(), state.borrowed.end(),
            [&](const BorrowedSlot &it) { return it.permit == 0 && it.expiry - now >= minTime; }));
}

bool SlotLedger::mayLend(const TargetId &target, const TargetState &state, MonotonicTime now) const
{
    const bool shortNow =
            state.lastShortageAt && now - *state.lastShortageAt < m_options.noLendingAfterShortage;
    return !m_recovering && !m_leaving.contains(target) && !shortNow;
}

Generation SlotLedger::settled(MonotonicTime now) const
{
    // The grants of this entry's previous incarnation are unknown and may exceed the share.
    if (now - m_startedAt < m_options.lenderHoldTime()) {
        return Generation();
    }
    // After a missed document, running requests from before it fit no document that neighbours
    // know.
    const bool idle = std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &it) {
        return usedOwnSlots(it.second, now) == 0;
    });
    if (m_recovering && !idle) {
        return m_settled;
    }
    Generation result = m_settled;
    const Generation from = std::min(oldestInUse(now, nullptr), current());
    for (const auto &document : m_history) {
        const Generation generation = document.first;
        if (generation <= result) {
            continue;
        }
        const bool fits = std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &it) {
            return usedOwnSlots(it.second, now)
                   <= minShare(it.first, std::min(from, generation), generation);
        });
        if (!fits) {
            break;
        }
        result = generation;
    }
    return result;
}

void SlotLedger::updateSettled(MonotonicTime now)
{
    m_settled = settled(now);
}

} // namespace Tarragon
