#pragma once

#include <cstdint>

namespace lycheeshunt::admission {

// How the backend server ended a piece of work.
enum class work_outcome : std::uint8_t {
    answered = 1,
    failed = 2, // it ran, or may have run, and brought no answer
    shed = 3, // the server refused it before running any of it
};

} // namespace lycheeshunt::admission
