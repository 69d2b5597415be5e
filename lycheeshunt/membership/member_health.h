#pragma once

#include <cstdint>

namespace lycheeshunt::membership {

// What an agent says of its backend server.
enum class member_health : std::uint8_t { good = 1, bad = 2 };

} // namespace lycheeshunt::membership
