#include "StandIns/platform/StandInObjects.h"

namespace Tarragon {

const StandInObjects::Object *StandInObjects::find(const std::string &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> StandInObjects::put(const std::string &key, std::string value,
                                                 std::uint64_t ifVersion)
{
    if (versionOf(key) != ifVersion) {
        return std::nullopt;
    }
    m_objects[key] = Object{ ++m_revision, std::move(value) };
    return m_revision;
}

std::uint64_t StandInObjects::versionOf(const std::string &key) const
{
    const Object *object = find(key);
    return object == nullptr ? 0 : object->version;
}

std::vector<std::pair<std::string, std::uint64_t>>
StandInObjects::list(const std::string &prefix) const
{
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        result.emplace_back(it->first, it->second.version);
    }
    return result;
}

bool StandInObjects::hasChanged(const std::string &prefix, std::uint64_t afterRevision) const
{
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.version > afterRevision) {
            return true;
        }
    }
    return false;
}

} // namespace Tarragon
