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
            m_regained.emit();
        }
    }
    /// When a call last succeeded; nothing before the first.
    const std::optional<MonotonicTime> &succeededAt() const { return m_succeededAt; }
    /// Emitted with the reason when the first call fails.
    sigc::signal<void(const std::string &)> &lost() { return m_lost; }
    /// Emitted when a call succeeds again.
    sigc::signal<void()> &regained() { return m_regained; }

private:
    bool m_isLost = false;
    std::optional<MonotonicTime> m_succeededAt;
    sigc::signal<void(const std::string &)> m_lost;
    sigc::signal<void()> m_regained;
};

} // namespace Tarragon
