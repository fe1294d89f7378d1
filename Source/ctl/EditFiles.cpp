#include "ctl/EditFiles.h"

#include "ctl/UsageError.h"
#include "document/TextFile.h"

namespace Tarragon {

SectionTexts EditFiles::texts() const
{
    SectionTexts result;
    for (const auto &[name, it] : sections) {
        result[name] = it.text;
    }
    return result;
}

EditFiles readEditFiles(const std::vector<std::string> &files)
{
    if (files.empty()) {
        throw UsageError("found no file, expected at least one");
    }
    EditFiles result;
    for (const std::string &file : files) {
        std::string content;
        try {
            content = readTextFile(file);
        } catch (const Error &e) {
            throw UsageError(e.what());
        }
        SectionOrigins origins;
        for (const auto &[name, text] : splitDocument(content, file, result.findings, &origins)) {
            SectionOrigin &origin = origins[name];
            if (result.sections.contains(name)) {
                throw UsageError("found section " + name.value() + " in " + file + " and "
                                 + result.origins[name].file + ", expected it in one file");
            }
            result.sections[name] = takeVersionLine(name, text, origin);
            result.origins[name] = origin;
        }
    }
    return result;
}

} // namespace Tarragon
