// The name of an availability zone as the last segment of a path, in percent-encoding.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>

namespace lycheeshunt::evacuations {

// Fails with requestMalformed if the segment can't be decoded or is no name of a zone.
base::result<std::string> zoneFromSegment(const std::string &segment);
std::string segmentOf(const std::string &zone);

} // namespace lycheeshunt::evacuations
