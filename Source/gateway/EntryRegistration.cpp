#include "gateway/EntryRegistration.h"

#include "gateway/EntryRegistrationTemplate.h"

namespace Tarragon {

template class BasicEntryRegistration<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
