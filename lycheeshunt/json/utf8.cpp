#include "lycheeshunt/json/utf8.h"

#include <rapidjson/encodings.h>
#include <rapidjson/memorystream.h>

namespace lycheeshunt::json {

namespace {

// The validator of RapidJSON copies what it checks.
struct discarding_stream
{
    // NOLINTNEXTLINE(readability-identifier-naming): the name that RapidJSON calls.
    void Put(char) const { }
};

} // namespace

bool isUtf8(std::string_view bytes)
{
    rapidjson::MemoryStream input(bytes.data(), bytes.size());
    discarding_stream output;
    // A sequence that is cut off at the end reads NULs, which no sequence may contain.
    while (input.Tell() < bytes.size()) {
        if (!rapidjson::UTF8<>::Validate(input, output))
            return false;
    }
    return true;
}

} // namespace lycheeshunt::json
