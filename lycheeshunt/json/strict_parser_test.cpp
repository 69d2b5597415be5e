#include "lycheeshunt/json/members.h"
#include "lycheeshunt/json/strict_parser.h"
#include "lycheeshunt/json/utf8.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

std::string faultOf(const std::string &text)
{
    const base::result<rapidjson::Document> read
        = json::parseObject(text, "test", base::error_code::requestMalformed);
    const base::error *failure = base::errorOf(read);
    return failure == nullptr ? "" : failure->detail;
}

// An object of this many members, of which the last has the name of the one at `same`.
std::string objectWith(int members, int same)
{
    std::string text = "{";
    for (int i = 0; i < members; ++i)
        text += "\"m" + std::to_string(i) + "\":0,";
    return text + "\"m" + std::to_string(same) + "\":1}";
}

} // namespace

TEST_GROUP(strict_parser) {};

// Guards against a check of names that holds for small objects, or for the outermost one, alone.
TEST(strict_parser, aNameIsRefusedOnlyIfItsObjectHasItTwice)
{
    for (const int members : {1, 15, 16, 17, 1000}) {
        for (const int same : {0, members / 2, members - 1}) {
            const std::string fault = faultOf("{\"a\":[0," + objectWith(members, same) + "]}");
            const std::string place = "a[1]: m" + std::to_string(same) + " occurs more than once";
            STRCMP_CONTAINS(place.c_str(), fault.c_str());
        }
        STRCMP_EQUAL("", faultOf(objectWith(members, members)).c_str());
    }
    STRCMP_EQUAL("", faultOf(R"({"a":{"a":[{"a":1},{"a":1}]},"b":{"a":1},"A":1})").c_str());
    STRCMP_CONTAINS("occurs more than once", faultOf(R"({"":1,"b":2,"":3})").c_str());
    STRCMP_CONTAINS("occurs more than once", faultOf(R"({"a\u0000b":1,"a\u0000b":3})").c_str());
    STRCMP_EQUAL("", faultOf(R"({"a\u0000b":1,"a\u0000c":3})").c_str());
}

// Guards against a document that is as deep as allowed and refused, or one deeper and accepted.
TEST(strict_parser, theDepthIsBounded)
{
    const auto nested = [](std::size_t depth) {
        return "{\"a\":" + std::string(depth - 1, '[') + std::string(depth - 1, ']') + "}";
    };
    STRCMP_EQUAL("", faultOf(nested(32)).c_str());
    STRCMP_CONTAINS("nested deeper than 32", faultOf(nested(33)).c_str());
    STRCMP_EQUAL("", faultOf("{\"a\":\"" + std::string(100, '[') + "\\\"{\"}").c_str());
}

TEST(strict_parser, onlyUtf8IsAccepted)
{
    for (const char *valid : {"", "a", "\x7f", "\xc2\x80", "\xe0\xa0\x80", "\xed\x9f\xbf",
                              "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"})
        CHECK_TEXT(json::isUtf8(valid), valid);
    for (const char *invalid : {"\x80", "a\xc2", "\xc1\xbf", "\xe0\x9f\xbf", "\xed\xa0\x80",
                                "\xe2\x82", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xff"})
        CHECK_FALSE_TEXT(json::isUtf8(invalid), invalid);
}
