#include "gateway/ChangeLog.h"

#include "document/JsonFields.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

std::size_t lengthOf(const LoggedChange &change)
{
    return change.name.size() + change.spec.size();
}

} // namespace

void ChangeLog::reset(const StoreRevision &revision, const std::optional<ListSummary> &list)
{
    m_list = list.has_value() && list->revision == revision ? list : std::nullopt;
    m_changes.clear();
    m_bytes = 0;
    m_firstRevision = revision;
    m_lastRevision = revision;
}

void ChangeLog::add(const Platform::ChangePage &page)
{
    if (!(page.revision >= m_lastRevision)) {
        return;
    }
    const std::size_t previousSize = m_changes.size();
    StoreRevision lastOwnRevision = m_lastRevision;
    bool isSorted = true;
    for (const Platform::StoredChange &it : page.changes) {
        LoggedChange change;
        change.name = it.item.name;
        change.revision = it.item.revision;
        change.isRemoval = it.isRemoval;
        change.spec = it.isRemoval ? std::string() : dumpJson(it.item.spec);
        change.pageRevision = page.revision;
        change.hasOwnRevision = !it.isRemoval && it.item.revision > m_lastRevision
                                && it.item.revision <= page.revision;
        isSorted = isSorted && (!change.hasOwnRevision || change.revision > lastOwnRevision);
        lastOwnRevision = change.hasOwnRevision ? change.revision : lastOwnRevision;
        m_bytes += lengthOf(change);
        m_changes.push_back(std::move(change));
    }
    if (!isSorted) {
        // An unsorted result can only be relayed as a unit, because a revision within it does not
        // separate the changes that a neighbour has from those that it lacks.
        std::for_each(m_changes.begin() + static_cast<std::ptrdiff_t>(previousSize),
                      m_changes.end(), [](LoggedChange &it) { it.hasOwnRevision = false; });
    }
    m_lastRevision = page.revision;
    while (m_changes.size() > MaxChanges || m_bytes > MaxBytes) {
        discardOldest();
    }
}

void ChangeLog::discardOldest()
{
    m_firstRevision = m_changes.front().pageRevision;
    m_list.reset();
    while (!m_changes.empty() && m_changes.front().pageRevision == m_firstRevision) {
        m_bytes -= lengthOf(m_changes.front());
        m_changes.pop_front();
    }
}

ChangeLog::Position ChangeLog::firstAfter(const StoreRevision &revision) const
{
    Position first = std::partition_point(
            m_changes.begin(), m_changes.end(),
            [&revision](const LoggedChange &it) { return it.pageRevision <= revision; });
    if (first == m_changes.end()) {
        return first;
    }
    // The neighbour may have received only the first changes of a result.
    const StoreRevision page = first->pageRevision;
    for (Position it = first; it != m_changes.end() && it->pageRevision == page; ++it) {
        if (it->hasOwnRevision && it->revision <= revision) {
            first = it + 1;
        }
    }
    return first;
}

std::optional<ChangeDelta> ChangeLog::since(const StoreRevision &revision,
                                            const std::optional<std::size_t> &listed,
                                            const DeltaLimits &limits) const
{
    // No object was added or changed between the two lists, and an equal number of objects means
    // that none was removed either.
    const bool isListEquivalent = m_list.has_value() && listed.has_value()
                                  && m_list->newestRevision <= revision && m_list->count == *listed;
    if (!m_firstRevision.isKnown() || revision.era != m_firstRevision.era
        || (revision < m_firstRevision && !isListEquivalent)) {
        return std::nullopt;
    }
    ChangeDelta delta;
    std::size_t length = 0;
    std::size_t completeCount = 0;
    for (Position it = firstAfter(revision); it != m_changes.end(); ++it) {
        length += lengthOf(*it);
        if (length <= limits.maxReplyBytes) {
            delta.changes.push_back(&*it);
            if (it->hasOwnRevision) {
                completeCount = delta.changes.size();
                delta.revision = it->revision;
            }
        }
    }
    if (length <= limits.maxReplyBytes) {
        delta.revision = m_lastRevision;
        delta.isComplete = true;
        return delta;
    }
    if (completeCount == 0 || length > limits.maxReplies * limits.maxReplyBytes) {
        return std::nullopt;
    }
    // The reply must end with a change that has its own revision: only there is it certain that all
    // changes up to that revision are included.
    delta.changes.resize(completeCount);
    return delta;
}

} // namespace Tarragon
