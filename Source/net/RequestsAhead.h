#pragma once

#include "net/CloseCause.h"
#include "net/HeldResponse.h"

#include <cstddef>
#include <deque>
#include <memory>

namespace Tarragon {

/// The requests of a connection that were passed to the handler before their turn to be answered,
/// in the order of their arrival.
class RequestsAhead
{
public:
    bool isEmpty() const { return m_responses.empty(); }
    std::size_t size() const { return m_responses.size(); }
    /// Whether another request may be passed to the handler ahead of its turn.
    bool hasRoom() const;
    /// Returns the number of bytes of response bodies that wait for their turn.
    std::size_t heldBytes() const;
    void add(const std::shared_ptr<HeldResponse> &response) { m_responses.push_back(response); }
    /// Removes and returns the response whose turn is next.
    std::shared_ptr<HeldResponse> takeNext();
    /// Removes all responses because the connection has ended. Tells exchanges that have not ended,
    /// and logs the others, whose responses were not written.
    void endAll(CloseCause cause);

private:
    std::deque<std::shared_ptr<HeldResponse>> m_responses;
};

} // namespace Tarragon
