#include "gateway/StoreRelay.h"

#include "gateway/StoreRelayTemplate.h"

namespace Tarragon {

template class BasicStoreRelay<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
