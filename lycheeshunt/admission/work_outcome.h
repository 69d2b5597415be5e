#pragma once

#include <cstdint>

namespace lycheeshunt::admission {

// How work ended at the backend server.
enum class work_outcome : std::uint8_t {
    answered = 1,
    failed = 2, // it ran, or may have run, but produced no answer
    shed = 3, // the server rejected it before running any of it
};

} // namespace lycheeshunt::admission
