// Entry point of the test program of a slice.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
#ifdef LYCHEESHUNT_HTTP_THREADS
    // Threads of the HTTP library outlive a test; the leak detector would report their memory.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
#else
    // Tests start threads, and the leak detector takes no lock by default.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
#endif
    return RUN_ALL_TESTS(argc, argv);
}
