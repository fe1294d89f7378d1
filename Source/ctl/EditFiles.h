#pragma once

#include "document/EditableText.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Sections read from an operator's files.
struct EditFiles
{
    std::map<SectionName, EditableSection> sections;
    SectionOrigins origins;
    /// Errors because of which the files cannot be split into sections.
    Findings findings;

    /// Returns the texts of all sections.
    SectionTexts texts() const;
};

/// Reads files with one or more sections each. Throws UsageError if no file is given, if a file
/// cannot be read, or if two files contain the same section.
EditFiles readEditFiles(const std::vector<std::string> &files);

} // namespace Tarragon
