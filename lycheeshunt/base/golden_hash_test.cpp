// Nodes compare these hashes with each other, so that one that differs between kinds of machine, or
// between two builds, would split a mixed fleet: two nodes would send one flow to two agents.

#include "lycheeshunt/base/byte_order.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

#include <netinet/in.h>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::base;

TEST_GROUP(golden_hash) {};

TEST(golden_hash, identifiersOfNamesAreTheSameOnEveryMachine)
{
    UNSIGNED_LONGS_EQUAL(0x7239776402cd6b8a, nodeIdOf("agent-a-1").value());
    UNSIGNED_LONGS_EQUAL(0x1151430cf2b64fb7, serviceIdOf("logbook").value());
    // Bytes above 127 are negative where char is signed.
    UNSIGNED_LONGS_EQUAL(0x121cc0d7ca8b7f66, nodeIdOf("\xc3\xa9ire").value());
}

TEST(golden_hash, placesOfFlowsAreTheSameOnEveryMachine)
{
    const flow_key key {endpoint {0xc0000207, 40001}, endpoint {0xc6336401, 443}, IPPROTO_TCP};
    UNSIGNED_LONGS_EQUAL(0xabf1e6836a7db99e, hashOf(key));
}

TEST(golden_hash, littleEndianNumbersAreLeastSignificantFirst)
{
    char bytes[sizeof(std::uint32_t)];
    putLittleEndian(bytes, std::uint32_t(0x80a1b2ff));
    MEMCMP_EQUAL("\xff\xb2\xa1\x80", bytes, sizeof bytes);
    UNSIGNED_LONGS_EQUAL(0x80a1b2ff, littleEndianAt<std::uint32_t>(bytes));
}
