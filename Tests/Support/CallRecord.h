#pragma once

#include "net/HttpClient.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace Tarragon {

/// Records the events of an HTTP call. Fails the test if the call ends more than once.
struct CallRecord
{
    std::optional<HttpResponseHead> head;
    std::string body;
    bool completed = false;
    std::optional<HttpFailure> failure;
    HttpCallPtr call;

    bool isEnded() const { return completed || failure.has_value(); }

    HttpCallHandlers handlers()
    {
        HttpCallHandlers result;
        result.onHead = [this](const HttpResponseHead &value) { head = value; };
        result.onData = [this](std::string_view data) { body += data; };
        result.onComplete = [this] {
            EXPECT_FALSE(isEnded());
            completed = true;
        };
        result.onFailure = [this](const HttpFailure &value) {
            EXPECT_FALSE(isEnded());
            failure = value;
        };
        return result;
    }
};

} // namespace Tarragon
