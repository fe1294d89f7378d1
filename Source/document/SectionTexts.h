#pragma once

#include "base/Ids.h"
#include "document/Finding.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Texts of a document's sections. Each text is YAML and contains the section's value without its
/// key.
using SectionTexts = std::map<SectionName, std::string>;

/// Position of a section's text in a file.
struct SectionOrigin
{
    std::string file;
    /// Line of the section's key in the file, counted from 1.
    int keyLine = 0;
    /// For each line of the text, its line in the file, counted from 1.
    std::vector<int> lines;
};

using SectionOrigins = std::map<SectionName, SectionOrigin>;

/// Maximum size of a section's text in bytes; values in the store are limited to one megabyte.
inline constexpr std::size_t MaxSectionBytes = 1'000'000;

/// Maximum number of services of a document. Limits the size of the head, which may refer to all
/// sections in each of its recent acceptances and must fit into one value of the store.
inline constexpr std::size_t MaxServices = 64;

/// Returns the section name of a service: "services.<name>".
SectionName serviceSection(const ServiceId &service);

/// Returns the service of a "services.<name>" section; nothing for other sections.
std::optional<ServiceId> serviceOfSection(const SectionName &section);

/// Splits a document, which may contain only some of the sections, into the texts of its sections.
/// Adds a finding for every fault, such as text that is not YAML; `file` is the file name in the
/// findings. Comments above a section's key become the first lines of its text.
SectionTexts splitDocument(const std::string &text, const std::string &file, Findings &findings,
                           SectionOrigins *origins = nullptr);

/// Joins sections into one document in the order access, topology, services, shifts, stops.
std::string joinDocument(const SectionTexts &sections);

/// Replaces the lines of findings, which count within a section's text, by the lines of the file
/// that the section was read from, and sets the file. Findings that already have a file, and those
/// of sections without an origin, stay unchanged.
void locateFindings(Findings &findings, const SectionOrigins &origins);

} // namespace Tarragon
