#pragma once

#include <string>
#include <vector>

namespace Tarragon {

/// One fault of the document or of a settings file.
struct Finding
{
    /// File name as given by the user; empty if the text was received over the network.
    std::string file;
    /// Section of the document; empty for settings files.
    std::string section;
    /// Line in the file, counted from 1; 0 if unknown.
    int line = 0;
    /// Full key, such as "targets[2].slots".
    std::string key;
    /// Value that was found, quoted from the text.
    std::string found;
    /// What was expected instead.
    std::string expected;

    friend bool operator==(const Finding &, const Finding &) = default;
};

/// Returns the finding on one line: "file:line: section: key: found ..., expected ...".
std::string toString(const Finding &finding);

using Findings = std::vector<Finding>;

} // namespace Tarragon
