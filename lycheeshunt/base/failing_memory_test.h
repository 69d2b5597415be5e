// Makes one allocation of this thread fail, counted from the construction. The leak detector must
// be off, since it does not expect a failed allocation.
//
//     const failing_memory shortage(3);    // the fourth allocation throws std::bad_alloc

#pragma once

#include <cstdarg>
#include <cstddef>
#include <optional>
#include <utility>

#include <CppUTest/PlatformSpecificFunctions_c.h>

namespace lycheeshunt::base {

class failing_memory
{
public:
    explicit failing_memory(std::size_t successes)
    {
        original = std::exchange(PlatformSpecificMalloc, &failing_memory::allocate);
        remaining = successes;
    }
    ~failing_memory()
    {
        remaining.reset();
        PlatformSpecificMalloc = original;
    }

    failing_memory(const failing_memory &) = delete;
    failing_memory &operator=(const failing_memory &) = delete;

private:
    static void *allocate(std::size_t size)
    {
        if (remaining && (*remaining)-- == 0) {
            remaining.reset();
            return nullptr;
        }
        return original(size);
    }

    static inline void *(*original)(std::size_t) = nullptr;
    static inline thread_local std::optional<std::size_t> remaining;
};

} // namespace lycheeshunt::base
