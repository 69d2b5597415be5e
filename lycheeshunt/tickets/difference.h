#pragma once

#include <string>

namespace lycheeshunt::tickets {

struct ticket;

// The first field in which two tickets of one number differ, such as "changes[0].limits.slots".
// Precondition: they differ.
std::string firstDifference(const ticket &existing, const ticket &other);

} // namespace lycheeshunt::tickets
