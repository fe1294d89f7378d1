#include "gateway/StoreLog.h"

namespace Tarragon {

const log4cplus::Logger &storeLogger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("store");
    return instance;
}

} // namespace Tarragon
