#include "gateway/ChangeLog.h"

namespace Tarragon {

void ChangeLog::begin(std::uint64_t revision)
{
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
        m_changes -= m_pages.front().changes.size();
        m_pages.pop_front();
    }
}

std::optional<Platform::ChangePage> ChangeLog::since(std::uint64_t revision) const
{
    if (m_first == 0 || revision < m_first) {
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
