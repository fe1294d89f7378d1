#pragma once

#include "base/Ids.h"
#include "base/ListedInstance.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {

enum class MemberState {
    Live,
    /// Not reached from here, but not known to be gone either.
    Suspect,
    /// Takes no new work. Never changes for an incarnation.
    Leaving,
    /// Neither reached from here nor named by the platform.
    Gone,
};

struct MembershipOptions
{
    /// An entry without a heartbeat, or a target without a response, for this long counts as not
    /// reached.
    microseconds silence{ 3'000'000 };
    /// The list lags: an instance that it has just stopped naming is not gone before this time.
    microseconds listLag{ 5'000'000 };
    /// Disappearances from the list within this time count as one event.
    microseconds burst{ 10'000'000 };
    /// An instance named as leaving and then as live again, without having been absent between, is
    /// taken for live after this time. A shorter return may be an old state of the list.
    microseconds steadyReturn{ 30'000'000 };
    /// Heartbeats of an incarnation are ignored for this long after another one has replaced it.
    microseconds replacedLife{ 10'000'000 };
};

/// Which entries and targets of the document are there. The platform's list lags and the network
/// loses heartbeats, so neither alone removes a member that can be reached. When more than half of
/// a failure domain's members vanish from the list at once, the list has lost sight of the domain.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options = {});

    /// Takes the members that the document names. Known ones keep their state.
    void setMembers(const Configuration &configuration, MonotonicTime now);
    /// Takes a complete list from the platform.
    void onList(const std::vector<ListedInstance> &list, MonotonicTime now);
    void onHeartbeat(const InstanceId &entry, Incarnation incarnation, bool leaving,
                     MonotonicTime now);
    /// A request or probe got a response from the target.
    void onTargetReached(const TargetId &target, MonotonicTime now);

    /// Unknown members are Gone.
    MemberState state(const InstanceId &entry, MonotonicTime now) const;
    MemberState state(const TargetId &target, MonotonicTime now) const;
    /// Newest incarnation heard of an entry.
    std::optional<Incarnation> incarnation(const InstanceId &entry) const;
    /// Whether any entry of the domain is reached.
    bool isVisible(const FailureDomainId &domain, MonotonicTime now) const;
    /// The live entries of a domain, the first-ranked one first. The order depends on the purpose
    /// and the ids only, so that all who see the same members agree.
    std::vector<InstanceId> ranked(const FailureDomainId &domain, std::string_view purpose,
                                   MonotonicTime now) const;

private:
    struct Member
    {
        FailureDomainId domain;
        /// Last heartbeat or response; at first when the document named the member.
        MonotonicTime reachedAt;
        /// Entries only: the incarnation heard, and the one before it.
        std::optional<Incarnation> incarnation;
        Incarnation replaced;
        MonotonicTime replacedUntil;
        /// Entries only: incarnations that are known to leave.
        std::set<Incarnation> leavingIncarnations;
        /// Targets, and entries that were never heard: left by the list.
        bool leaving = false;
        bool listed = false;
        bool listedLeaving = false;
        std::optional<MonotonicTime> absentSince;
        /// The list has named it as live again since then.
        std::optional<MonotonicTime> returnedAt;
        /// It vanished from the list together with most of its domain.
        bool lostFromSight = false;
    };
    using Members = std::map<std::string, Member>;

    void takeListed(Member &member, bool isEntry, const ListedInstance &listed, MonotonicTime now);
    void holdBursts(MonotonicTime now);
    /// The state of a member that is gone or leaving; nothing for others.
    std::optional<MemberState> departure(const Member &member, MonotonicTime now) const;
    bool isReached(const Member &member, MonotonicTime now) const;
    bool isUnlisted(const Member &member, MonotonicTime now) const;
    static bool isLeaving(const Member &member);

    MembershipOptions m_options;
    Members m_entries;
    Members m_targets;
};

} // namespace Tarragon
