#include "lycheeshunt/settings/settings_file.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using base::error_code;

namespace {

const std::string goodEntry = "role = \"entry\"\n"
                              "name = \"entry-1\"\n"
                              "availability_zone = \"leith-1\"\n"
                              "control_addresses = [\"127.0.0.1:7400\"]\n"
                              "[entry]\n"
                              "packets = \"127.0.0.1:7500\"\n";

struct fault_case
{
    const char *what;
    std::string text;
    error_code code;
    const char *detail;
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(settings_file) {};

TEST(settings_file, readsAnEntry)
{
    const base::result<settings::node_settings> read
        = settings::parseSettings(goodEntry, "entry.toml");
    CHECK(base::isOk(read));
    const settings::node_settings &known = base::valueOf(read);
    STRCMP_EQUAL("leith-1", known.availabilityZone.c_str());
    CHECK(std::get<settings::entry_settings>(known.role).packets
          == (base::endpoint {0x7f000001, 7500}));
}

// The behaviour of the TOML reader is undefined for some characters outside of texts and comments.
TEST(settings_file, strayCharactersAreRefusedByLine)
{
    for (const char *character : {"\xef\xba\x88", "\xc8\x9d", "\xc3\xa9"}) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(goodEntry + "# \xc3\xa9\n" + character, "entry.toml");
        CHECK(base::errorOf(read)->code == error_code::settingsSyntax);
        STRCMP_CONTAINS("entry.toml:8:", base::errorOf(read)->detail.c_str());
    }
    const std::string accented = replaced(goodEntry, "leith-1", "d\xc3\xa9p\xc3\xb4t \\\" '1'");
    const base::result<settings::node_settings> read
        = settings::parseSettings("# \xc3\xa9\n" + accented, "entry.toml");
    CHECK(base::isOk(read));
    STRCMP_EQUAL("d\xc3\xa9p\xc3\xb4t \" '1'", base::valueOf(read).availabilityZone.c_str());
}

TEST(settings_file, readsTheRateOfALink)
{
    for (const auto &[text, bytesPerSecond] : std::vector<std::pair<std::string, std::uint64_t>> {
             {"", 0}, {"link_mbps = 2.1\n", 262'500}, {"link_mbps = 1000\n", 125'000'000}}) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(goodEntry + text, "entry.toml");
        UNSIGNED_LONGS_EQUAL(
            bytesPerSecond,
            std::get<settings::entry_settings>(base::valueOf(read).role).link.bytesPerSecond);
    }
    for (const char *text : {"-1", "nan", "inf", "2e6", "\"2\""}) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(goodEntry + "link_mbps = " + text + "\n", "entry.toml");
        CHECK_FALSE(base::isOk(read));
    }
}

// Guards against a limit that is read wrongly and lets copies through that operators did not allow.
TEST(settings_file, theLimitOnHedgedOpeningsIsFromZeroToAHundredPercent)
{
    const std::string entry = goodEntry + "hints = \"127.0.0.1:7501\"\n";
    for (const auto &[text, percent] : std::vector<std::pair<std::string, std::uint32_t>> {
             {"", 0},
             {"[entry.hedging]\n", 0},
             {"[entry.hedging]\nextra_percent = 0\n", 0},
             {"[entry.hedging]\nextra_percent = 100\n", 100}}) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(entry + text, "entry.toml");
        UNSIGNED_LONGS_EQUAL(
            percent,
            std::get<settings::entry_settings>(base::valueOf(read).role).hedging.extraPercent);
    }
    for (const auto &[text, detail] : std::vector<std::pair<const char *, const char *>> {
             {"101", "entry.toml:9: extra_percent: 101 is not from 0 to 100"},
             {"-1", "extra_percent: -1 is not from 0 to 100"},
             {"2.5", "extra_percent: expected a whole number"}}) {
        const base::result<settings::node_settings> read = settings::parseSettings(
            entry + "[entry.hedging]\nextra_percent = " + text, "entry.toml");
        STRCMP_CONTAINS(detail, base::errorOf(read)->detail.c_str());
    }
    const base::result<settings::node_settings> deaf
        = settings::parseSettings(goodEntry + "[entry.hedging]\nextra_percent = 5\n", "entry.toml");
    CHECK(base::errorOf(deaf)->code == error_code::settingsMissingKey);
}

TEST(settings_file, readsTheSlackOfAColdServerAndWhetherSpeedIsReported)
{
    const std::string agent = "role = \"agent\"\nname = \"agent-1\"\n"
                              "availability_zone = \"leith-1\"\n"
                              "control_addresses = [\"127.0.0.1:7400\"]\n[agent]\n"
                              "service = \"logbook\"\npackets = \"127.0.0.1:7500\"\n"
                              "server_side = \"127.0.0.1:7501\"\nserver = \"127.0.0.1:7502\"\n"
                              "fabric = \"127.0.0.1:7503\"\n";
    for (const auto &[text, slack] : std::vector<std::pair<std::string, std::optional<unsigned>>> {
             {"", std::nullopt}, {"warmup_slack = 0\n", 0}, {"warmup_slack = 5\n", 5}}) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(agent + text, "agent.toml");
        CHECK(std::get<settings::agent_settings>(base::valueOf(read).role).warmupSlack == slack);
    }
    const base::result<settings::node_settings> fast
        = settings::parseSettings(agent + "report_speed = true\n", "agent.toml");
    CHECK(std::get<settings::agent_settings>(base::valueOf(fast).role).reportsSpeed);
    for (const char *text : {"-1", "1.5", "1000001", "\"5\""})
        CHECK_FALSE(base::isOk(
            settings::parseSettings(agent + "warmup_slack = " + text + "\n", "agent.toml")));
}

TEST(settings_file, onlyAnApiOnLoopbackNeedsNoToken)
{
    const std::string control = "role = \"control\"\nname = \"control-1\"\n"
                                "availability_zone = \"leith-1\"\n"
                                "control_addresses = [\"127.0.0.1:7400\"]\n"
                                "[control]\nstreams = \"127.0.0.1:7400\"\n"
                                "data_folder = \"data\"\n";
    const std::string open = control + "api = \"10.0.0.1:7480\"\n";
    CHECK(base::isOk(settings::parseSettings(control + "api = \"127.0.0.1:7480\"\n", "c.toml")));
    CHECK(base::isOk(settings::parseSettings(open + "token_file = \"token\"\n", "c.toml")));
    const base::result<settings::node_settings> read = settings::parseSettings(open, "c.toml");
    CHECK(base::errorOf(read)->code == error_code::settingsMissingKey);
}

TEST(settings_file, namesFileLineAndKeyOfEachFault)
{
    const fault_case cases[] = {
        {"syntax", "role = ", error_code::settingsSyntax, "entry.toml:1"},
        {"unknown key", goodEntry + "speed = 3\n", error_code::settingsUnknownKey,
         "entry.toml:7: speed"},
        {"wrong type", replaced(goodEntry, "\"entry-1\"", "7"), error_code::settingsWrongType,
         "entry.toml:2: name"},
        {"missing key", replaced(goodEntry, "name = \"entry-1\"\n", ""),
         error_code::settingsMissingKey, "name"},
        {"bad address", replaced(goodEntry, "127.0.0.1:7500", "127.0.0.1"),
         error_code::settingsBadValue, "entry.toml:6: packets"},
        {"bad role", replaced(goodEntry, "\"entry\"", "\"relay\""), error_code::settingsBadValue,
         "entry.toml:1: role"},
        {"metrics without address", goodEntry + "[metrics]\n", error_code::settingsMissingKey,
         "listen"},
        {"other role's table", goodEntry + "[agent]\n", error_code::settingsUnknownKey,
         "entry.toml:7: agent"},
    };
    for (const fault_case &row : cases) {
        const base::result<settings::node_settings> read
            = settings::parseSettings(row.text, "entry.toml");
        const base::error *failure = base::errorOf(read);
        CHECK_TEXT(failure != nullptr, row.what);
        LONGS_EQUAL_TEXT(static_cast<int>(row.code), static_cast<int>(failure->code), row.what);
        CHECK_TEXT(failure->detail.find(row.detail) != std::string::npos, failure->detail.c_str());
    }
}

TEST(settings_file, peersAreOneThreeOrFiveAndListTheVmItself)
{
    const std::string control = "role = \"control\"\nname = \"control-1\"\n"
                                "availability_zone = \"leith-1\"\n"
                                "control_addresses = [\"127.0.0.1:7400\"]\n[control]\n"
                                "streams = \"127.0.0.1:7400\"\napi = \"127.0.0.1:7480\"\n"
                                "data_folder = \"data\"\n";
    const std::string first = "{ name = \"control-1\", streams = \"127.0.0.1:7400\" }";
    const std::string second = "{ name = \"control-2\", streams = \"127.0.0.1:7401\" }";
    const std::string third = "{ name = \"control-3\", streams = \"127.0.0.1:7402\" }";
    const auto parse = [&](const std::string &peers) {
        return settings::parseSettings(control + peers, "control.toml");
    };
    CHECK(base::isOk(parse("")));
    CHECK(base::isOk(parse("peers = [" + first + "," + second + "," + third + "]")));
    const std::pair<std::string, error_code> cases[] = {
        {"peers = [" + first + "," + second + "]", error_code::settingsBadValue},
        {"peers = [" + second + "]", error_code::settingsClash},
        {"peers = [" + first + "," + second + "," + second + "]", error_code::settingsClash},
        {"peers = [\"control-1\"]", error_code::settingsWrongType},
        {"peers = [{ name = \"control-1\" }]", error_code::settingsMissingKey},
    };
    for (const auto &[text, code] : cases)
        CHECK(base::errorOf(parse(text))->code == code);
}
