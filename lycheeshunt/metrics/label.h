#pragma once

#include <string>

namespace lycheeshunt::metrics {

// Tells samples of one metric apart.
struct label
{
    const std::string name;
    const std::string value;

    bool operator==(const label &) const = default;
};

} // namespace lycheeshunt::metrics
