#include "document/ServiceConfiguration.h"

namespace Tarragon {

std::string toString(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Lookup:
        return "lookup";
    case RequestClass::Booking:
        return "booking";
    case RequestClass::Bulk:
        return "bulk";
    }
    return "lookup";
}

} // namespace Tarragon
