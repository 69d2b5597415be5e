// Guards against a program that can't tell what it was built from: a review's case that runs on the
// program of an earlier build looks like a fault of the present one.

#include "lycheeshunt/base/build_identity.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

TEST_GROUP(build_identity) {};

TEST(build_identity, theDigestHasTwelveHexadecimalDigits)
{
    const std::string_view digest = base::sourceDigest();
    CHECK_EQUAL(12U, digest.size());
    CHECK(std::all_of(digest.begin(), digest.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    }));
}
