// An odd member in a view would be read by every node: it is refused where its bytes come in.

#include "lycheeshunt/membership/codec.h"

#include "lycheeshunt/membership/member.h"
#include "lycheeshunt/membership/membership_batch.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::membership;

namespace {

member memberWith(const std::string &name, const base::endpoint &packets)
{
    return member {
        name, "zone-a", member_role::agent, base::serviceIdOf("s"), base::incarnation(1), packets};
}

} // namespace

TEST_GROUP(membership_codec) {};

TEST(membership_codec, aMemberWithoutAnAddressOrANameIsRefused)
{
    const base::endpoint packets {0xc0000207, 7720};
    CHECK(base::isOk(decodeMember(encodeMember(memberWith(std::string(255, 'n'), packets)))));
    CHECK_FALSE(base::isOk(decodeMember(encodeMember(memberWith("", packets)))));
    CHECK_FALSE(base::isOk(decodeMember(encodeMember(memberWith(std::string(256, 'n'), packets)))));
    CHECK_FALSE(base::isOk(
        decodeMember(encodeMember(memberWith("n", base::endpoint {packets.address, 0})))));
    CHECK_FALSE(
        base::isOk(decodeMember(encodeMember(memberWith("n", base::endpoint {0, packets.port})))));
}

TEST(membership_codec, everyPrefixOfABatchIsRefused)
{
    const membership_batch batch {{memberWith("n", base::endpoint {0xc0000207, 7720})},
                                  {base::nodeIdOf("gone")}};
    const std::string bytes = encodeBatch(batch);
    const base::result<membership_batch> decoded = decodeBatch(bytes);
    CHECK(base::isOk(decoded) && base::valueOf(decoded) == batch);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(base::isOk(decodeBatch(std::string_view(bytes).substr(0, length))));
}
