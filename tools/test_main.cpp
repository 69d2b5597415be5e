// Runs the tests of one slice.

#include "lycheeshunt/base/log.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
#ifdef LYCHEESHUNT_HTTP_THREADS
    // Threads of the HTTP library outlive a test, which the count of memory takes for a leak.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
#endif
    // What the logging library allocates once must not be charged to the first test that logs.
    lycheeshunt::base::logInfo("tests", "started");
    return RUN_ALL_TESTS(argc, argv);
}
