#pragma once

#include "document/DocumentEdit.h"

#include <optional>
#include <set>
#include <string>

namespace Tarragon {

/// Returns the sections as one text for an operator's editor. A comment line at the start of each
/// section (the version line) holds its version and the digest of its text. When the edited text is
/// applied, the line identifies the version that the edit is based on.
std::string formatEditable(const CurrentDocument &document, const std::set<SectionName> &sections);

/// A section of a file that an operator has edited.
struct EditableSection
{
    /// Text of the section without the version line.
    std::string text;
    /// Version that the version line names; nothing if the section has no valid version line.
    std::optional<SectionVersion> basedOn;
    /// False if the text still has the digest that the version line names.
    bool isEdited = true;
};

/// Parses a section's version line and removes it from the text and from the lines of the origin.
EditableSection takeVersionLine(const SectionName &section, const std::string &text,
                                SectionOrigin &origin);

} // namespace Tarragon
