#include "ctl/Output.h"

#include "document/AdminMessages.h"

#include <algorithm>
#include <iostream>

namespace Tarragon {

namespace {

void printRow(const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    static constexpr std::size_t Gap = 2;
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        if (i + 1 < row.size()) {
            line.append(widths[i] - row[i].size() + Gap, ' ');
        }
    }
    std::cout << line << "\n";
}

ExitCode exitCodeOf(int status)
{
    switch (status) {
    case 400:
        return ExitCode::Findings;
    case 401:
    case 403:
    case 404:
        return ExitCode::Refused;
    case 409:
        return ExitCode::Conflict;
    default:
        return ExitCode::Unreachable;
    }
}

} // namespace

void printTable(const std::vector<std::string> &headings,
                const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < headings.size(); ++i) {
        std::size_t width = headings[i].size();
        for (const std::vector<std::string> &it : rows) {
            width = std::max(width, it[i].size());
        }
        widths.push_back(width);
    }
    printRow(headings, widths);
    for (const std::vector<std::string> &it : rows) {
        printRow(it, widths);
    }
}

void printFindings(const Findings &findings, bool asJson)
{
    if (asJson) {
        std::cout << adminErrorBody(
                { "findings", std::to_string(findings.size()) + " findings", findings, {}, false })
                  << "\n";
        return;
    }
    for (const Finding &it : findings) {
        std::cout << toString(it) << "\n";
    }
}

ExitCode reportRefusal(const AdminReply &reply, const SectionOrigins &origins, bool asJson)
{
    AdminError error = parseAdminError(reply.body);
    locateFindings(error.findings, origins);
    if (asJson) {
        std::cout << adminErrorBody(error) << "\n";
    } else {
        printFindings(error.findings, false);
        std::cerr << "tarragonctl: " << error.detail << " (" << error.error << ")\n";
    }
    // Status 400 without findings means that the request is malformed, which is caused by wrong
    // arguments and not by the document.
    return reply.status == 400 && error.findings.empty() ? ExitCode::Usage
                                                         : exitCodeOf(reply.status);
}

} // namespace Tarragon
