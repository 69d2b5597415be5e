// Runs the tests of one slice.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
#ifdef LYCHEESHUNT_HTTP_THREADS
    // Threads of the HTTP library outlive a test, which the count of memory takes for a leak.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
#else
    // Tests run threads; by default the count of memory is kept without a lock.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
#endif
    return RUN_ALL_TESTS(argc, argv);
}
