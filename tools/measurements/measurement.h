// Prints a measured figure as a JSON object on a line of its own.

#pragma once

#include <iostream>
#include <string>

namespace lycheeshunt::measurements {

// `bound` and `baseline` are JSON text: a number, or null for none. A baseline may also be an
// object of several numbers.
inline void report(const std::string &name, double value, const std::string &unit,
                   const std::string &bound = "null", const std::string &baseline = "null")
{
    std::cout << "{\"name\":\"" << name << "\",\"value\":" << value << ",\"unit\":\"" << unit
              << "\",\"bound\":" << bound << ",\"baseline\":" << baseline << "}" << std::endl;
}

} // namespace lycheeshunt::measurements
