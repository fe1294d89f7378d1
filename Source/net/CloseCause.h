#pragma once

#include <array>
#include <string_view>

namespace Tarragon {

/// Why a connection of a client ended, or a request on it that had no complete response.
enum class CloseCause {
    /// The last response was written.
    Response,
    /// An error response was written to a request that was not accepted.
    Rejection,
    /// A response broke off.
    BreakOff,
    /// The connection was idle.
    Idle,
    /// The client did not read a response in time.
    Unread,
    /// The memory or the descriptor was needed for others.
    Eviction,
    /// The server ended, usually with the process.
    ServerEnd,
    /// The client ended the connection.
    CallerGone,
    /// The handler of the request has thrown an exception. Of a request only.
    HandlerFailed,
};

/// Causes for which a connection ends, in the order of their values.
inline constexpr std::array CloseCauses = { CloseCause::Response,  CloseCause::Rejection,
                                            CloseCause::BreakOff,  CloseCause::Idle,
                                            CloseCause::Unread,    CloseCause::Eviction,
                                            CloseCause::ServerEnd, CloseCause::CallerGone };

std::string_view toString(CloseCause cause);

} // namespace Tarragon
