#pragma once

#include "routing/EntryMembership.h"

#include <map>
#include <optional>
#include <set>

namespace Tarragon {

/// Tells since when the local entry issues the tokens of a workspace, if it does: from then on the
/// workspace's bucket fills, also while nobody asks for tokens. Until then another entry may have
/// granted tokens.
class UsageTenure
{
public:
    struct Start
    {
        MonotonicTime at;
        /// Whether all entries started with the local one, so that no other has granted tokens.
        bool isFleetStart = false;
    };

    /// Time for which losses of entries are kept; buckets are never older.
    static constexpr seconds Retention{ 60 };

    explicit UsageTenure(const EntryMembership &membership)
        : m_membership(membership)
    {}

    /// Records which entries are live. Must be called at least once a second.
    void observe(MonotonicTime now);
    /// Returns since when the local entry is the first by rank for the workspace among the live
    /// entries, and sees most of them.
    Start of(const WorkspaceName &workspace) const;

private:
    const EntryMembership &m_membership;
    std::optional<MonotonicTime> m_observedAt;
    bool m_hasMajority = false;
    Start m_start;
    /// Live entries that issue tokens, and the times at which others ceased to be.
    std::set<InstanceId> m_entries;
    std::map<InstanceId, MonotonicTime> m_losses;
};

} // namespace Tarragon
