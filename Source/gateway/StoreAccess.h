#pragma once

#include "base/Units.h"
#include "net/TimerLoop.h"
#include "platform/ObjectStore.h"

#include <sigc++/sigc++.h>

#include <concepts>
#include <string>
#include <utility>

namespace Tarragon {

/// The calls by which the store is read, as Platform::ObjectStore has them.
template<typename T>
concept StoreReader = requires(T &store, const std::string &text, const StoreRevision &revision,
                               milliseconds time,
                               const sigc::slot<void(const Platform::ItemPage &)> &onPage,
                               const sigc::slot<void(const Platform::ChangePage &)> &onChanges)
{
    store.list(text, text, time, false, onPage).reset();
    store.watch(text, revision, time, time, false, onChanges).reset();
};

/// The calls by which the store is written too, as Platform::ObjectStore has them.
template<typename T>
concept StoreWriter =
        StoreReader<T> && requires(T &store, const std::string &text, const nlohmann::json &spec,
                                   const StoreRevision &revision, milliseconds time,
                                   const sigc::slot<void(const Platform::ItemResult &)> &onResult)
{
    store.create(text, text, spec, time, onResult).reset();
    store.replace(text, text, spec, revision, time, onResult).reset();
    store.remove(text, text, revision, time, onResult).reset();
};

/// Calls in progress of a store; destroying one cancels it.
template<StoreReader Store>
using StoreCallOf = decltype(std::declval<Store &>().list(
        "", "", milliseconds(0), false, sigc::slot<void(const Platform::ItemPage &)>()));

} // namespace Tarragon
