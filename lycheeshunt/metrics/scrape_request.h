#pragma once

#include <memory>
#include <string>

namespace lycheeshunt::base {
template <typename T>
class ring;
}

namespace lycheeshunt::metrics {

// Requests all metrics as text; the metrics duty pushes the text to the ring.
struct scrape_request
{
    const std::shared_ptr<base::ring<std::string>> answer;

    bool operator==(const scrape_request &) const = default;
};

} // namespace lycheeshunt::metrics
