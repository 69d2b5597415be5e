#include "lycheeshunt/operators/json.h"
#include "lycheeshunt/tickets/ticket.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

const std::string ticket
    = R"({"number":1,"author":"x","changes":[{"service":{"name":"s","addresses":)"
      R"(["tcp:192.0.2.1:443"],"limits":{"slots":3},"buckets":64}},{"remove_service":"t"},)"
      R"({"drain":{"node":"n","draining":false}}]})";

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    const std::size_t where = text.find(what);
    CHECK_TEXT(where != std::string::npos, what.c_str());
    return text.replace(where, what.size(), by);
}

} // namespace

TEST_GROUP(ticket_schema) {};

TEST(ticket_schema, everyFieldIsRead)
{
    const tickets::service_limits limits {3};
    const tickets::ticket expected {
        base::ticket_number(1),
        "x",
        {tickets::service_definition {
             "s", {tickets::service_address {base::endpoint {0xc0000201, 443}, 6}}, limits, 64},
         tickets::service_removal {"t"}, tickets::drain_order {"n", false}}};
    const base::result<tickets::ticket> read = operators::ticketFromJson(ticket);
    CHECK(read == base::result<tickets::ticket>(expected));
    const base::result<tickets::ticket> drained
        = operators::ticketFromJson(replaced(ticket, ",\"draining\":false", ""));
    CHECK(base::valueOf(drained).changes[2]
          == tickets::ticket_change(tickets::drain_order {"n", true}));
}

// Guards against a ticket of which only a part is read, and a refusal that doesn't name the place.
TEST(ticket_schema, anInvalidTicketIsRefusedByObjectFieldValueAndLimit)
{
    const std::vector<std::vector<std::string>> rows = {
        {":1,", ":-1,", "number of ticket is -1, must be a whole number from 0 to 184467440737"},
        {":1,", ":1.0,", "number of ticket is 1.0"},
        {":1,", ":1,\"number\":2,", "number of ticket occurs more than once"},
        {"\"x\"", "7", "author of ticket is 7, must be a string"},
        {"\"x\"", "\"\xff\"", "encoding"},
        {"\"x\"", "\"x\x80\"", "encoding"},
        {"{\"number", "{/*x*/\"number", "Missing a name"},
        {"\"author\":\"x\",", "", "author of ticket is missing, must be a string"},
        {"\"author\"", "\"color\":1,\"author\"", "color of ticket is an unknown field, must be"},
        {":3}", ":4294967296}",
         "changes[0].service.limits: slots of s is 4294967296, must be a whole number from 0 to "
         "42"},
        {":3}", ":3,\"x\":1}", "changes[0].service.limits: x of s is an unknown field"},
        {":3}", ":3,\"slots\":3}", "slots of s occurs more than once"},
        {"{\"slots\":3}", "null", "changes[0].service: limits of s is null, must be an object"},
        {"\"tcp:192.0.2.1:443\"", "\"tcp:192.0.2.1\"",
         "changes[0].service: addresses[0] of s is \"tcp:192.0.2.1\", must be of the form tcp:"},
        {"[\"tcp:192.0.2.1:443\"]", "\"tcp:192.0.2.1:443\"", "must be an array"},
        {"2.1:443", "2.1\\u0000:443", "must be of the form tcp:"},
        {"\"t\"", "[]", "changes[1]: remove_service is [], must be a string"},
        {"false", "0", "changes[2].drain: draining is 0, must be true or false"},
        {"{\"remove_service\":\"t\"}", "{}",
         "changes[1] of ticket is {}, must be an object with one of service, remove_service, "
         "drain"},
        {"\"t\"}", "\"t\",\"drain\":{\"node\":\"n\"}}", "changes[1] of ticket is"},
        {"false}}]}", "false}}]}]", "At byte"},
        {"false}}]}", "false}}]}" + std::string(1, '\0'), "NUL at byte"},
    };
    std::string differences;
    for (const std::vector<std::string> &row : rows) {
        const base::result<tickets::ticket> read
            = operators::ticketFromJson(replaced(ticket, row[0], row[1]));
        const base::error *failure = base::errorOf(read);
        if (failure == nullptr || failure->code != base::error_code::ticketMalformed
            || failure->detail.find(row[2]) == std::string::npos)
            differences += "\n" + row[1] + ": " + (failure ? failure->text() : "accepted");
    }
    STRCMP_EQUAL("", differences.c_str());
}
