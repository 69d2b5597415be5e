// Runs the tests of one slice.

#include <boost/log/core.hpp>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv)
{
    // The log keeps buffers for the life of a thread, which would count as leaks of the test that
    // logs first.
    boost::log::core::get()->set_logging_enabled(false);
    return RUN_ALL_TESTS(argc, argv);
}
