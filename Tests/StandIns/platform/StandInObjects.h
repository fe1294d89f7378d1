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

/// Objects of the platform stand-in's store, kept in memory. The revision of an object is the
/// revision that the store had after the last change of the object.
class StandInObjects
{
public:
    struct Object
    {
        std::string kind;
        std::string name;
        std::uint64_t revision = 0;
        nlohmann::json spec;

        /// Returns the object in the JSON form of the platform's API.
        nlohmann::json toJson() const;
    };
    struct Change
    {
        Object object;
        bool isRemoval = false;
    };

    /// Returns the object, or null if it does not exist.
    const Object *find(const std::string &kind, const std::string &name) const;
    /// Creates or replaces an object without checking its revision. Returns the revision of the
    /// object, which is unchanged if the spec is the same.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);
    /// Removes an object if it exists.
    void remove(const std::string &kind, const std::string &name);
    /// Returns the revision of an object, or 0 if it does not exist.
    std::uint64_t revisionOf(const std::string &kind, const std::string &name) const;
    /// Returns the objects of the kind whose names sort after the given name, ordered by name.
    std::vector<Object> list(const std::string &kind, const std::string &after) const;
    /// Returns the changes of the kind after the revision, or nothing if that part of the history
    /// has been dropped or the revision has not been given out.
    std::optional<std::vector<Change>> changesSince(const std::string &kind,
                                                    std::uint64_t revision) const;
    /// Drops the history of all changes so far.
    void forgetHistory()
    {
        m_history.clear();
        m_historyFrom = m_revision;
    }
    std::uint64_t revision() const { return m_revision; }
    /// Replaces the contents by those of an earlier copy and begins a new era, in which revisions
    /// since the copy are given out again.
    void restore(const StandInObjects &copy);
    /// Number of the era, starting at 1.
    std::uint64_t era() const { return m_era; }

private:
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::deque<Change> m_history;
    /// The history contains all changes after this revision.
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 1;
};

} // namespace Tarragon
