// A few hostile bytes must not make the decoder take megabytes, nor recurse without a bound.

#include "lycheeshunt/base/codec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using list_fields = std::tuple<std::vector<std::uint64_t>>;
using text_fields = std::tuple<std::string>;

TEST_GROUP(codec) {};

TEST(codec, anArrayWithMoreItemsThanBytesIsRefused)
{
    // An array of one array of 100,000 items, of which none follows.
    const std::string bytes("\x91\xdd\x00\x01\x86\xa0", 6);
    const base::result<list_fields> decoded = base::unpackFields<list_fields>(bytes);
    STRCMP_CONTAINS("array size overflow", base::errorOf(decoded)->detail.c_str());
}

TEST(codec, aTextLongerThanTheMessageIsRefused)
{
    const std::string bytes("\x91\xdb\x00\x3f\xff\xff", 6);
    const base::result<text_fields> decoded = base::unpackFields<text_fields>(bytes);
    CHECK(base::errorOf(decoded)->code == base::error_code::messageMalformed);
}

TEST(codec, deepNestingIsRefused)
{
    const base::result<list_fields> decoded
        = base::unpackFields<list_fields>(std::string(1'000'000, '\x91'));
    STRCMP_CONTAINS("depth size overflow", base::errorOf(decoded)->detail.c_str());
}

TEST(codec, aNumberTooLargeForItsFieldIsRefused)
{
    const std::string bytes = base::packFields(std::tuple<std::uint32_t>(65'536));
    CHECK_FALSE(base::isOk(base::unpackFields<std::tuple<std::uint16_t>>(bytes)));
    const std::string negative = base::packFields(std::tuple<std::int32_t>(-1));
    CHECK_FALSE(base::isOk(base::unpackFields<std::tuple<std::uint64_t>>(negative)));
}
