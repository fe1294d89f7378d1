#include "net/LingeringCloseTemplate.h"

namespace Tarragon {

template class BasicLingeringClose<EventLoop, LingeringSocket>;

} // namespace Tarragon
