#pragma once

#include "base/Ids.h"
#include "routing/TargetLimit.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Tarragon {

/// Change of a target's limit, for the log and for other entries.
struct TargetLimitChange
{
    TargetId target;
    TargetLimit limit;
};

/// Maintains what this entry knows about the limits of targets, from their responses and from other
/// entries. The knowledge outlasts a target's registration and a restart of the target under its
/// id: the registration may have expired, and the first response of a new process shows whether it
/// states a limit too.
class TargetLimits
{
public:
    /// Time after the last statement or use after which a limit is forgotten.
    static constexpr seconds Retention{ 600 };
    /// Time for which a change is passed on; gossip reaches 295 entries within about 4 s.
    static constexpr seconds GossipTime{ 5 };
    /// Bounds the bytes of an exchange, about 50 for each limit.
    static constexpr std::size_t MaxGossiped = 32;

    /// Called with the limit in a response of the target, nothing if the response states none.
    void onStated(const TargetId &target, std::optional<RequestRate> rate, MonotonicTime now);
    /// Called when a response of the target states a limit that cannot be read; what is known
    /// stays.
    void onMalformed(const TargetId &target) { m_malformed.insert(target); }
    /// Takes over what another entry knows if it is newer.
    void merge(const TargetId &target, const TargetLimit &limit, MonotonicTime now);
    /// Returns the limit; without a rate if none is known.
    TargetLimit find(const TargetId &target) const;
    bool isLimited(const TargetId &target) const { return find(target).rate.has_value(); }

    /// Called when no request may be sent to the target before this time, because its limit or its
    /// cold rate is used up.
    void setExhaustedUntil(const TargetId &target, MonotonicTime time);
    /// Returns the time from which a request may be sent to the target as far as known here.
    MonotonicTime exhaustedUntil(const TargetId &target) const;

    /// Returns the number of targets that state a limit.
    std::size_t limitedCount() const;
    /// Returns the limits that have changed since the last call.
    std::vector<TargetLimitChange> takeChanges();
    /// Returns the targets that have stated a malformed limit since the last call.
    std::set<TargetId> takeMalformed() { return std::exchange(m_malformed, {}); }
    /// Returns the limits that have changed here in the last GossipTime, at most MaxGossiped, the
    /// latest first. Other entries thus hear of a limit before they send requests to the target,
    /// and of its end although they do not.
    std::vector<TargetLimitChange> recentChanges(MonotonicTime now) const;
    /// Removes the knowledge about targets that have not been heard of for the retention time.
    void removeUnused(MonotonicTime now);

private:
    struct Knowledge
    {
        TargetLimit limit;
        MonotonicTime exhaustedUntil;
        MonotonicTime heardAt;
        MonotonicTime changedAt;
        bool isChangeReported = true;
    };

    static void apply(Knowledge &knowledge, const TargetLimit &limit, MonotonicTime now);

    std::map<TargetId, Knowledge> m_targets;
    std::set<TargetId> m_malformed;
};

} // namespace Tarragon
