// Control and nodes compare the digests of their views. A digest that differs between kinds of
// machine would make every node of the other kind fetch its view again and again.

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/view_digest.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using dissemination::digestPart;

namespace {

tickets::service_address addressAt(std::uint16_t port)
{
    return tickets::service_address {base::endpoint {0xc6336401, port}};
}

} // namespace

TEST_GROUP(golden_digest) {};

TEST(golden_digest, partsOfAViewHaveTheSameDigestOnEveryMachine)
{
    const tickets::service_definition service {"logbook", {addressAt(443)}, {}, 512};
    UNSIGNED_LONGS_EQUAL(0xe6b5191de3895f0b, digestPart(service));
    const membership::member member {"agent-a-1",
                                     "zone-a",
                                     membership::member_role::agent,
                                     service.id(),
                                     base::incarnation(0x0123456789abcdef),
                                     base::endpoint {0xc0000207, 7720}};
    UNSIGNED_LONGS_EQUAL(0xa5f1199c06419749, digestPart(member));
    UNSIGNED_LONGS_EQUAL(0x8087d2c423f2de79, digestPart("agent-a-1"));
    const tickets::address_route route {addressAt(8443),
                                        {{service.id(), 90}, {base::serviceIdOf("inspect"), 10}},
                                        {base::serviceIdOf("former")},
                                        tickets::request_kind::upload,
                                        base::clock_time::ofMillis(3000),
                                        base::clock_time::ofMillis(500),
                                        2};
    UNSIGNED_LONGS_EQUAL(0x90d624756773d0ca, digestPart(route));
}
