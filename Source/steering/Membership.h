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

/// State of a member as seen by this process.
enum class MemberState {
    Live,
    /// Unresponsive to this process, but not known to be removed by the platform.
    Suspect,
    /// Accepts no new work. An incarnation never returns from this state.
    Leaving,
    /// Unresponsive to this process and missing from the platform's list.
    Gone,
};

struct MembershipOptions
{
    /// An entry without a heartbeat, or a target without a response, for longer than this time
    /// counts as unresponsive.
    microseconds silence{ 3'000'000 };
    /// Time for which an instance must be missing from the platform's list before it can count as
    /// gone, because the list lags.
    microseconds listLag{ 5'000'000 };
    /// Disappearances from the list within this time count as one event.
    microseconds massDisappearanceWindow{ 10'000'000 };
    /// An instance that the list names as leaving and then as live again, without having been
    /// absent in between, counts as live after this time. A shorter return may be an old state of
    /// the list.
    microseconds returnConfirmationTime{ 30'000'000 };
    /// Heartbeats of an incarnation are ignored for this long after another one has replaced it.
    microseconds replacedIncarnationTime{ 10'000'000 };
};

/// Determines which entries and targets of the document are live, from the platform's list of
/// instances and from heartbeats and responses. The list lags and the network loses heartbeats, so
/// neither a missing list item nor missing heartbeats alone makes a member Gone. When more than
/// half of a failure domain's members vanish from the list at once, the list is assumed to be
/// incomplete for this domain, and the members are not treated as removed.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options = {});

    /// Sets the members to those that the document names. Known members keep their state.
    void setMembers(const Configuration &configuration, MonotonicTime now);
    /// Applies a complete list of instances from the platform.
    void onList(const std::vector<ListedInstance> &list, MonotonicTime now);
    /// Applies a heartbeat of an entry; "leaving" is whether the entry reports that it is leaving.
    void onHeartbeat(const InstanceId &entry, Incarnation incarnation, bool leaving,
                     MonotonicTime now);
    /// Records that a request to the target or a probe of it got a response.
    void onTargetReached(const TargetId &target, MonotonicTime now);

    /// Returns the state of a member; Gone if the document does not name it.
    MemberState state(const InstanceId &entry, MonotonicTime now) const;
    MemberState state(const TargetId &target, MonotonicTime now) const;
    /// Returns the incarnation of the last heartbeat of an entry that was not ignored.
    std::optional<Incarnation> incarnation(const InstanceId &entry) const;
    /// Whether any entry of the domain is responsive.
    bool hasResponsiveEntry(const FailureDomainId &domain, MonotonicTime now) const;
    /// Returns the live entries of a domain in order of rank. The order depends only on the purpose
    /// and the ids, so that all processes that see the same live entries agree.
    std::vector<InstanceId> ranked(const FailureDomainId &domain, std::string_view purpose,
                                   MonotonicTime now) const;

private:
    struct Member
    {
        FailureDomainId domain;
        /// Time of the last heartbeat or response; at first, the time when the member was added.
        MonotonicTime lastReachedAt;
        /// Entries only: the incarnation of the last heartbeat, and the incarnation before it,
        /// whose heartbeats are ignored until the given time.
        std::optional<Incarnation> incarnation;
        Incarnation replacedIncarnation;
        MonotonicTime ignoreReplacedUntil;
        /// Entries only: incarnations that the list or a heartbeat reported as leaving.
        std::set<Incarnation> leavingIncarnations;
        /// Targets, and entries without any heartbeat so far: the list reported them as leaving.
        bool leaving = false;
        bool listed = false;
        bool listedLeaving = false;
        std::optional<MonotonicTime> absentSince;
        /// Since when the list has named a leaving member as live again.
        std::optional<MonotonicTime> returnedAt;
        /// Whether the member vanished from the list together with more than half of its domain.
        bool vanishedWithDomain = false;
    };
    using Members = std::map<std::string, Member>;

    void applyListedInstance(Member &member, bool isEntry, const ListedInstance &listed,
                             MonotonicTime now);
    void markMassDisappearances(MonotonicTime now);
    /// Returns the state of a member that is gone or leaving; nothing for other members.
    std::optional<MemberState> departureState(const Member &member, MonotonicTime now) const;
    bool isResponsive(const Member &member, MonotonicTime now) const;
    bool isUnlisted(const Member &member, MonotonicTime now) const;
    static bool isLeaving(const Member &member);

    MembershipOptions m_options;
    Members m_entries;
    Members m_targets;
};

} // namespace Tarragon
