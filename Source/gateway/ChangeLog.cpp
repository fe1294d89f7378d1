#include "gateway/ChangeLog.h"

namespace Tarragon {

void ChangeLog::begin(std::uint64_t revision, const std::optional<ListedState> &list)
{
    m_list = list.has_value() && list->revision == revision ? list : std::nullopt;
    m_pages.clear();
    m_changes = 0;
    m_first = revision;
    m_last = revision;
}

void ChangeLog::add(const Platform::ChangePage &page)
{
    if (page.revision < m_last) {
        return;
    }
    m_last = page.revision;
    if (page.changes.empty()) {
        return;
    }
    m_pages.push_back(page);
    m_changes += page.changes.size();
    while (m_changes > MaxChanges) {
        m_first = m_pages.front().revision;
        m_list.reset();
        m_changes -= m_pages.front().changes.size();
        m_pages.pop_front();
    }
}

std::optional<Platform::ChangePage> ChangeLog::since(std::uint64_t revision,
                                                     const std::optional<std::size_t> &listed) const
{
    // Nothing was made or changed in between, and so many objects mean that none was removed.
    const bool hasMissedNothing = m_list.has_value() && listed.has_value()
                                  && m_list->newest <= revision && m_list->count == *listed;
    if (m_first == 0 || (revision < m_first && !hasMissedNothing)) {
        return std::nullopt;
    }
    Platform::ChangePage result;
    result.outcome = Platform::CallOutcome::Done;
    result.revision = m_last;
    for (const Platform::ChangePage &page : m_pages) {
        if (page.revision > revision) {
            result.changes.insert(result.changes.end(), page.changes.begin(), page.changes.end());
        }
    }
    return result;
}

} // namespace Tarragon
