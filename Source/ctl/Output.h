#pragma once

#include "ctl/AdminClient.h"
#include "ctl/ExitCode.h"
#include "document/Finding.h"
#include "document/SectionTexts.h"

#include <string>
#include <vector>

namespace Tarragon {

/// Prints rows in aligned columns below their headings.
void printTable(const std::vector<std::string> &headings,
                const std::vector<std::vector<std::string>> &rows);

/// Prints findings, one a line, or as JSON.
void printFindings(const Findings &findings, bool asJson);

/// Reports an answer other than 200. Findings are located in the files that the sections come from.
/// Conflicts are only named; see printConflicts().
ExitCode reportRefusal(const AdminReply &reply, const SectionOrigins &origins, bool asJson);

} // namespace Tarragon
