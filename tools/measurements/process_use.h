// Resources that this process has used since it started. A measurement subtracts two readings.

#pragma once

#include <malloc.h>

#include <ctime>

namespace lycheeshunt::measurements {

// Bytes allocated on the heap.
inline double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// CPU time of all threads, in microseconds.
inline double processorMicros()
{
    timespec cpuTime {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpuTime);
    return static_cast<double>(cpuTime.tv_sec) * 1e6 + static_cast<double>(cpuTime.tv_nsec) / 1e3;
}

} // namespace lycheeshunt::measurements
