#pragma once

#include "document/Configuration.h"
#include "document/Finding.h"

#include <map>
#include <optional>
#include <string>

namespace Tarragon {

/// Texts of a document's sections. Each text is YAML and holds the section's value without its
/// top-level key.
using SectionTexts = std::map<SectionName, std::string>;

/// Splits a whole document into its sections. Adds a finding for every fault, such as text that
/// is not YAML; file names the document in findings.
SectionTexts splitDocument(const std::string &text, const std::string &file, Findings &findings);

/// Joins sections into one document, in the order access, topology, services, shifts, stops.
std::string joinDocument(const SectionTexts &sections);

/// Parses and validates all sections together. Returns nothing and adds all findings if there is
/// any fault.
std::optional<Configuration> parseDocument(const SectionTexts &sections, const std::string &file,
                                           Findings &findings);

} // namespace Tarragon
