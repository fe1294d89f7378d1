#pragma once

#include "base/Units.h"

#include <sigc++/sigc++.h>

#include <optional>
#include <string>

namespace Tarragon {

/// Whether calls to the store succeed. Shared by all who call it, so that one of them tries while
/// the store is away and the others wait.
class StoreHealth
{
public:
    bool isLost() const { return m_isLost; }
    /// A call that began at the given moment has failed. A call that began before another one
    /// succeeded says nothing new.
    void onFailure(const std::string &reason, MonotonicTime began)
    {
        if (m_isLost || (m_succeededAt.has_value() && began <= *m_succeededAt)) {
            return;
        }
        m_isLost = true;
        m_lost.emit(reason);
    }
    void onSuccess(MonotonicTime now)
    {
        m_succeededAt = now;
        if (m_isLost) {
            m_isLost = false;
            m_regainedAt = now;
            m_regained.emit();
        }
    }
    /// Others saw the store return at the given moment. An outage that none of the own calls has
    /// met counts all the same.
    void onOutageSeen(MonotonicTime regainedAt)
    {
        if (m_isLost || (m_regainedAt.has_value() && *m_regainedAt >= regainedAt - SameOutage)) {
            return;
        }
        m_lost.emit("outage seen by a neighbour");
        m_regainedAt = regainedAt;
        m_regained.emit();
    }
    /// When a call first succeeded after an outage; nothing before the first outage.
    const std::optional<MonotonicTime> &regainedAt() const { return m_regainedAt; }
    /// When a call last succeeded; nothing before the first.
    const std::optional<MonotonicTime> &succeededAt() const { return m_succeededAt; }
    /// Emitted with the reason when the first call fails.
    sigc::signal<void(const std::string &)> &lost() { return m_lost; }
    /// Emitted when a call succeeds again.
    sigc::signal<void()> &regained() { return m_regained; }

private:
    /// Entries meet the end of one outage within this time of each other.
    static constexpr milliseconds SameOutage{ 3'000 };

    bool m_isLost = false;
    std::optional<MonotonicTime> m_regainedAt;
    std::optional<MonotonicTime> m_succeededAt;
    sigc::signal<void(const std::string &)> m_lost;
    sigc::signal<void()> m_regained;
};

} // namespace Tarragon
