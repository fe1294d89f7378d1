#pragma once

#include "document/DocumentEdit.h"

#include <optional>
#include <set>
#include <string>

namespace Tarragon {

/// The sections as one text for an operator's editor. A comment line at the start of each section
/// names its version and the digest of its text, so that an apply of the edited text knows what the
/// edit is based on.
std::string formatEditable(const CurrentDocument &document, const std::set<SectionName> &sections);

/// A section of a file that an operator has edited.
struct EditableSection
{
    /// Without the version line.
    std::string text;
    /// Version of the version line; nothing if there is none.
    std::optional<SectionVersion> basedOn;
    /// False if the text is still the one of the version line.
    bool isEdited = true;
};

/// Takes the version line out of a section's text, and out of its origin's lines.
EditableSection takeVersionLine(const SectionName &section, const std::string &text,
                                SectionOrigin &origin);

} // namespace Tarragon
