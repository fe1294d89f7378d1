#pragma once

#include "base/Units.h"
#include "platform/StoreRevision.h"

#include <sigc++/sigc++.h>

#include <algorithm>
#include <optional>
#include <string>

namespace Tarragon {

/// Tracks whether calls to the store succeed. Shared by all components that call the store, so that
/// during an outage one of them retries and the others wait for its success.
class StoreHealth
{
public:
    bool isUnavailable() const { return m_isUnavailable; }
    /// Records that a call which started at the given time has failed. Ignored if another call has
    /// succeeded since that start: a late failure of an old call does not show a new outage.
    void onFailure(const std::string &reason, MonotonicTime began)
    {
        m_lastFailureBeganAt = std::max(m_lastFailureBeganAt.value_or(began), began);
        if (m_isUnavailable || (m_lastSuccessAt.has_value() && began <= *m_lastSuccessAt)) {
            return;
        }
        m_isUnavailable = true;
        m_becameUnavailable.emit(reason);
    }
    /// Records that a call has succeeded.
    void onSuccess(MonotonicTime now)
    {
        m_retrier = nullptr;
        m_lastSuccessAt = now;
        if (m_isUnavailable) {
            m_isUnavailable = false;
            m_outageEndedAt = now;
            m_becameAvailable.emit();
        }
    }
    /// Makes the given component the one that retries during the outage. Returns whether it is; if
    /// not, another one is retrying and the component waits for its success.
    bool claimRetry(const void *component)
    {
        if (m_retrier == nullptr) {
            m_retrier = component;
        }
        return m_retrier == component;
    }
    /// Called when a component stops retrying without a success.
    void releaseRetry(const void *component)
    {
        if (m_retrier == component) {
            m_retrier = nullptr;
        }
    }
    /// Records the era of a response of the store, or one that a neighbour has seen. The store may
    /// state none (0).
    void onEra(StoreEra era)
    {
        if (era <= m_era) {
            return;
        }
        const bool isFirst = m_era == StoreEra();
        m_era = era;
        if (!isFirst) {
            m_eraChanged.emit();
        }
    }
    /// Latest known era of the store; 0 before the first response.
    StoreEra era() const { return m_era; }
    /// Emitted when the store has been restored from a copy: all that is known of its contents must
    /// be read again.
    sigc::signal<void()> &eraChanged() { return m_eraChanged; }
    /// Records an outage that a neighbour observed and that ended at the given time. It counts even
    /// if no call of this entry failed during the outage.
    void onNeighbourOutage(MonotonicTime outageEndedAt)
    {
        if (m_isUnavailable
            || (m_outageEndedAt.has_value()
                && *m_outageEndedAt >= outageEndedAt - SameOutageTime)) {
            return;
        }
        m_becameUnavailable.emit("outage reported by a neighbour");
        m_outageEndedAt = outageEndedAt;
        m_becameAvailable.emit();
    }
    /// Time at which a call first succeeded after the last outage; nothing before the first outage.
    const std::optional<MonotonicTime> &outageEndedAt() const { return m_outageEndedAt; }
    /// Time at which a call last succeeded; nothing before the first success.
    const std::optional<MonotonicTime> &lastSuccessAt() const { return m_lastSuccessAt; }
    /// Latest start of a call that has failed; nothing before the first failure.
    const std::optional<MonotonicTime> &lastFailureBeganAt() const { return m_lastFailureBeganAt; }
    /// Emitted with the reason when the first call fails, that is, when an outage starts.
    sigc::signal<void(const std::string &)> &becameUnavailable() { return m_becameUnavailable; }
    /// Emitted when a call succeeds again, that is, when the outage ends.
    sigc::signal<void()> &becameAvailable() { return m_becameAvailable; }

private:
    /// Two reported ends of an outage that are at most this far apart belong to the same outage:
    /// entries notice its end within this time of each other.
    static constexpr milliseconds SameOutageTime{ 3'000 };

    bool m_isUnavailable = false;
    /// The component that retries during the outage; null if there is none.
    const void *m_retrier = nullptr;
    std::optional<MonotonicTime> m_outageEndedAt;
    std::optional<MonotonicTime> m_lastSuccessAt;
    std::optional<MonotonicTime> m_lastFailureBeganAt;
    sigc::signal<void(const std::string &)> m_becameUnavailable;
    sigc::signal<void()> m_becameAvailable;
    StoreEra m_era;
    sigc::signal<void()> m_eraChanged;
};

} // namespace Tarragon
