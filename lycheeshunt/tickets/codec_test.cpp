// Values that no node could use must be refused where bytes are decoded, and whatever a front end
// accepts must be decoded again: an accepted ticket or state would otherwise be lost at its commit.

#include "lycheeshunt/tickets/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/bounds.h"
#include "lycheeshunt/tickets/ticket.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::tickets;

namespace {

constexpr std::uint32_t maxNumber = std::numeric_limits<std::uint32_t>::max();
const service_address address {base::endpoint {0xc6336401, 443}};

service_definition serviceWith(const std::string &name, std::uint32_t buckets,
                               base::clock_time idle)
{
    const service_limits usual;
    return service_definition {name,
                               {address},
                               service_limits {usual.slots, maxNumber, usual.queueLength,
                                               usual.queueWait, usual.longWorkAge,
                                               usual.shortOnlySlots, idle},
                               buckets};
}

service_definition warmService(std::optional<double> rate, base::clock_time time)
{
    return service_definition {"n", {address}, {.warmupRate = rate, .warmupTime = time}, 512};
}

// As builds without a warm-up encode a service and decode it.
using early_limits = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::int64_t,
                                std::int64_t, std::uint32_t, std::int64_t>;
using early_fields
    = std::tuple<std::string, std::vector<std::tuple<std::uint32_t, std::uint16_t, std::uint8_t>>,
                 early_limits, std::uint32_t>;
const early_fields earlyService("n", {{0xc6336401, 443, 6}},
                                early_limits(7, 2000, 14, 2000, 1000, 2, 7'440'000), 512);

address_route routeWith(std::size_t shares, std::uint32_t weight, std::size_t former,
                        base::clock_time timeout)
{
    return address_route {address,
                          std::vector<route_share>(shares, {base::serviceIdOf("s"), weight}),
                          std::vector<base::service_id>(former, base::serviceIdOf("s")),
                          request_kind::upload,
                          timeout,
                          timeout,
                          maxNumber};
}

bool isDecoded(const service_definition &service)
{
    const base::result<service_definition> decoded = decodeService(encodeService(service));
    return base::isOk(decoded) && base::valueOf(decoded) == service;
}

bool isDecoded(const address_route &route)
{
    const base::result<address_route> decoded = decodeRoute(encodeRoute(route));
    return base::isOk(decoded) && base::valueOf(decoded) == route;
}

} // namespace

TEST_GROUP(tickets_codec) {};

TEST(tickets_codec, aServiceAtItsBoundsIsDecoded)
{
    CHECK(isDecoded(serviceWith(std::string(maxServiceNameBytes, 'n'), maxBuckets, maxPeriod)));
    CHECK(isDecoded(serviceWith("n", 1, base::clock_time())));
}

TEST(tickets_codec, aServiceBeyondItsBoundsIsRefused)
{
    const base::clock_time idle = base::clock_time::ofSeconds(1);
    CHECK_FALSE(isDecoded(serviceWith("", 512, idle)));
    CHECK_FALSE(isDecoded(serviceWith(std::string(16 * 1024, 'n'), 512, idle)));
    CHECK_FALSE(isDecoded(serviceWith("n", 0, idle)));
    CHECK_FALSE(isDecoded(serviceWith("n", maxNumber, idle)));
    CHECK_FALSE(isDecoded(serviceWith("n", 512, base::clock_time::ofMillis(-1))));
    CHECK_FALSE(isDecoded(serviceWith(
        "n", 512, base::clock_time::ofMillis(std::numeric_limits<std::int64_t>::max()))));
}

TEST(tickets_codec, aRouteAtItsBoundsIsDecoded)
{
    CHECK(isDecoded(routeWith(maxRouteShares, maxShareWeight, maxFormerServices, maxPeriod)));
}

TEST(tickets_codec, aRouteBeyondItsBoundsIsRefused)
{
    const base::clock_time timeout = base::clock_time::ofSeconds(1);
    CHECK_FALSE(isDecoded(routeWith(0, 1, 0, timeout)));
    CHECK_FALSE(isDecoded(routeWith(1, 0, 0, timeout)));
    CHECK_FALSE(isDecoded(routeWith(1, maxNumber, 0, timeout)));
    CHECK_FALSE(isDecoded(routeWith(maxRouteShares + 1, 1, 0, timeout)));
    CHECK_FALSE(isDecoded(routeWith(1, 1, maxFormerServices + 1, timeout)));
    CHECK_FALSE(isDecoded(routeWith(1, 1, 0, base::clock_time::ofMillis(-1))));
}

TEST(tickets_codec, everyPrefixOfATicketIsRefused)
{
    const ticket whole {base::ticket_number(7),
                        "author",
                        {serviceWith("n", 512, base::clock_time::ofSeconds(1)),
                         service_removal {"gone"}, drain_order {"node", true}}};
    const std::string bytes = encodeTicket(whole);
    const base::result<ticket> decoded = decodeTicket(bytes);
    CHECK(base::isOk(decoded) && base::valueOf(decoded) == whole);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(base::isOk(decodeTicket(std::string_view(bytes).substr(0, length))));
}

TEST(tickets_codec, aWarmUpWithinItsBoundsIsDecoded)
{
    const double smallest = std::numeric_limits<double>::denorm_min();
    for (const std::optional<double> &rate :
         {std::optional<double>(), std::optional<double>(0), std::optional<double>(smallest),
          std::optional<double>(maxWarmupRate)})
        for (const base::clock_time time : {base::clock_time(), maxWarmupTime})
            CHECK(isDecoded(warmService(rate, time)));
    for (const double rate :
         {-smallest, maxWarmupRate * 1.001, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
        CHECK_FALSE(isDecoded(warmService(rate, base::clock_time())));
    CHECK_FALSE(isDecoded(warmService(0, base::clock_time::ofMillis(-1))));
    CHECK_FALSE(isDecoded(warmService(0, maxWarmupTime + base::clock_time::ofMillis(1))));
}

// VMs of two builds compare digests of what they encode, so a service without a warm-up must have
// the same bytes in both.
TEST(tickets_codec, aServiceWithoutAWarmUpIsEncodedAsBefore)
{
    const service_definition plain {"n", {address}};
    CHECK(encodeService(plain) == base::packFields(earlyService));
    CHECK(base::valueOf(decodeService(base::packFields(earlyService))) == plain);
    const base::result<early_fields> read
        = base::unpackFields<early_fields>(encodeService(warmService(20, maxPeriod)));
    CHECK(base::valueOf(read) == earlyService);
}
