#include "lycheeshunt/dissemination/codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<dissemination::control_message> control
        = dissemination::decodeControlMessage(bytes);
    if (base::isOk(control)) {
        const base::result<dissemination::control_message> again
            = dissemination::decodeControlMessage(
                dissemination::encodeControlMessage(base::valueOf(control)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(control));
    }
    const base::result<dissemination::node_message> node = dissemination::decodeNodeMessage(bytes);
    if (base::isOk(node)) {
        const base::result<dissemination::node_message> again = dissemination::decodeNodeMessage(
            dissemination::encodeNodeMessage(base::valueOf(node)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(node));
    }
    return 0;
}
