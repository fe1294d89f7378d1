#pragma once

#include "document/ServiceConfiguration.h"
#include "document/YamlValue.h"

#include <map>
#include <string>

namespace Tarragon {

/// What one service's section is checked against.
struct ServiceContext
{
    /// Null if the topology could not be read; then references to it are not checked.
    const Topology *topology = nullptr;
    /// Section of each target id that was read so far.
    std::map<TargetId, std::string> targetSections;
    /// User of each address and port that was read so far.
    std::map<Endpoint, std::string> endpointUsers;
};

/// Parses a "services.<name>" section. Faults go to the value's findings; the result then holds
/// what could be read.
ServiceConfiguration parseService(const YamlValue &value, const ServiceId &id,
                                  ServiceContext &context);

} // namespace Tarragon
