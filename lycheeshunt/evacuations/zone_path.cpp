#include "lycheeshunt/evacuations/zone_path.h"

#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/json/utf8.h"

#include <cpprest/base_uri.h>

namespace lycheeshunt::evacuations {

base::result<std::string> zoneFromSegment(const std::string &segment)
{
    std::string zone;
    try {
        zone = web::uri::decode(segment);
    } catch (const std::exception &failure) {
        return base::error {base::error_code::requestMalformed,
                            std::string("zone name: ") + failure.what()};
    }
    if (!isZoneName(zone))
        return base::error {base::error_code::requestMalformed,
                            "the name of the zone has " + std::to_string(zone.size())
                                + " bytes, must have 1 to " + std::to_string(maxZoneBytes)};
    if (!json::isUtf8(zone))
        return base::error {base::error_code::requestMalformed,
                            "the name of the zone is " + segment + ", must be UTF-8"};
    return zone;
}

std::string segmentOf(const std::string &zone)
{
    return web::uri::encode_data_string(zone);
}

} // namespace lycheeshunt::evacuations
