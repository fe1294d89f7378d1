#include "steering/SlotLedger.h"

#include <algorithm>

namespace Tarragon {
namespace {

/// Late reports of a replaced incarnation are ignored for this long. Shorter than the time after
/// which an entry counts as silent, so that a wrong guess corrects itself.
constexpr microseconds ReplacedReportLife{ 5'000'000 };

/// A shortage older than this causes no request for grants any more.
constexpr microseconds ShortageLife{ 300'000 };

/// A neighbour that was not heard for this long is not asked for grants.
constexpr microseconds NeighbourLife{ 2'000'000 };

microseconds withDrift(microseconds duration, Share drift, int clocks)
{
    return duration + microseconds(duration.count() * drift.partsPerMillion * clocks / 1'000'000);
}

} // namespace

microseconds SlotLedgerOptions::silentOwnerTime() const
{
    // Two clocks differ from this entry's: that of the silent entry and that of the target.
    return withDrift(fenceAfter + longestRequest, clockDrift, 2) + 2 * transitMargin;
}

microseconds SlotLedgerOptions::lenderHold() const
{
    return withDrift(grantDuration, clockDrift, 2) + transitMargin;
}

SlotLedger::SlotLedger(const InstanceId &self, Incarnation incarnation,
                       const SlotLedgerOptions &options, MonotonicTime now)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
    , m_startedAt(now)
    , m_freshSince(now)
    , m_lastReport(now)
{}

void SlotLedger::adopt(const SlotShares &shares, MonotonicTime now)
{
    observe(now);
    if (!m_history.empty() && shares.generation <= current()) {
        return;
    }
    if (!m_fresh && shares.previous > current()) {
        becomeFresh(now);
    }
    if (m_fresh) {
        // What others may act on is unknown anyway, so that older documents tell nothing.
        m_history.clear();
        for (auto &[id, other] : m_others) {
            other.since = Generation();
        }
        // Others need time to adopt this document, too.
        m_freshSince = now;
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
    for (auto &[id, other] : m_others) {
        if (other.report && other.report->settled <= current()) {
            other.settled = std::max(other.settled, other.report->settled);
        }
    }
    trackOthers(now);
    updateSettled(now);
    dropPast(now);
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
    observe(now);
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || m_leaving.contains(target) || found->second.weight <= 0) {
        return SlotRefusal::NoTarget;
    }
    return take(target, found->second, now, deadline, needed);
}

SlotResult SlotLedger::acquireAny(const ServiceId &service, const std::set<TargetId> &excluded,
                                  MonotonicTime now, MonotonicTime deadline, microseconds needed)
{
    observe(now);
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
    ++m_nextTie;
    std::pair<const TargetId, TargetState> *best = nullptr;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto *it = candidates[(i + m_nextTie) % candidates.size()];
        const TargetState &state = it->second;
        const int own = usable(it->first, state, now);
        const int ownFree = std::max(0, own - ownUse(state, now));
        const int extra = freeBorrowed(state, now, needed);
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
            it->second.lastShortage = now;
        }
        return now < deadline ? shortage(now) : SlotRefusal::DeadlinePassed;
    }
    return take(best->first, best->second, now, deadline, needed);
}

SlotResult SlotLedger::take(const TargetId &target, TargetState &state, MonotonicTime now,
                            MonotonicTime deadline, microseconds needed)
{
    if (deadline <= now) {
        return SlotRefusal::DeadlinePassed;
    }
    SlotPermit permit{ m_nextPermit, target, false, deadline };
    if (usable(target, state, now) > ownUse(state, now)) {
        permit.runUntil = std::min(deadline, now + m_options.longestRequest);
        state.ownPermits.insert(permit.id);
    } else {
        const microseconds least = std::max(needed, m_options.minimumRun);
        Borrowed *best = nullptr;
        for (Borrowed &it : state.borrowed) {
            if (it.permit == 0 && it.expiry - now >= least && (!best || it.expiry > best->expiry)) {
                best = &it;
            }
        }
        if (!best) {
            state.lastShortage = now;
            return shortage(now);
        }
        permit.borrowed = true;
        permit.runUntil = std::min(deadline, best->expiry);
        best->permit = permit.id;
    }
    m_permits.emplace(permit.id, Permit{ target, m_epoch, std::nullopt });
    ++m_nextPermit;
    return permit;
}

SlotRefusal SlotLedger::shortage(MonotonicTime now) const
{
    return isWaitingForOthers(now) ? SlotRefusal::NotYetOwned : SlotRefusal::NoFreeSlot;
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
    observe(now);
    giveBack(permitId, now);
}

void SlotLedger::giveBack(std::uint64_t permitId, MonotonicTime now)
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
    for (Borrowed &it : state->second.borrowed) {
        if (it.permit == permitId) {
            it.permit = 0;
            it.idleSince = now;
        }
    }
    updateSettled(now);
}

void SlotLedger::abort(std::uint64_t permitId, MonotonicTime now)
{
    observe(now);
    const auto found = m_permits.find(permitId);
    if (found != m_permits.end() && !found->second.releaseAt) {
        found->second.releaseAt = now + m_options.transitMargin;
    }
}

std::vector<GrantRequest> SlotLedger::requestsToSend(MonotonicTime now)
{
    observe(now);
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
            const bool due =
                    it->expiry > now && it->expiry - now < m_options.grantDuration / 2
                    && !m_leaving.contains(target)
                    && (!it->renewalSentAt || now - *it->renewalSentAt > m_options.requestTimeout);
            if (due) {
                requestTo(it->lender, it->lenderIncarnation).renewals.push_back(it->id);
                it->renewalSentAt = now;
            }
            ++it;
        }
    }
    std::vector<std::pair<InstanceId, Incarnation>> neighbours;
    for (const auto &[id, other] : m_others) {
        if (other.report && now - other.heard < NeighbourLife) {
            neighbours.emplace_back(id, other.report->fromIncarnation);
        }
    }
    if (!neighbours.empty() && !m_fresh) {
        ++m_nextNeighbour;
        for (auto &[target, state] : m_targets) {
            const bool wanted =
                    !m_leaving.contains(target) && state.weight > 0 && state.lastShortage
                    && now - *state.lastShortage < ShortageLife
                    && (!state.lastWanted || now - *state.lastWanted > m_options.requestTimeout);
            if (wanted) {
                const auto &[to, incarnation] = neighbours[m_nextNeighbour % neighbours.size()];
                requestTo(to, incarnation).wanted.push_back(target);
                state.lastWanted = now;
            }
        }
    }
    std::vector<GrantRequest> requests;
    for (auto &[key, request] : byLender) {
        request.from = m_self;
        request.fromIncarnation = m_incarnation;
        request.sequence = m_nextSequence++;
        m_pending.emplace(request.sequence, now);
        requests.push_back(std::move(request));
    }
    return requests;
}

GrantResponse SlotLedger::onGrantRequest(const GrantRequest &request, MonotonicTime now)
{
    observe(now);
    const auto key = std::make_tuple(request.from, request.fromIncarnation, request.sequence);
    const auto answered = m_answers.find(key);
    if (answered != m_answers.end()) {
        return answered->second.response;
    }
    GrantResponse response{
        m_self,           m_incarnation,           request.from, request.fromIncarnation,
        request.sequence, m_options.grantDuration, {},           {}
    };
    if (request.toIncarnation == m_incarnation) {
        for (auto &[target, state] : m_targets) {
            std::erase_if(state.lent, [&](const Lent &it) {
                return it.borrower == request.from
                       && it.borrowerIncarnation == request.fromIncarnation
                       && std::find(request.returns.begin(), request.returns.end(), it.id)
                                  != request.returns.end();
            });
            for (Lent &it : state.lent) {
                const bool asked =
                        it.borrower == request.from
                        && it.borrowerIncarnation == request.fromIncarnation
                        && std::find(request.renewals.begin(), request.renewals.end(), it.id)
                                   != request.renewals.end();
                // A lent slot beyond the allowance has to come back for the document to settle.
                if (asked && it.heldUntil > now && mayLend(target, state, now)
                    && ownUse(state, now) <= usable(target, state, now)) {
                    it.heldUntil = now + m_options.lenderHold();
                    response.renewed.push_back(it.id);
                }
            }
        }
    }
    for (const TargetId &it : request.wanted) {
        const auto found = m_targets.find(it);
        if (found == m_targets.end() || !mayLend(it, found->second, now)
            || lendable(it, found->second, now) <= 0) {
            continue;
        }
        const GrantId id(m_nextGrant++);
        found->second.lent.push_back(
                Lent{ id, request.from, request.fromIncarnation, now + m_options.lenderHold() });
        response.granted.push_back(SlotGrant{ id, it });
    }
    m_answers.emplace(key, Answer{ response, now });
    updateSettled(now);
    return response;
}

void SlotLedger::onGrantResponse(const GrantResponse &response, MonotonicTime now)
{
    observe(now);
    const auto pending = m_pending.find(response.sequence);
    if (response.to != m_self || response.toIncarnation != m_incarnation
        || pending == m_pending.end()) {
        return;
    }
    // The lender may have counted from any moment after the request was sent.
    const MonotonicTime expiry = pending->second + response.duration;
    m_pending.erase(pending);
    for (auto &[target, state] : m_targets) {
        for (Borrowed &it : state.borrowed) {
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
            found->second.borrowed.push_back(Borrowed{
                    it.id, response.from, response.fromIncarnation, expiry, 0, now, std::nullopt });
        }
    }
}

std::vector<InstanceId> SlotLedger::others() const
{
    std::vector<InstanceId> ids;
    ids.reserve(m_others.size());
    for (const auto &it : m_others) {
        ids.push_back(it.first);
    }
    return ids;
}

ShareReport SlotLedger::reportFor(const InstanceId &to, MonotonicTime now)
{
    observe(now);
    updateSettled(now);
    ShareReport report;
    report.from = m_self;
    report.fromIncarnation = m_incarnation;
    report.sequence = m_nextReport++;
    report.adopted = current();
    report.settled = m_settled;
    report.closed = m_fresh ? Generation() : std::min(m_settled, oldestInUse(now, &to));
    const auto other = m_others.find(to);
    if (other != m_others.end() && other->second.report) {
        report.echoedIncarnation = other->second.report->fromIncarnation;
        report.echoedSequence = other->second.report->sequence;
    }
    m_lastReport = now;
    return report;
}

void SlotLedger::onShareReport(const ShareReport &report, MonotonicTime now)
{
    observe(now);
    auto found = m_others.find(report.from);
    if (found == m_others.end()) {
        // An entry that this entry's documents do not name may act on one that names it, or wait
        // for a report from here.
        if (report.from == m_self) {
            return;
        }
        found = m_others.emplace(report.from, OtherState()).first;
    }
    OtherState &other = found->second;
    if (other.report && other.report->fromIncarnation != report.fromIncarnation) {
        if (other.replaced == report.fromIncarnation && now < other.replacedUntil) {
            return;
        }
        other.replaced = other.report->fromIncarnation;
        other.replacedUntil = now + ReplacedReportLife;
        other.report.reset();
        other.settled = Generation();
    }
    if (other.report && report.sequence <= other.report->sequence) {
        return;
    }
    other.report = report;
    other.heard = now;
    if (report.settled <= current()) {
        other.settled = std::max(other.settled, report.settled);
    }
    endFreshIfKnown(now);
    dropPast(now);
}

int SlotLedger::allowance(const TargetId &target, MonotonicTime now) const
{
    if (m_history.empty() || m_fresh || isFenced(now)) {
        return 0;
    }
    const int share = leastShare(target, oldestInUse(now, nullptr), current());
    // A predecessor may have lent all slots but the one that is never lent.
    return now - m_startedAt < m_options.lenderHold() ? std::min(share, 1) : share;
}

int SlotLedger::running(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    const auto used = std::count_if(found->second.borrowed.begin(), found->second.borrowed.end(),
                                    [](const Borrowed &it) { return it.permit != 0; });
    return static_cast<int>(found->second.ownPermits.size()) + static_cast<int>(used);
}

int SlotLedger::lent(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    return ownUse(found->second, now) - static_cast<int>(found->second.ownPermits.size());
}

int SlotLedger::borrowed(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return 0;
    }
    return static_cast<int>(std::count_if(found->second.borrowed.begin(),
                                          found->second.borrowed.end(),
                                          [now](const Borrowed &it) { return it.expiry > now; }));
}

int SlotLedger::freeSlots(const ServiceId &service, MonotonicTime now) const
{
    int sum = 0;
    for (const auto &[target, state] : m_targets) {
        if (state.service == service && !m_leaving.contains(target) && state.weight > 0) {
            sum += std::max(0, usable(target, state, now) - ownUse(state, now));
        }
    }
    return sum;
}

bool SlotLedger::isWaitingForOthers(MonotonicTime now) const
{
    return m_fresh || isFenced(now);
}

void SlotLedger::observe(MonotonicTime now)
{
    if (isFenced(now)) {
        becomeFresh(now);
    }
    if (m_others.empty()) {
        // Without neighbours there is nobody to report to; the fence then notices pauses only.
        m_lastReport = now;
    }
    endFreshIfKnown(now);
    std::vector<std::uint64_t> aborted;
    for (const auto &[id, permit] : m_permits) {
        if (permit.releaseAt && *permit.releaseAt <= now) {
            aborted.push_back(id);
        }
    }
    for (const std::uint64_t it : aborted) {
        giveBack(it, now);
    }
    for (auto &[target, state] : m_targets) {
        std::erase_if(state.lent, [now](const Lent &it) { return it.heldUntil <= now; });
        std::erase_if(state.borrowed,
                      [now](const Borrowed &it) { return it.permit == 0 && it.expiry <= now; });
    }
    std::erase_if(m_pending,
                  [&](const auto &it) { return now - it.second > m_options.grantDuration; });
    std::erase_if(m_answers,
                  [&](const auto &it) { return now - it.second.at > m_options.lenderHold(); });
}

void SlotLedger::becomeFresh(MonotonicTime now)
{
    m_fresh = true;
    ++m_epoch;
    m_freshSince = now;
    m_freshReport = m_nextReport;
    m_lastReport = now;
    for (auto &[id, other] : m_others) {
        other.report.reset();
        other.settled = Generation();
        other.heard = now;
    }
}

void SlotLedger::endFreshIfKnown(MonotonicTime now)
{
    if (!m_fresh || m_history.empty()) {
        return;
    }
    // All that was in use before is over after this time, whoever used it.
    const bool everythingOver = now - m_freshSince > m_options.silentOwnerTime();
    const Generation oldest = m_history.begin()->first;
    bool historyKnown = false;
    bool anyHeard = false;
    for (const auto &[id, other] : m_others) {
        if (isSilent(other, now)) {
            continue;
        }
        const bool current = other.report && other.report->echoedIncarnation == m_incarnation
                             && other.report->echoedSequence >= m_freshReport;
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
    // Without a neighbour that knows the past, an instance that the document names no more is given
    // the time in which it adopts that document.
    const bool cold =
            (anyHeard || m_others.empty())
            && now - m_freshSince > std::max(m_options.lenderHold(), m_options.coldStartHold);
    if (historyKnown || cold || everythingOver) {
        m_fresh = false;
    }
}

void SlotLedger::trackOthers(MonotonicTime now)
{
    for (const auto &[generation, document] : m_history) {
        for (const InstanceId &it : document.seats) {
            if (it == m_self || m_others.contains(it)) {
                continue;
            }
            OtherState other;
            other.heard = now;
            other.since = generation == m_history.begin()->first ? Generation() : generation;
            m_others.emplace(it, other);
        }
    }
}

void SlotLedger::dropPast(MonotonicTime now)
{
    if (m_fresh || m_history.size() < 2) {
        return;
    }
    const Generation oldest = std::min(oldestInUse(now, nullptr), m_settled);
    while (m_history.size() > 1 && std::next(m_history.begin())->first <= oldest) {
        m_history.erase(m_history.begin());
    }
    std::erase_if(m_others, [&](const auto &other) {
        return isSilent(other.second, now)
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
    return now - m_lastReport > m_options.fenceAfter;
}

bool SlotLedger::isSilent(const OtherState &other, MonotonicTime now) const
{
    return now - other.heard > m_options.silentOwnerTime();
}

Generation SlotLedger::current() const
{
    return m_history.empty() ? Generation() : m_history.rbegin()->first;
}

Generation SlotLedger::settledOf(const OtherState &other) const
{
    return std::max(other.settled, other.since);
}

Generation SlotLedger::oldestInUse(MonotonicTime now, const InstanceId *except) const
{
    Generation oldest = current();
    for (const auto &[id, other] : m_others) {
        if ((except && id == *except) || isSilent(other, now)) {
            continue;
        }
        oldest = std::min(oldest, settledOf(other));
    }
    return oldest;
}

int SlotLedger::leastShare(const TargetId &target, Generation from, Generation to) const
{
    std::optional<int> least;
    for (auto it = m_history.begin(); it != m_history.end() && it->first <= to; ++it) {
        // A document is past once the next one is known to be settled on by all.
        const auto next = std::next(it);
        if (next != m_history.end() && next->first <= from) {
            continue;
        }
        // A target that an older document does not name was used by nobody under it.
        const auto share = it->second.shares.find(target);
        if (share != it->second.shares.end()) {
            least = std::min(least.value_or(share->second), share->second);
        } else if (next == m_history.end()) {
            return 0;
        }
    }
    return least.value_or(0);
}

int SlotLedger::ownUse(const TargetState &state, MonotonicTime now) const
{
    const auto lent = std::count_if(state.lent.begin(), state.lent.end(),
                                    [now](const Lent &it) { return it.heldUntil > now; });
    return static_cast<int>(state.ownPermits.size()) + static_cast<int>(lent);
}

int SlotLedger::usable(const TargetId &target, const TargetState &state, MonotonicTime now) const
{
    const int own = allowance(target, now);
    if (own == 0 || state.ramp >= 1) {
        return own;
    }
    return std::max(1, static_cast<int>(own * state.ramp));
}

int SlotLedger::lendable(const TargetId &target, const TargetState &state, MonotonicTime now) const
{
    const int own = usable(target, state, now);
    const int use = ownUse(state, now);
    const int lent = use - static_cast<int>(state.ownPermits.size());
    return std::min(own - use, own - 1 - lent);
}

int SlotLedger::freeBorrowed(const TargetState &state, MonotonicTime now, microseconds needed) const
{
    const microseconds least = std::max(needed, m_options.minimumRun);
    return static_cast<int>(
            std::count_if(state.borrowed.begin(), state.borrowed.end(), [&](const Borrowed &it) {
                return it.permit == 0 && it.expiry - now >= least;
            }));
}

bool SlotLedger::mayLend(const TargetId &target, const TargetState &state, MonotonicTime now) const
{
    const bool shortNow =
            state.lastShortage && now - *state.lastShortage < m_options.lendAfterShortage;
    return !m_fresh && !m_leaving.contains(target) && !shortNow;
}

Generation SlotLedger::settled(MonotonicTime now) const
{
    // The predecessor's grants may exceed the share; they are not known here.
    if (now - m_startedAt < m_options.lenderHold()) {
        return Generation();
    }
    // After a missed document, requests from before it fit no document that others know.
    const bool idle = std::all_of(m_targets.begin(), m_targets.end(),
                                  [&](const auto &it) { return ownUse(it.second, now) == 0; });
    if (m_fresh && !idle) {
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
            return ownUse(it.second, now)
                   <= leastShare(it.first, std::min(from, generation), generation);
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
