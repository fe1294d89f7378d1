#pragma once

#include "VirtualLoop.h"
#include "VirtualStore.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Tarragon {

/// How a scripted store ends a call.
enum class ScriptedAnswer {
    /// The call is run and answered now; if it has been run before, it is only answered.
    Run,
    /// The call is run, and the answer is still on its way: the call stays open.
    RunUnanswered,
    /// The call is answered with status 503; the answer has the store's era.
    Reject,
    /// The call is run, and its answer is lost.
    LoseAnswer,
    /// No answer arrives, whether the call has been run or not.
    LoseCall,
};

/// A store that leaves each call open until the test answers it, so that the test chooses the order
/// of the answers. The test also chooses when a call times out, within the call's timeout.
class ScriptedStore
{
public:
    struct OpenCall
    {
        std::string kind;
        bool isWrite = false;
        bool hasEnded = false;
        std::function<void(ScriptedAnswer)> answer;
    };
    /// A call in progress; destroying it cancels it.
    class Call
    {
    public:
        explicit Call(std::shared_ptr<OpenCall> call)
            : m_call(std::move(call))
        {}
        Call(const Call &) = delete;
        Call &operator=(const Call &) = delete;
        ~Call() { m_call->hasEnded = true; }

    private:
        std::shared_ptr<OpenCall> m_call;
    };
    using CallPtr = std::unique_ptr<Call>;

    ScriptedStore(VirtualLoop &loop, VirtualStore &contents);

    CallPtr list(const std::string &kind, const std::string &after, milliseconds timeout,
                 bool allowStale, const sigc::slot<void(const Platform::ItemPage &)> &callback);
    CallPtr watch(const std::string &kind, const StoreRevision &revision, milliseconds wait,
                  milliseconds timeout, bool allowStale,
                  const sigc::slot<void(const Platform::ChangePage &)> &callback);
    CallPtr create(const std::string &kind, const std::string &name, const nlohmann::json &spec,
                   milliseconds timeout,
                   const sigc::slot<void(const Platform::ItemResult &)> &callback);
    CallPtr replace(const std::string &kind, const std::string &name, const nlohmann::json &spec,
                    const StoreRevision &revision, milliseconds timeout,
                    const sigc::slot<void(const Platform::ItemResult &)> &callback);
    CallPtr remove(const std::string &kind, const std::string &name, const StoreRevision &revision,
                   milliseconds timeout,
                   const sigc::slot<void(const Platform::ItemResult &)> &callback);

    /// Returns the calls that have not ended, in the order in which they were made.
    std::vector<std::shared_ptr<OpenCall>> openCalls();

private:
    template<typename Page>
    CallPtr add(const std::string &kind, bool isWrite, milliseconds timeout,
                const sigc::slot<void(const Page &)> &callback, const std::function<Page()> &run);
    /// Returns the result of a write that leaves the object in the store's contents.
    Platform::ItemResult written(const std::string &kind, const std::string &name) const;
    Platform::ItemResult ended(Platform::CallOutcome outcome) const;
    StoreEra era() const { return StoreEra(m_contents.objects().era()); }

    VirtualLoop &m_loop;
    VirtualStore &m_contents;
    std::vector<std::shared_ptr<OpenCall>> m_calls;
};

} // namespace Tarragon
