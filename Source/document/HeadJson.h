#pragma once

#include "document/Head.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

/// Returns an object that maps each section name to its digest and version.
nlohmann::json sectionReferencesToJson(const std::map<SectionName, SectionReference> &sections);

/// Reads the references under the key "sections". Throws Error naming the key at fault.
std::map<SectionName, SectionReference> readSectionReferences(const nlohmann::json &object);

/// Returns the acceptance as an object.
nlohmann::json acceptanceToJson(const Acceptance &acceptance);

/// Reads one acceptance. Throws Error naming the key at fault.
Acceptance readAcceptance(const nlohmann::json &object);

} // namespace Tarragon
