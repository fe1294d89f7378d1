#pragma once

#include "document/DocumentEdit.h"
#include "document/PlannedStop.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

// JSON request and response bodies of the administration API, described in docs/interface-admin.md.
// The parse functions throw Error, naming the key at fault.

/// Response to an edit that was accepted.
struct AcceptedEdit
{
    Generation generation;
    /// False if the document already had the texts of the edit.
    bool isChanged = false;
    /// References of the edited sections in the accepted document.
    std::map<SectionName, SectionReference> sections;
};

/// Response to a request that was refused.
struct AdminError
{
    /// One of the error codes of docs/interface-admin.md, such as "conflict".
    std::string error;
    std::string detail;
    Findings findings;
    std::vector<SectionConflict> conflicts;
    /// Whether the edit may have been accepted, or may still be, although the request failed.
    bool mayBeAccepted = false;
};

/// Returns the HTTP status of the response to an edit.
int httpStatus(EditStatus status);

/// Returns the response body for an edit that is refused, changes nothing, or has been accepted by
/// the store.
std::string editResultBody(const EditResult &result, const DocumentEdit &edit);
AcceptedEdit parseAcceptedEdit(const std::string &body);

/// Returns the response body for a refused request.
std::string adminErrorBody(const AdminError &error);
AdminError parseAdminError(const std::string &body);

/// Returns the response body of GET /admin/v1/document. The body does not contain the head's recent
/// acceptances, so parsing leaves them empty.
std::string documentBody(const CurrentDocument &document);
CurrentDocument parseDocumentBody(const std::string &body);

/// Returns the request body of POST /admin/v1/apply. The token and the proposal id are not part of
/// the body.
std::string applyBody(const DocumentEdit &edit);
DocumentEdit parseApplyBody(const std::string &body);

/// Returns the response body of GET /admin/v1/history.
std::string historyBody(const Head &head);
std::vector<Acceptance> parseHistoryBody(const std::string &body);

/// Returns the request body of POST /admin/v1/stops.
std::string stopBody(const PlannedStop &stop);
PlannedStop parseStopBody(const std::string &body);

} // namespace Tarragon
