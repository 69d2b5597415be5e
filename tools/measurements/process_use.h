// What this process has used so far; measurements take the difference of two readings.

#pragma once

#include <malloc.h>

#include <ctime>

namespace lycheeshunt::measurements {

// Bytes in use on the heap.
inline double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Processor time of all threads, in microseconds.
inline double processorMicros()
{
    timespec used {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

} // namespace lycheeshunt::measurements
