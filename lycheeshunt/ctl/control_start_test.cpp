// A control process that starts while an operators' client polls its API. The API accepts requests
// before start() returns: a process that answers through a member which start() sets later crashes.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/daemon/control_process.h"
#include "lycheeshunt/http/early_client_test.h"
#include "lycheeshunt/settings/control_settings.h"

#include <unistd.h>

#include <filesystem>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;

} // namespace

TEST_GROUP(control_start)
{
    const std::string folder
        = (std::filesystem::temp_directory_path() / ("control_start_" + std::to_string(::getpid())))
              .string();

    void setup() override
    {
        std::filesystem::create_directory(folder);
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }
};

TEST(control_start, aRequestThatArrivesWhileTheProcessStartsIsAnswered)
{
    const base::endpoint api = base::freeEndpoint();
    const settings::control_settings own {
        {loopback, 0}, api, folder, {{"control-1", base::endpoint {loopback, 1}}}};
    const settings::node_settings settings {"control-1", "zone-1", {}, own};
    http::early_client client(api, "/v1/status");
    const base::result<std::unique_ptr<daemon::control_process>> process
        = daemon::control_process::start(settings, own);
    CHECK(base::isOk(process));
    STRCMP_CONTAINS("HTTP/1.1 200", client.answer().c_str());
}
