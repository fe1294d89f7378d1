#pragma once

#include "ctl/AdminClient.h"
#include "ctl/ExitCode.h"
#include "document/Finding.h"
#include "document/SectionTexts.h"

#include <string>
#include <vector>

namespace Tarragon {

/// Prints a table with aligned columns below their headings.
void printTable(const std::vector<std::string> &headings,
                const std::vector<std::vector<std::string>> &rows);

/// Prints findings, one per line, or as JSON.
void printFindings(const Findings &findings, bool asJson);

/// Prints the error of a response with a status other than 200 and returns the exit code for it.
/// Findings are located in the files that the sections come from. Of conflicts, only the error is
/// printed; ApplyCommand.cpp prints their details.
ExitCode reportRefusal(const AdminReply &reply, const SectionOrigins &origins, bool asJson);

} // namespace Tarragon
