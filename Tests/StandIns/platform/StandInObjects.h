#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// The objects of the stand-in of the platform's store, in memory. The revision of an object is the
/// store's at its last change.
class StandInObjects
{
public:
    struct Object
    {
        std::string kind;
        std::string name;
        std::uint64_t revision = 0;
        nlohmann::json spec;

        /// The object as the platform's API shows it.
        nlohmann::json toJson() const;
    };
    struct Change
    {
        Object object;
        bool isRemoval = false;
    };

    /// Null if there is no such object.
    const Object *find(const std::string &kind, const std::string &name) const;
    /// Creates or changes an object whatever it is. Returns its revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);
    /// Removes an object, if there is one.
    void remove(const std::string &kind, const std::string &name);
    /// Revision of an object; 0 if there is none.
    std::uint64_t revisionOf(const std::string &kind, const std::string &name) const;
    /// Objects of the kind behind the given name, in the order of their names.
    std::vector<Object> list(const std::string &kind, const std::string &after) const;
    /// Changes of the kind after the revision; nothing if that history is gone.
    std::optional<std::vector<Change>> changesSince(const std::string &kind,
                                                    std::uint64_t revision) const;
    /// Forgets all changes up to now.
    void forgetHistory()
    {
        m_history.clear();
        m_historyFrom = m_revision;
    }
    std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::deque<Change> m_history;
    /// Changes after this revision are remembered.
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_revision = 0;
};

} // namespace Tarragon
