// The class that an entry states of a flow's requests, from the route of the flow's address.

#include "lycheeshunt/routing/request_class_of.h"

#include "lycheeshunt/routing/routing_table.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

const tickets::service_address address {base::endpoint {0xc6120001, 443}, 6};
const base::flow_key key {base::endpoint {0x64400007, 1}, address.where, 6};

flows::request_class classFor(tickets::request_kind kind, std::uint32_t priority)
{
    const base::service_id service = base::serviceIdOf("logbook");
    std::map<tickets::service_address, tickets::address_route> routes;
    routes.emplace(address,
                   tickets::address_route {address, {{service, 1}}, {}, kind, {}, {}, priority});
    return requestClassOf(
        routing_table(dissemination::cluster_view {base::generation(1), {}, {}, {}, routes}), key);
}

} // namespace

TEST_GROUP(request_class_of) {};

TEST(request_class_of, theRouteStatesKindAndPriority)
{
    CHECK(classFor(tickets::request_kind::upload, 2)
          == (flows::request_class {tickets::request_kind::upload, 2}));
    CHECK(classFor(tickets::request_kind::idempotent, 1)
          == (flows::request_class {tickets::request_kind::idempotent, 1}));
    LONGS_EQUAL(255, classFor(tickets::request_kind::upload, 70'000).priority);
}

// Guards against headers that agents of an earlier build refuse, in deployments that need no class.
TEST(request_class_of, aRouteWithoutPriorityStatesAClassForUploadsOnly)
{
    CHECK(classFor(tickets::request_kind::idempotent, 0) == flows::request_class {});
    CHECK(classFor(tickets::request_kind::nonIdempotent, 0) == flows::request_class {});
    CHECK(classFor(tickets::request_kind::upload, 0)
          == (flows::request_class {tickets::request_kind::upload, 0}));
    CHECK(requestClassOf(routing_table(), key) == flows::request_class {});
}
