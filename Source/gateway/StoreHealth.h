#pragma once

#include <sigc++/sigc++.h>

#include <string>

namespace Tarragon {

/// Whether calls to the store succeed. Shared by all who call it, so that one of them tries while
/// the store is away and the others wait.
class StoreHealth
{
public:
    bool isLost() const { return m_isLost; }
    void onFailure(const std::string &reason)
    {
        if (!m_isLost) {
            m_isLost = true;
            m_lost.emit(reason);
        }
    }
    void onSuccess()
    {
        if (m_isLost) {
            m_isLost = false;
            m_regained.emit();
        }
    }
    /// Emitted with the reason when the first call fails.
    sigc::signal<void(const std::string &)> &lost() { return m_lost; }
    /// Emitted when a call succeeds again.
    sigc::signal<void()> &regained() { return m_regained; }

private:
    bool m_isLost = false;
    sigc::signal<void(const std::string &)> m_lost;
    sigc::signal<void()> m_regained;
};

} // namespace Tarragon
