#include "lycheeshunt/settings/settings_file.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const base::result<settings::node_settings> settings
        = settings::parseSettings(fuzz::textOf(data, size), "settings.toml");
    fuzz::require(base::isOk(settings) || !base::errorOf(settings)->text().empty());
    return 0;
}
