#include "StandIns/platform/StandInInstances.h"

#include <utility>

namespace Tarragon {

void StandInInstances::set(nlohmann::json instances, MonotonicTime now)
{
    static constexpr std::size_t MaxChanges = 10'000;
    m_changes.push_back({ now, std::move(instances) });
    if (m_changes.size() > MaxChanges) {
        m_changes.pop_front();
    }
}

nlohmann::json StandInInstances::visible(MonotonicTime now, milliseconds lag) const
{
    nlohmann::json result = nlohmann::json::array();
    for (const Change &change : m_changes) {
        if (change.at + lag > now) {
            break;
        }
        result = change.instances;
    }
    return result;
}

} // namespace Tarragon
