#pragma once

#include "document/EditableText.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Sections that were read from an operator's files.
struct EditFiles
{
    std::map<SectionName, EditableSection> sections;
    SectionOrigins origins;
    /// Faults that keep the files from being split into sections.
    Findings findings;

    /// Texts of all sections.
    SectionTexts texts() const;
};

/// Reads files with one or more sections each. Throws UsageError if there is no file, if one cannot
/// be read, or if two of them have the same section.
EditFiles readEditFiles(const std::vector<std::string> &files);

} // namespace Tarragon
