#pragma once

#include "document/Configuration.h"
#include "document/Finding.h"
#include "document/SectionTexts.h"

#include <optional>
#include <string>

namespace Tarragon {

/// Parses and validates all sections together. If there is any fault, adds all findings and returns
/// nothing. The lines of the findings count from 1 within the section's text; see locateFindings().
/// `file` is the file name in the findings and may be empty.
std::optional<Configuration> parseDocument(const SectionTexts &sections, const std::string &file,
                                           Findings &findings);

/// Parses and validates sections that splitDocument() extracted from files. The lines of the
/// findings are those of the files. Also returns nothing if `findings` already holds findings of
/// splitDocument().
std::optional<Configuration> parseSplitDocument(const SectionTexts &sections,
                                                const SectionOrigins &origins, Findings &findings);

/// Parses and validates a document in one text. The lines of the findings are those of the text.
std::optional<Configuration> parseWholeDocument(const std::string &text, const std::string &file,
                                                Findings &findings);

/// Parses only the "access" section. If the section is absent or has any fault, adds all findings
/// and returns nothing.
std::optional<AccessRules> parseAccessRules(const SectionTexts &sections, Findings &findings);

} // namespace Tarragon
