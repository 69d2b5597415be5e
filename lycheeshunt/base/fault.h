// What happens to an exception that nothing else handles, on every thread: it ends the handling of
// one message or event, it is logged, and the thread goes on with the next one.
//
//     std::optional<error> fault = faultOf([&]() { ... });
//     reportFault("flows", fault);

#pragma once

#include "lycheeshunt/base/error.h"

#include <exception>
#include <optional>
#include <string_view>

namespace lycheeshunt::base {

// Returns unexpectedError if the call throws.
template <typename callable>
std::optional<error> faultOf(callable &&run)
{
    try {
        run();
        return std::nullopt;
    } catch (const std::exception &failure) {
        return error {error_code::unexpectedError, failure.what()};
    } catch (...) {
        return error {error_code::unexpectedError, "exception of an unknown type"};
    }
}

// Logs and counts the fault, if there is one.
void reportFault(std::string_view part, const std::optional<error> &fault);

// Number of faults reported since the process started.
std::uint64_t faultsReported();

template <typename callable>
void runGuarded(std::string_view part, callable &&run)
{
    reportFault(part, faultOf(std::forward<callable>(run)));
}

} // namespace lycheeshunt::base
