#include "lycheeshunt/base/error.h"

namespace lycheeshunt::base {

std::string error::text() const
{
    std::string line = "E" + std::to_string(static_cast<unsigned>(code)) + " ";
    line += describe(code);
    if (!detail.empty())
        line += ": " + detail;
    return line;
}

} // namespace lycheeshunt::base
