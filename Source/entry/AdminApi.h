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

/// What the administration API needs of the rest of the daemon.
struct AdminContext
{
    EventLoop &loop;
    ObjectStoreClient &store;
    ServingState &state;
    LookupApi &lookups;
    /// The newest accepted document that this entry knows; generation 0: none.
    std::function<CurrentDocument()> document;
    /// Puts a document that was just accepted in force and spreads it.
    std::function<void(const Head &, const SectionTexts &)> accepted;
    /// Body of the status.
    std::function<std::string()> status;
};

/// Serves "/admin/v1/"; see docs/interface-admin.md.
class AdminApi
{
public:
    explicit AdminApi(AdminContext context);

    void handle(const HttpExchangePtr &exchange);
    /// Makes the first document of an empty store; does nothing if the store holds one.
    void seed(const SectionTexts &texts);

private:
    void apply(const HttpExchangePtr &exchange);
    void addStop(const HttpExchangePtr &exchange);
    void removeStop(const HttpExchangePtr &exchange, const std::string &path);
    void why(const HttpExchangePtr &exchange);
    /// Decides on an edit that has its proposal id, given the newest document.
    using PrepareEdit = std::function<EditResult(const DocumentEdit &, const CurrentDocument &)>;

    void submit(const HttpExchangePtr &exchange, DocumentEdit edit, const PrepareEdit &prepare);
    void onOutcome(const HttpExchangePtr &exchange, const DocumentEdit &edit,
                   const EditOutcome &outcome);

    AdminContext m_context;
};

} // namespace Tarragon
