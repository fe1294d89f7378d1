#include "routing/SuspectRequests.h"

#include "base/Digest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Tarragon {

namespace {

std::uint64_t hashOf(std::uint64_t number, std::uint64_t seed)
{
    return stableHash(std::to_string(number), seed);
}

} // namespace

TargetEnding endingOf(const TargetId &target, std::uint64_t startTimeMs)
{
    return TargetEnding(stableHash(target.value(), startTimeMs));
}

SuspectRequests::Knowledge &SuspectRequests::knowledgeOf(RequestFingerprint request,
                                                         MonotonicTime now)
{
    if (m_records.size() >= MaxRecords && !m_records.contains(request)) {
        removeOne();
    }
    Knowledge &knowledge = m_records[request];
    knowledge.record.fingerprint = request;
    knowledge.usedAt = now;
    return knowledge;
}

void SuspectRequests::recordOwnChange(Knowledge &knowledge, MonotonicTime now)
{
    knowledge.changedAt = now;
    m_ownChanges.insert(knowledge.record.fingerprint);
    m_ownChange.emit();
}

void SuspectRequests::onTargetEnded(RequestFingerprint request, TargetEnding ending,
                                    MonotonicTime now)
{
    Knowledge &knowledge = knowledgeOf(request, now);
    if (knowledge.record.endings.size() < SuspectRecord::MaxEndings
        && knowledge.record.endings.insert(ending).second) {
        knowledge.lastEndingAt = now;
        recordOwnChange(knowledge, now);
    }
}

void SuspectRequests::onCompleted(RequestFingerprint request, MonotonicTime now)
{
    const auto it = m_records.find(request);
    if (it == m_records.end() || !it->second.record.isSuspect()) {
        return;
    }
    Knowledge &knowledge = it->second;
    knowledge.record.endings.clear();
    knowledge.record.lateTrials = 0;
    knowledge.record.clearances = knowledge.record.clearances.next();
    recordOwnChange(knowledge, now);
}

void SuspectRequests::onLateTrial(RequestFingerprint request, MonotonicTime now)
{
    Knowledge &knowledge = knowledgeOf(request, now);
    ++knowledge.record.lateTrials;
    recordOwnChange(knowledge, now);
}

bool SuspectRequests::merge(const SuspectRecord &record, MonotonicTime now)
{
    const auto known = m_records.find(record.fingerprint);
    if (known == m_records.end() && !record.isSuspect()) {
        return false;
    }
    Knowledge &knowledge =
            known == m_records.end() ? knowledgeOf(record.fingerprint, now) : known->second;
    SuspectRecord &mine = knowledge.record;
    if (record.clearances < mine.clearances) {
        return false;
    }
    const SuspectRecord before = mine;
    if (record.clearances > mine.clearances) {
        mine = record;
    } else {
        mine.endings.insert(record.endings.begin(), record.endings.end());
        mine.lateTrials = std::max(mine.lateTrials, record.lateTrials);
    }
    while (mine.endings.size() > SuspectRecord::MaxEndings) {
        mine.endings.erase(std::prev(mine.endings.end()));
    }
    if (mine == before) {
        return false;
    }
    if (mine.endings.size() > before.endings.size()) {
        knowledge.lastEndingAt = now;
    }
    knowledge.changedAt = now;
    return true;
}

SuspectRecord SuspectRequests::find(RequestFingerprint request) const
{
    const auto it = m_records.find(request);
    if (it == m_records.end()) {
        SuspectRecord record;
        record.fingerprint = request;
        return record;
    }
    return it->second.record;
}

bool SuspectRequests::isSuspect(RequestFingerprint request, MonotonicTime now)
{
    const auto it = m_records.find(request);
    if (it == m_records.end()) {
        return false;
    }
    it->second.usedAt = now;
    return it->second.record.isSuspect();
}

MonotonicTime SuspectRequests::lastEndingAt(RequestFingerprint request) const
{
    const auto it = m_records.find(request);
    return it == m_records.end() ? MonotonicTime() : it->second.lastEndingAt;
}

std::size_t SuspectRequests::count() const
{
    return static_cast<std::size_t>(
            std::count_if(m_records.begin(), m_records.end(),
                          [](const auto &it) { return it.second.record.isSuspect(); }));
}

std::vector<SuspectRecord> SuspectRequests::takeOwnChanges()
{
    std::vector<SuspectRecord> changes;
    changes.reserve(m_ownChanges.size());
    for (const RequestFingerprint it : std::exchange(m_ownChanges, {})) {
        changes.push_back(find(it));
    }
    return changes;
}

std::vector<SuspectRecord> SuspectRequests::toGossip(bool isAll, MonotonicTime now) const
{
    std::vector<std::pair<MonotonicTime, const SuspectRecord *>> chosen;
    for (const auto &[request, knowledge] : m_records) {
        if (now - knowledge.changedAt < GossipTime || (isAll && isLasting(knowledge.record))) {
            chosen.emplace_back(knowledge.changedAt, &knowledge.record);
        }
    }
    std::stable_sort(chosen.begin(), chosen.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    chosen.resize(std::min(chosen.size(), MaxGossiped));
    std::vector<SuspectRecord> records;
    records.reserve(chosen.size());
    for (const auto &[changedAt, record] : chosen) {
        records.push_back(*record);
    }
    return records;
}

std::uint64_t SuspectRequests::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[request, knowledge] : m_records) {
        if (!isLasting(knowledge.record)) {
            continue;
        }
        std::uint64_t hash = hashOf(request.value(), knowledge.record.clearances.value());
        for (const TargetEnding it : knowledge.record.endings) {
            hash = hashOf(it.value(), hash);
        }
        digest ^= hashOf(knowledge.record.lateTrials, hash);
    }
    return digest;
}

void SuspectRequests::removeUnused(MonotonicTime now)
{
    std::erase_if(m_records, [now](const auto &it) {
        const seconds retention = isLasting(it.second.record) ? LastingRetention : Retention;
        return now - std::max(it.second.usedAt, it.second.changedAt) >= retention;
    });
}

void SuspectRequests::removeOne()
{
    const auto oldest =
            std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
                return std::make_pair(isLasting(a.second.record), a.second.usedAt)
                       < std::make_pair(isLasting(b.second.record), b.second.usedAt);
            });
    m_ownChanges.erase(oldest->first);
    m_records.erase(oldest);
}

} // namespace Tarragon
