#include "StandIns/platform/StandInObjects.h"

namespace Tarragon {

nlohmann::json StandInObjects::Object::toJson() const
{
    return { { "metadata",
               { { "name", name },
                 { "revision", revision },
                 { "finalizers", nlohmann::json::array() },
                 { "delete_requested", false } } },
             { "spec", spec },
             { "status", nullptr } };
}

const StandInObjects::Object *StandInObjects::find(const std::string &kind,
                                                   const std::string &name) const
{
    const auto it = m_objects.find({ kind, name });
    return it == m_objects.end() ? nullptr : &it->second;
}

std::uint64_t StandInObjects::put(const std::string &kind, const std::string &name,
                                  nlohmann::json spec)
{
    const Object *before = find(kind, name);
    if (before != nullptr && before->spec == spec) {
        return before->revision;
    }
    Object object{ kind, name, ++m_revision, std::move(spec) };
    m_history.push_back(Change{ object, false });
    m_objects[{ kind, name }] = std::move(object);
    return m_revision;
}

void StandInObjects::remove(const std::string &kind, const std::string &name)
{
    const auto it = m_objects.find({ kind, name });
    if (it == m_objects.end()) {
        return;
    }
    Object object = std::move(it->second);
    m_objects.erase(it);
    object.revision = ++m_revision;
    m_history.push_back(Change{ std::move(object), true });
}

void StandInObjects::restore(const StandInObjects &copy)
{
    const std::uint64_t era = m_era + 1;
    *this = copy;
    m_era = era;
}

std::uint64_t StandInObjects::revisionOf(const std::string &kind, const std::string &name) const
{
    const Object *object = find(kind, name);
    return object == nullptr ? 0 : object->revision;
}

std::vector<StandInObjects::Object> StandInObjects::list(const std::string &kind,
                                                         const std::string &after) const
{
    std::vector<Object> result;
    for (auto it = m_objects.upper_bound({ kind, after });
         it != m_objects.end() && it->first.first == kind; ++it) {
        result.push_back(it->second);
    }
    return result;
}

std::optional<std::vector<StandInObjects::Change>>
StandInObjects::changesSince(const std::string &kind, std::uint64_t revision) const
{
    if (revision < m_historyFrom || revision > m_revision) {
        return std::nullopt;
    }
    std::vector<Change> result;
    for (const Change &it : m_history) {
        if (it.object.kind == kind && it.object.revision > revision) {
            result.push_back(it);
        }
    }
    return result;
}

} // namespace Tarragon
