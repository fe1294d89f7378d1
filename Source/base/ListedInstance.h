#pragma once

#include <string>

namespace Tarragon {

/// An instance in the platform's list of instances.
struct ListedInstance
{
    std::string id;
    /// Whether the instance has announced that it will stop.
    bool leaving = false;
    /// Whether the instance is a target; otherwise it is an entry.
    bool isTarget = false;
};

} // namespace Tarragon
