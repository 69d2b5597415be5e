#include "lycheeshunt/base/fault.h"

#include "lycheeshunt/base/log.h"

#include <atomic>

namespace lycheeshunt::base {

namespace {
std::atomic<std::uint64_t> faults = 0;
}

void reportFault(std::string_view part, const std::optional<error> &fault)
{
    if (!fault)
        return;
    ++faults;
    logError(part, fault->text());
}

std::uint64_t faultsReported()
{
    return faults;
}

} // namespace lycheeshunt::base
