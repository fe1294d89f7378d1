#include "gateway/KindSubscription.h"

#include "gateway/KindSubscriptionTemplate.h"

namespace Tarragon {

template class BasicKindSubscription<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
