#pragma once

#include "document/DocumentEdit.h"
#include "document/Head.h"
#include "entry/EditSession.h"
#include "entry/LookupApi.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpExchange.h"
#include "platform/ObjectStoreClient.h"

#include <functional>
#include <string>

namespace Tarragon {

/// The parts of the daemon that the administration API uses.
struct AdminContext
{
    EventLoop &loop;
    ObjectStoreClient &store;
    ServingState &state;
    LookupApi &lookups;
    /// Returns the newest accepted document that this entry has; generation 0 if it has none.
    std::function<CurrentDocument()> document;
    /// Applies a document that the store has just accepted on this entry and offers it to the
    /// others.
    std::function<void(const Head &, const SectionTexts &)> accepted;
    /// Returns the body of the response to GET /admin/v1/status.
    std::function<std::string()> status;
};

/// Serves the requests under "/admin/v1/"; see docs/interface-admin.md.
class AdminApi
{
public:
    explicit AdminApi(AdminContext context);

    void handle(const HttpExchangePtr &exchange);
    /// Writes the given sections as the first document to the store; does nothing if the store
    /// already holds a document.
    void seed(const SectionTexts &texts);

private:
    void apply(const HttpExchangePtr &exchange);
    void addStop(const HttpExchangePtr &exchange);
    void removeStop(const HttpExchangePtr &exchange, const std::string &path);
    void why(const HttpExchangePtr &exchange);
    /// Checks an edit, whose proposal id is set, against the newest document.
    using PrepareEdit = std::function<EditResult(const DocumentEdit &, const CurrentDocument &)>;

    void submit(const HttpExchangePtr &exchange, DocumentEdit edit, const PrepareEdit &prepare);
    void onOutcome(const HttpExchangePtr &exchange, const DocumentEdit &edit,
                   const EditOutcome &outcome);

    AdminContext m_context;
};

} // namespace Tarragon
