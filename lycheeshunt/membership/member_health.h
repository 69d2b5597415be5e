#pragma once

#include <cstdint>

namespace lycheeshunt::membership {

// Health of a backend server, as its agent reports it.
enum class member_health : std::uint8_t { good = 1, bad = 2 };

} // namespace lycheeshunt::membership
