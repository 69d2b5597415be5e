// A failure: its numbered code and a detail such as the name or value concerned.

#pragma once

#include "lycheeshunt/base/error_code.h"

#include <string>

namespace lycheeshunt::base {

struct error
{
    const error_code code;
    const std::string detail;

    // "E103 unknown key in settings: line 4: rolle"
    std::string text() const;

    bool operator==(const error &) const = default;
};

} // namespace lycheeshunt::base
