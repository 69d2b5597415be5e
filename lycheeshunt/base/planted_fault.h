// Faults that a test build has so that the soak test can show that it finds them (docs/SOAK.md).
// All uses are compiled only with LYCHEESHUNT_PLANTED_FAULTS. Each is off unless the environment
// variable LYCHEESHUNT_PLANTED_FAULT has its name.

#pragma once

#ifdef LYCHEESHUNT_PLANTED_FAULTS

#include <cstdlib>
#include <string_view>

namespace lycheeshunt::base {

inline bool isFaultPlanted(std::string_view name)
{
    static const char *planted = std::getenv("LYCHEESHUNT_PLANTED_FAULT");
    return planted != nullptr && name == planted;
}

} // namespace lycheeshunt::base

#endif
