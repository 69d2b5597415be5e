#include "lycheeshunt/states/desired_state.h"
#include "lycheeshunt/states/codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<states::shared_state> state = states::decodeState(bytes);
    if (base::isOk(state)) {
        const base::result<std::uint64_t> version = states::versionOf(bytes);
        fuzz::require(base::isOk(version)
                      && base::valueOf(version) == base::valueOf(state)->version);
    }
    return 0;
}
