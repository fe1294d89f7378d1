#pragma once

#include "document/ServiceConfiguration.h"
#include "document/YamlValue.h"

#include <map>
#include <string>

namespace Tarragon {

/// Data of other sections that the section of a service is checked against.
struct ServiceContext
{
    /// Null if the topology could not be parsed; references to the topology are then not checked.
    const Topology *topology = nullptr;
    /// Section that defines each target id read so far.
    std::map<TargetId, std::string> targetSections;
    /// Entry or target that uses each address and port read so far, as text for findings.
    std::map<Endpoint, std::string> endpointUsers;
};

/// Parses a "services.<name>" section. Faults are added to the findings of the value's context; the
/// result then contains the values that could be parsed.
ServiceConfiguration parseService(const YamlValue &value, const ServiceId &id,
                                  ServiceContext &context);

} // namespace Tarragon
