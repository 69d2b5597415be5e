// Settings that change while the process runs are applied completely or not at all.

#include "lycheeshunt/daemon/settings_watch.h"

#include "lycheeshunt/settings/settings_file.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

std::string settingsWith(const std::string &control)
{
    return "role = \"entry\"\nname = \"entry-1\"\navailability_zone = \"zone-1\"\n"
           "control_addresses = [\""
        + control + "\"]\n[entry]\npackets = \"127.0.0.1:9\"\n";
}

} // namespace

TEST_GROUP(settings_watch)
{
    const std::string path = (std::filesystem::temp_directory_path()
                              / ("settings_watch_" + std::to_string(::getpid()) + ".toml"))
                                 .string();

    void write(const std::string &text)
    {
        std::ofstream(path) << text;
    }

    daemon::settings_watch watch()
    {
        return daemon::settings_watch(path, base::valueOf(settings::readSettings(path)));
    }

    void teardown() override
    {
        std::filesystem::remove(path);
    }
};

TEST(settings_watch, nothingIsReportedWhileTheFileStaysAsItIs)
{
    write(settingsWith("127.0.0.1:1"));
    daemon::settings_watch watched = watch();
    CHECK_FALSE(watched.poll().has_value());
}

TEST(settings_watch, newControlAddressesAreReportedOnce)
{
    write(settingsWith("127.0.0.1:1"));
    daemon::settings_watch watched = watch();
    write(settingsWith("127.0.0.1:2"));
    const std::optional<settings::node_settings> changed = watched.poll();
    CHECK(changed.has_value());
    LONGS_EQUAL(2, changed->control.front().port);
    CHECK_FALSE(watched.poll().has_value());
}

TEST(settings_watch, anUnusableFileChangesNothing)
{
    write(settingsWith("127.0.0.1:1"));
    daemon::settings_watch watched = watch();
    write("role = \"entry\"\nunknown_key = 1\n");
    CHECK_FALSE(watched.poll().has_value());
    // A file that was cut off in the middle of a write.
    write("role = \"en");
    CHECK_FALSE(watched.poll().has_value());
    std::filesystem::remove(path);
    CHECK_FALSE(watched.poll().has_value());
    write(settingsWith("127.0.0.1:3"));
    CHECK(watched.poll().has_value());
}
