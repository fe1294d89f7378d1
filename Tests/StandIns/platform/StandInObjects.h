#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// The objects of the stand-in of the platform's store, in memory. The version of an object is the
/// store's revision at its last write.
class StandInObjects
{
public:
    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    /// Null if there is no such object.
    const Object *find(const std::string &key) const;
    /// Writes if the object's version is the given one, 0 meaning that there is none. Answers the
    /// new version, or nothing after a conflict.
    std::optional<std::uint64_t> put(const std::string &key, std::string value,
                                     std::uint64_t ifVersion);
    /// Version of an object; 0 if there is none.
    std::uint64_t versionOf(const std::string &key) const;
    /// Keys of the prefix and their versions.
    std::vector<std::pair<std::string, std::uint64_t>> list(const std::string &prefix) const;
    /// Whether an object of the prefix was written after the revision.
    bool hasChanged(const std::string &prefix, std::uint64_t afterRevision) const;
    std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::string, Object> m_objects;
    std::uint64_t m_revision = 0;
};

} // namespace Tarragon
