#pragma once

#include "document/Head.h"
#include "document/SectionTexts.h"

#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Collects the texts of the sections of a head. Rejects a text whose SHA-256 digest differs from
/// that in the head, so that a faulty or outdated sender cannot mix sections of two documents.
class SectionCollector
{
public:
    /// Reuses the present texts of those sections whose digests are the same in both heads.
    SectionCollector(Head head, const Head &present, const SectionTexts &presentTexts);

    const Head &head() const { return m_head; }
    /// Returns the sections whose texts have not been added yet.
    std::vector<SectionName> missing() const;
    /// Adds a section's text. Returns false if the head has no such section or the digest differs.
    bool add(const SectionName &name, const std::string &text);
    /// Adds a section's text without checking its digest. Only for tests that show which faults the
    /// check prevents.
    bool addUnverified(const SectionName &name, const std::string &text);
    bool isComplete() const { return m_texts.size() == m_head.sections.size(); }
    const SectionTexts &texts() const { return m_texts; }

private:
    Head m_head;
    SectionTexts m_texts;
};

} // namespace Tarragon
