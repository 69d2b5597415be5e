#include "lycheeshunt/evacuations/codec.h"

#include "lycheeshunt/base/codec.h"

#include <tuple>

namespace lycheeshunt::evacuations {

namespace {

// Version, zone, whether evacuated.
using order_fields = std::tuple<std::uint8_t, std::string, bool>;

constexpr std::uint8_t version = 1;

} // namespace

bool isZoneName(std::string_view name)
{
    return !name.empty() && name.size() <= maxZoneBytes;
}

std::string encodeOrder(const evacuation_order &order)
{
    return base::packFields(order_fields(version, order.zone, order.isEvacuated));
}

base::result<evacuation_order> decodeOrder(std::string_view bytes)
{
    const base::result<order_fields> fields = base::unpackFields<order_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[orderVersion, zone, isEvacuated] = base::valueOf(fields);
    if (orderVersion != version)
        return base::error {base::error_code::messageVersion, "evacuation order"};
    if (!isZoneName(zone))
        return base::error {base::error_code::messageMalformed, "name of an availability zone"};
    return evacuation_order {zone, isEvacuated};
}

} // namespace lycheeshunt::evacuations
