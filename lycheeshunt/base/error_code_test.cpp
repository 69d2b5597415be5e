#include "lycheeshunt/base/error_code.h"

#include <fstream>
#include <map>
#include <regex>
#include <string>

#include <CppUTest/TestHarness.h>

using lycheeshunt::base::allErrorCodes;
using lycheeshunt::base::describe;
using lycheeshunt::base::error_code;

TEST_GROUP(error_code) {};

TEST(error_code, documentListsTheSameCodes)
{
    std::ifstream file(LYCHEESHUNT_SOURCE_DIR "/docs/ERRORS.md");
    CHECK(file.is_open());
    std::map<unsigned, std::string> documented;
    const std::regex row(R"(\| E(\d+) \| ([^|]+) \|.*)");
    std::string line;
    while (std::getline(file, line)) {
        std::smatch match;
        if (std::regex_match(line, match, row))
            documented[static_cast<unsigned>(std::stoul(match[1]))] = match[2];
    }
    std::map<unsigned, std::string> defined;
    for (const error_code code : allErrorCodes())
        defined[static_cast<unsigned>(code)] = std::string(describe(code));
    for (auto it = defined.begin(); it != defined.end(); ++it)
        STRCMP_EQUAL(it->second.c_str(), documented[it->first].c_str());
    LONGS_EQUAL(defined.size(), documented.size());
}
