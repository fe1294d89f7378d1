#pragma once

#include "document/Configuration.h"
#include "document/Finding.h"
#include "document/SectionTexts.h"

#include <optional>
#include <string>

namespace Tarragon {

/// Parses and validates all sections together. Returns nothing and adds all findings if there is
/// any fault. Lines of findings count from 1 within the section's text; see locateFindings(). File
/// names the document in findings and may be empty.
std::optional<Configuration> parseDocument(const SectionTexts &sections, const std::string &file,
                                           Findings &findings);

/// Same for sections that splitDocument() took from files. Findings are located in these files;
/// with findings of the splitting at the start nothing is returned.
std::optional<Configuration> parseSplitDocument(const SectionTexts &sections,
                                                const SectionOrigins &origins, Findings &findings);

/// Same for a whole document in one text. Lines of findings are those of the text.
std::optional<Configuration> parseWholeDocument(const std::string &text, const std::string &file,
                                                Findings &findings);

/// Parses the "access" section alone. Returns nothing and adds all findings if it is absent or has
/// any fault.
std::optional<AccessRules> parseAccessRules(const SectionTexts &sections, Findings &findings);

} // namespace Tarragon
