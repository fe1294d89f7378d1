#pragma once

#include "base/Ids.h"
#include "document/Finding.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Texts of a document's sections. Each text is YAML and holds the section's value without its
/// top-level key.
using SectionTexts = std::map<SectionName, std::string>;

/// Where a section's text stands in a file.
struct SectionOrigin
{
    std::string file;
    /// Line of the section's key in the file, counted from 1.
    int keyLine = 0;
    /// Line in the file of each line of the text.
    std::vector<int> lines;
};

using SectionOrigins = std::map<SectionName, SectionOrigin>;

/// Largest text of a section; the store holds values up to a megabyte.
inline constexpr std::size_t MaxSectionBytes = 1'000'000;

/// Most services of a document. Bounds the head, which names all sections in each of the last
/// acceptances and must fit into one value of the store.
inline constexpr std::size_t MaxServices = 64;

/// Section name of a service.
SectionName serviceSection(const ServiceId &service);

/// The service of a "services.<name>" section; nothing for other sections.
std::optional<ServiceId> serviceOfSection(const SectionName &section);

/// Splits a document, or a part of one with some of the sections, into the sections' texts. Adds a
/// finding for every fault, such as text that is not YAML; file names the document in findings.
/// Comments above a section's key become the first lines of its text.
SectionTexts splitDocument(const std::string &text, const std::string &file, Findings &findings,
                           SectionOrigins *origins = nullptr);

/// Joins sections into one document, in the order access, topology, services, shifts, stops.
std::string joinDocument(const SectionTexts &sections);

/// Changes the lines of findings from those of the sections' texts to those of the files that the
/// sections come from. Findings of other sections stay as they are.
void locateFindings(Findings &findings, const SectionOrigins &origins);

} // namespace Tarragon
