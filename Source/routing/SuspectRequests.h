#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/SuspectRecord.h"

#include <sigc++/sigc++.h>

#include <map>
#include <set>
#include <vector>

namespace Tarragon {

/// Returns the ending of the target process with this start time.
TargetEnding endingOf(const TargetId &target, std::uint64_t startTimeMs);

/// Maintains what this entry knows about requests that were at targets when these ended, from its
/// own attempts and from other entries. Records of different entries merge in any order to the same
/// result.
class SuspectRequests
{
public:
    /// Bounds the memory, about 300 bytes for each record.
    static constexpr std::size_t MaxRecords = 4'096;
    /// Endings from which a record outlasts a pause of its caller.
    static constexpr std::size_t LastingEndings = 2;
    /// Time after the last use or change after which a record is forgotten; the second one applies
    /// from LastingEndings.
    static constexpr seconds Retention{ 60 };
    static constexpr seconds LastingRetention{ 3'600 };
    /// Time for which a change is passed on by gossip, which reaches 295 entries within about 4 s.
    static constexpr seconds GossipTime{ 5 };
    /// Bounds the bytes of an exchange, about 60 for each record.
    static constexpr std::size_t MaxGossiped = 64;

    /// Called when a target has ended while the request was at it and had not been answered.
    void onTargetEnded(RequestFingerprint request, TargetEnding ending, MonotonicTime now);
    /// Called when a target has run the request to its end. Clears it of suspicion.
    void onCompleted(RequestFingerprint request, MonotonicTime now);
    /// Called when a trial of the request was permitted after the third ending.
    void onLateTrial(RequestFingerprint request, MonotonicTime now);
    /// Takes over what another entry knows. Returns whether anything of it was unknown.
    bool merge(const SuspectRecord &record, MonotonicTime now);

    /// Returns what is known; a record without endings if nothing is.
    SuspectRecord find(RequestFingerprint request) const;
    /// Whether a request that has arrived now is under suspicion.
    bool isSuspect(RequestFingerprint request, MonotonicTime now);
    /// Returns the time at which the known endings of the request last increased.
    MonotonicTime lastEndingAt(RequestFingerprint request) const;

    /// Emitted when an observation of this entry changes a record.
    sigc::signal<void()> &ownChange() { return m_ownChange; }

    /// Returns the number of requests under suspicion.
    std::size_t count() const;
    /// Returns the records that have changed by this entry's own observations since the last call.
    std::vector<SuspectRecord> takeOwnChanges();
    /// Returns the records that have changed in the last GossipTime, the latest first. If `isAll`,
    /// also all lasting ones. At most MaxGossiped.
    std::vector<SuspectRecord> toGossip(bool isAll, MonotonicTime now) const;
    /// Returns a digest of the lasting records: entries whose digests differ know different ones.
    std::uint64_t digest() const;
    /// Removes records that are no longer used.
    void removeUnused(MonotonicTime now);

private:
    struct Knowledge
    {
        SuspectRecord record;
        MonotonicTime usedAt;
        MonotonicTime changedAt;
        MonotonicTime lastEndingAt;
    };

    Knowledge &knowledgeOf(RequestFingerprint request, MonotonicTime now);
    void recordOwnChange(Knowledge &knowledge, MonotonicTime now);
    /// Removes the record that was used least recently, one with few endings if there is any.
    void removeOne();
    static bool isLasting(const SuspectRecord &record)
    {
        return record.endings.size() >= LastingEndings;
    }

    std::map<RequestFingerprint, Knowledge> m_records;
    std::set<RequestFingerprint> m_ownChanges;
    sigc::signal<void()> m_ownChange;
};

} // namespace Tarragon
