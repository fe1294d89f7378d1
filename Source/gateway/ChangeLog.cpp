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

void ChangeLog::begin(std::uint64_t revision, const std::optional<ListedState> &list)
{
    m_list = list.has_value() && list->revision == revision ? list : std::nullopt;
    m_changes.clear();
    m_first = revision;
    m_last = revision;
}

void ChangeLog::add(const Platform::ChangePage &page)
{
    if (page.revision < m_last) {
        return;
    }
    const std::size_t before = m_changes.size();
    std::uint64_t lastPlaced = m_last;
    bool isOrdered = true;
    for (const Platform::StoredChange &it : page.changes) {
        LoggedChange change;
        change.name = it.item.name;
        change.revision = it.item.revision;
        change.isRemoval = it.isRemoval;
        change.spec = it.isRemoval ? std::string() : dumpJson(it.item.spec);
        change.pageRevision = page.revision;
        change.isPlaced =
                !it.isRemoval && it.item.revision > m_last && it.item.revision <= page.revision;
        isOrdered = isOrdered && (!change.isPlaced || change.revision > lastPlaced);
        lastPlaced = change.isPlaced ? change.revision : lastPlaced;
        m_changes.push_back(std::move(change));
    }
    if (!isOrdered) {
        // Such a page is told as a whole.
        std::for_each(m_changes.begin() + static_cast<std::ptrdiff_t>(before), m_changes.end(),
                      [](LoggedChange &it) { it.isPlaced = false; });
    }
    m_last = page.revision;
    while (m_changes.size() > MaxChanges) {
        m_first = m_changes.front().pageRevision;
        m_list.reset();
        while (!m_changes.empty() && m_changes.front().pageRevision == m_first) {
            m_changes.pop_front();
        }
    }
}

ChangeLog::Position ChangeLog::firstBehind(std::uint64_t revision) const
{
    Position first = std::partition_point(
            m_changes.begin(), m_changes.end(),
            [revision](const LoggedChange &it) { return it.pageRevision <= revision; });
    if (first == m_changes.end()) {
        return first;
    }
    // The revision may lie within a page.
    const std::uint64_t page = first->pageRevision;
    for (Position it = first; it != m_changes.end() && it->pageRevision == page; ++it) {
        if (it->isPlaced && it->revision <= revision) {
            first = it + 1;
        }
    }
    return first;
}

std::optional<ChangeNews> ChangeLog::since(std::uint64_t revision,
                                           const std::optional<std::size_t> &listed,
                                           const NewsLimits &limits) const
{
    // Nothing was made or changed in between, and so many objects mean that none was removed.
    const bool hasMissedNothing = m_list.has_value() && listed.has_value()
                                  && m_list->newest <= revision && m_list->count == *listed;
    if (m_first == 0 || (revision < m_first && !hasMissedNothing)) {
        return std::nullopt;
    }
    ChangeNews news;
    std::size_t length = 0;
    std::size_t placed = 0;
    for (Position it = firstBehind(revision); it != m_changes.end(); ++it) {
        length += lengthOf(*it);
        if (length <= limits.bytes) {
            news.changes.push_back(&*it);
            if (it->isPlaced) {
                placed = news.changes.size();
                news.revision = it->revision;
            }
        }
    }
    if (length <= limits.bytes) {
        news.revision = m_last;
        news.isComplete = true;
        return news;
    }
    if (placed == 0 || length > limits.answers * limits.bytes) {
        return std::nullopt;
    }
    // Only behind a placed change is it known up to which revision all are there.
    news.changes.resize(placed);
    return news;
}

} // namespace Tarragon
