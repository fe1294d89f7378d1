#include "net/TimeoutQueueTemplate.h"

namespace Tarragon {

template class BasicTimeoutQueue<EventLoop>;

} // namespace Tarragon
