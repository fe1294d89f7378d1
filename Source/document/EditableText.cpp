#include "document/EditableText.h"

#include "base/Digest.h"

#include <charconv>
#include <sstream>

namespace Tarragon {

namespace {

constexpr std::string_view VersionLinePrefix = "# tarragonctl: version ";

/// Returns the text after the prefix; nothing if the text does not start with the prefix.
std::optional<std::string_view> afterPrefix(std::string_view text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    return text.substr(prefix.size());
}

} // namespace

std::string formatEditable(const CurrentDocument &document, const std::set<SectionName> &sections)
{
    SectionTexts chosen;
    for (const SectionName &it : sections) {
        const auto text = document.texts.find(it);
        if (text != document.texts.end()) {
            chosen[it] = text->second;
        }
    }
    // joinDocument() normalizes blank lines and indentation. The digest is therefore computed from
    // the text as splitDocument() will read it back, or each section would count as edited.
    Findings findings;
    SectionTexts marked = splitDocument(joinDocument(chosen), "", findings);
    for (auto &[name, text] : marked) {
        const auto reference = document.head.sections.find(name);
        if (reference != document.head.sections.end()) {
            text.insert(0, std::string(VersionLinePrefix)
                                   + std::to_string(reference->second.version.value()) + " of "
                                   + name.value() + ", sha256 " + sha256Hex(text) + "\n");
        }
    }
    return joinDocument(marked);
}

EditableSection takeVersionLine(const SectionName &section, const std::string &text,
                                SectionOrigin &origin)
{
    EditableSection result;
    std::string digest;
    std::istringstream in(text);
    std::string line;
    std::size_t index = 0;
    while (std::getline(in, line)) {
        const std::optional<std::string_view> rest = afterPrefix(line, VersionLinePrefix);
        if (!rest) {
            result.text += line + "\n";
            ++index;
            continue;
        }
        std::uint64_t version = 0;
        const char *end = rest->data() + rest->size();
        const std::from_chars_result number = std::from_chars(rest->data(), end, version);
        const std::optional<std::string_view> digestText =
                afterPrefix(std::string_view(number.ptr, std::size_t(end - number.ptr)),
                            " of " + section.value() + ", sha256 ");
        if (number.ec == std::errc() && digestText) {
            result.basedOn = SectionVersion(version);
            digest = std::string(*digestText);
        }
        if (index < origin.lines.size()) {
            origin.lines.erase(origin.lines.begin() + std::ptrdiff_t(index));
        }
    }
    result.isEdited = digest != sha256Hex(result.text);
    return result;
}

} // namespace Tarragon
