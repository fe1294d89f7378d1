#pragma once

#include "document/DocumentEdit.h"
#include "document/PlannedStop.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

// Bodies of the administration API; docs/interface-admin.md describes them. Parse functions throw
// Error that names the key at fault.

/// An accepted edit, as answered to the operator.
struct AcceptedEdit
{
    Generation generation;
    /// False if the document already had the wanted texts.
    bool isChanged = false;
    /// The edited sections as they are in the accepted document.
    std::map<SectionName, SectionReference> sections;
};

/// An answer that refuses a request.
struct AdminError
{
    /// One of the words of docs/interface-admin.md, such as "conflict".
    std::string error;
    std::string detail;
    Findings findings;
    std::vector<SectionConflict> conflicts;
    /// Whether the edit may have taken effect or may still do so.
    bool mayBeAccepted = false;
};

/// HTTP status of an edit's answer.
int httpStatus(EditStatus status);

/// Body for an edit that is refused, unchanged, or has been accepted by the store.
std::string editResultBody(const EditResult &result, const DocumentEdit &edit);
AcceptedEdit parseAcceptedEdit(const std::string &body);

/// Body for any refused request.
std::string adminErrorBody(const AdminError &error);
AdminError parseAdminError(const std::string &body);

/// Body of GET /admin/v1/document. Parsing leaves the head's recent acceptances empty.
std::string documentBody(const CurrentDocument &document);
CurrentDocument parseDocumentBody(const std::string &body);

/// Body of POST /admin/v1/apply. The token and proposal id are not part of it.
std::string applyBody(const DocumentEdit &edit);
DocumentEdit parseApplyBody(const std::string &body);

/// Body of GET /admin/v1/history.
std::string historyBody(const Head &head);
std::vector<Acceptance> parseHistoryBody(const std::string &body);

/// Body of POST /admin/v1/stops.
std::string stopBody(const PlannedStop &stop);
PlannedStop parseStopBody(const std::string &body);

} // namespace Tarragon
