#pragma once

#include <memory>
#include <string>

namespace lycheeshunt::base {
template <typename T>
class ring;
}

namespace lycheeshunt::metrics {

// Asks for all metrics as text; the answer goes into the ring.
struct scrape_request
{
    const std::shared_ptr<base::ring<std::string>> answer;

    bool operator==(const scrape_request &) const = default;
};

} // namespace lycheeshunt::metrics
