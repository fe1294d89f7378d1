#pragma once

#include "document/DocumentEdit.h"
#include "net/EventLoop.h"
#include "platform/ObjectStoreClient.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// How an edit ended.
struct EditOutcome
{
    /// The decision on the edit; of interest unless the store failed.
    EditResult result;
    /// Whether the store could not be reached, or its answer could not be settled.
    bool isStoreUnavailable = false;
    /// Whether the edit may have taken effect or may still do so.
    bool mayBeAccepted = false;
};

/// Takes one edit to the store: reads the head, decides, writes the sections' texts, and then the
/// head by a conditional update, which is the act of acceptance. Starts again when only other
/// sections have changed meanwhile. An answer of the store that was lost is settled by reading the
/// head back.
class EditSession : public std::enable_shared_from_this<EditSession>
{
public:
    /// Decides on the edit, given the newest document. An empty head stands for no document.
    using Prepare = std::function<EditResult(const CurrentDocument &)>;
    using Callback = std::function<void(const EditOutcome &)>;

    /// known are texts that need not be read from the store, if their digest is the head's.
    EditSession(EventLoop &loop, ObjectStoreClient &store, SectionTexts known, Prepare prepare,
                std::string proposalId, Callback callback);

    void start();

private:
    void readHead();
    void onHead(const StoredObject &object);
    void readNextSection();
    void decide();
    void writeNextObject();
    void writeHead();
    void onHeadWritten(const StoreWrite &write);
    void settle();
    void onHeadReadBack(const StoredObject &object);
    void startAgain();
    void unavailable(bool mayBeAccepted);
    void finish(const EditOutcome &outcome);

    EventLoop &m_loop;
    ObjectStoreClient &m_store;
    SectionTexts m_known;
    Prepare m_prepare;
    std::string m_proposalId;
    Callback m_callback;
    CurrentDocument m_current;
    ObjectVersion m_headVersion;
    std::vector<std::pair<SectionName, std::string>> m_toRead;
    EditResult m_result;
    std::vector<std::pair<std::string, std::string>> m_toWrite;
    int m_rounds = 0;
    int m_tries = 0;
    /// Whether a write of the head was sent whose outcome is not known.
    bool m_isHeadUncertain = false;
    Timer m_pause;
};

} // namespace Tarragon
